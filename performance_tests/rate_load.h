#pragma once

// The load of rate_bench: requests of eight workspaces at the hosts of a fleet,
// each with the decision of a reference token bucket without any delay.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "sapphirebank/core/random.h"
#include "sapphirebank/rate/rate_settings.h"

namespace sapphirebank::rate_bench {

constexpr std::int64_t kSecond = 1'000'000;  // Microseconds.

// Demand of the workspace that exceeds its rate, as a multiple of the rate.
constexpr double kExcessDemand = 10;

// Limit and demand of one workspace.
struct WorkspaceLoad {
  std::string name;
  RateLimit limit;
  // Requests per second as a multiple of the rate, including bursts.
  double demand = 0.7;
  // Share of the requests that arrive in bursts. A burst is half the burst
  // limit and arrives at one host.
  double burst_share = 0.3;
};

struct Request {
  std::int64_t at = 0;  // Microseconds since the start.
  std::size_t workspace = 0;
  std::size_t host = 0;
  bool admitted_by_ideal = false;  // The reference bucket admits it.
};

// A token bucket that all hosts consult without delay: the reference to which
// the policies are compared.
class IdealTokenBucket {
 public:
  explicit IdealTokenBucket(RateLimit limit)
      : limit_(limit), tokens_(limit.burst) {}

  // Takes one token at `now` (microseconds) and returns whether there was one.
  bool TryAcquire(std::int64_t now) {
    const double elapsed = static_cast<double>(now - last_refill_) / kSecond;
    last_refill_ = now;
    tokens_ = std::min(limit_.burst, tokens_ + elapsed * limit_.rate);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  RateLimit limit_;
  double tokens_;
  std::int64_t last_refill_ = 0;
};

// Returns eight workspaces: two with a large rate, five with a small one, and
// one whose demand is ten times its rate.
inline std::vector<WorkspaceLoad> Workspaces() {
  std::vector<WorkspaceLoad> loads;
  loads.push_back({"large-a", {2000, 400}});
  loads.push_back({"large-b", {1000, 200}});
  for (const char* name : {"small-a", "small-b", "small-c"}) {
    loads.push_back({name, {100, 40}});
  }
  for (const char* name : {"tiny-a", "tiny-b"})
    loads.push_back({name, {10, 5}});
  loads.push_back({"crowding", {200, 50}, kExcessDemand});
  return loads;
}

// Returns an index below `count` by Zipf's law: index i has a probability in
// proportion to 1 / (i + 1). `draw` is uniform in [0, 1).
inline std::size_t ZipfIndex(double draw, std::size_t count) {
  double total = 0;
  for (std::size_t i = 1; i <= count; ++i)
    total += 1.0 / static_cast<double>(i);
  double remaining = draw * total;
  for (std::size_t i = 1; i < count; ++i) {
    remaining -= 1.0 / static_cast<double>(i);
    if (remaining < 0) return i - 1;
  }
  return count - 1;
}

// Returns the requests of all workspaces in `length` microseconds, ordered by
// time. Single requests and bursts arrive as Poisson processes. The callers of
// a workspace send most of their requests to a few hosts, which differ between
// workspaces.
inline std::vector<Request> GenerateRequests(std::uint64_t seed,
                                             std::size_t hosts,
                                             std::int64_t length) {
  Random random(seed);
  std::vector<Request> requests;
  const std::vector<WorkspaceLoad> loads = Workspaces();
  for (std::size_t workspace = 0; workspace < loads.size(); ++workspace) {
    const WorkspaceLoad& load = loads[workspace];
    const std::size_t preferred_host = random.Below(hosts);
    const auto pick_host = [&] {
      return (preferred_host + 7 * ZipfIndex(random.Unit(), hosts)) % hosts;
    };
    // Time until the next event of a Poisson process, in microseconds.
    const auto next_interval = [&](double per_second) {
      const double seconds = -std::log(1 - random.Unit()) / per_second;
      return 1 + static_cast<std::int64_t>(seconds * kSecond);
    };
    const double rate = load.limit.rate * load.demand;
    const double single_rate = rate * (1 - load.burst_share);
    for (std::int64_t at = next_interval(single_rate); at < length;
         at += next_interval(single_rate)) {
      requests.push_back({at, workspace, pick_host()});
    }
    const double burst_size = std::max(1.0, std::floor(load.limit.burst / 2));
    const double burst_rate = rate * load.burst_share / burst_size;
    for (std::int64_t at = next_interval(burst_rate); at < length;
         at += next_interval(burst_rate)) {
      const std::size_t burst_host = pick_host();
      for (double i = 0; i < burst_size; ++i)
        requests.push_back({at, workspace, burst_host});
    }
  }
  std::stable_sort(
      requests.begin(), requests.end(),
      [](const Request& a, const Request& b) { return a.at < b.at; });
  std::vector<IdealTokenBucket> ideal_buckets;
  ideal_buckets.reserve(loads.size());
  for (const WorkspaceLoad& load : loads)
    ideal_buckets.emplace_back(load.limit);
  for (Request& request : requests) {
    request.admitted_by_ideal =
        ideal_buckets[request.workspace].TryAcquire(request.at);
  }
  return requests;
}

}  // namespace sapphirebank::rate_bench
