#pragma once

// The ways of rate_bench to admit requests over a fleet of hosts.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "performance_tests/rate_load.h"
#include "sapphirebank/rate/rate_admission.h"
#include "sapphirebank/rate/rate_codec.h"
#include "sapphirebank/rate/rate_owner.h"

namespace sapphirebank::rate_bench {

constexpr std::int64_t kOneWay = 500;  // Microseconds.
// IP and UDP headers, and the digest that signs a datagram.
constexpr std::size_t kDatagramOverhead = 28 + 32;
// An ask or answer of the central bucket: type, request number, workspace and
// verdict, in CBOR.
constexpr std::size_t kMessageBytes = 40 + kDatagramOverhead;
// Time between two rounds of a host's timers, in microseconds.
constexpr std::int64_t kTick = 2000;

// Calls functions at their times, in order.
class Timeline {
 public:
  void At(std::int64_t at, std::function<void()> call) {
    queue_.push({at, ++order_, std::move(call)});
  }

  void Run(std::int64_t until) {
    while (!queue_.empty() && queue_.top().at <= until) {
      Entry entry = queue_.top();
      queue_.pop();
      now_ = entry.at;
      entry.call();
    }
  }

  std::int64_t now() const { return now_; }

 private:
  struct Entry {
    std::int64_t at;
    std::uint64_t order;
    std::function<void()> call;
    bool operator<(const Entry& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  std::priority_queue<Entry> queue_;
  std::uint64_t order_ = 0;
  std::int64_t now_ = 0;
};

// What a run did with each request, by its index.
struct Outcome {
  bool decided = false;
  bool admitted = false;
  std::int64_t at = 0;
  std::int64_t waited = 0;
};

struct Run {
  std::vector<Outcome> outcomes;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

// What happens to the owner of all buckets.
struct Scenario {
  std::string name;
  // The owner's process ends here and the next owner starts there.
  std::int64_t lost_at = -1;
  std::int64_t found_at = -1;
};

// Each host has a fixed part of each rate and burst. Parts of the burst are
// whole and sum to it, so that some hosts have none of a small one.
inline Run RunStaticSplit(const std::vector<Request>& requests,
                          std::size_t hosts) {
  Run run;
  run.outcomes.resize(requests.size());
  std::vector<std::vector<TrueBucket>> buckets;
  for (const WorkspaceLoad& load : Workspaces()) {
    std::vector<TrueBucket>& parts = buckets.emplace_back();
    const auto burst = static_cast<std::size_t>(load.limit.burst);
    for (std::size_t i = 0; i < hosts; ++i) {
      const std::size_t part = burst * (i + 1) / hosts - burst * i / hosts;
      const double share = static_cast<double>(part) / load.limit.burst;
      parts.emplace_back(
          RateLimit{load.limit.rate * share, static_cast<double>(part)});
    }
  }
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const Request& request = requests[i];
    const bool admitted =
        buckets[request.workspace][request.host].Take(request.at);
    run.outcomes[i] = {true, admitted, request.at, 0};
  }
  return run;
}

// One host is asked for each request. While it is away, requests wait their
// longest time and are refused; the next owner starts with empty buckets.
inline Run RunCentralBucket(const std::vector<Request>& requests,
                            const Scenario& scenario,
                            const RateSettings& settings) {
  Run run;
  run.outcomes.resize(requests.size());
  std::vector<TrueBucket> buckets;
  for (const WorkspaceLoad& load : Workspaces()) {
    buckets.emplace_back(load.limit);
  }
  bool emptied = scenario.lost_at < 0;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const Request& request = requests[i];
    const std::int64_t at = request.at + kOneWay;
    run.messages += 1;
    run.bytes += kMessageBytes;
    const bool away = scenario.lost_at >= 0 && at >= scenario.lost_at &&
                      at < scenario.found_at;
    if (away) {
      const std::int64_t wait = settings.token_wait_timeout.count();
      run.outcomes[i] = {true, false, request.at + wait, wait};
      continue;
    }
    if (!emptied && at >= scenario.found_at) {
      emptied = true;
      for (TrueBucket& bucket : buckets) {
        while (bucket.Take(scenario.found_at)) {
        }
      }
    }
    run.messages += 1;
    run.bytes += kMessageBytes;
    const bool admitted = buckets[request.workspace].Take(at);
    run.outcomes[i] = {true, admitted, at, 2 * kOneWay};
  }
  return run;
}

// The library's way: shares that one owner grants.
class LeasedShares {
 public:
  LeasedShares(const std::vector<Request>& requests, std::size_t hosts,
               const Scenario& scenario, const RateSettings& settings)
      : requests_(requests), scenario_(scenario), settings_(settings) {
    run_.outcomes.resize(requests.size());
    for (std::size_t i = 0; i < hosts; ++i) AddHost(i);
  }

  Run Play(std::int64_t length) {
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      timeline_.At(requests_[i].at, [this, i] { Submit(i); });
    }
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      for (std::int64_t at = 0; at < length; at += kTick) {
        timeline_.At(at, [this, host] { Tick(host); });
      }
    }
    timeline_.Run(length + kSecond);
    return std::move(run_);
  }

 private:
  struct Host {
    std::unique_ptr<RateOwner> owner;
    std::unique_ptr<RateAdmission> admission;
  };

  static HostId Name(std::size_t index) {
    return HostId("host-" + std::to_string(index));
  }

  static std::size_t IndexOf(const HostId& id) {
    return std::stoul(id.value().substr(5));
  }

  Instant Now() const {
    // The fleet has been up for long.
    return Instant(std::chrono::hours(1) + Duration(timeline_.now()));
  }

  // Host 0 owns all buckets, and host 1 after it.
  std::optional<Term> TermOf(std::size_t host) const {
    const std::int64_t now = timeline_.now();
    const bool lost = scenario_.lost_at >= 0 && now >= scenario_.lost_at;
    if (host == 0 && !lost) return 1;
    if (host == 1 && lost && now >= scenario_.found_at) return 2;
    return std::nullopt;
  }

  void AddHost(std::size_t index) {
    Host& host = hosts_.emplace_back();
    std::map<WorkspaceId, RateLimit> limits;
    for (const WorkspaceLoad& load : Workspaces()) {
      limits[WorkspaceId(load.name)] = load.limit;
    }
    host.owner = std::make_unique<RateOwner>(
        settings_,
        [limits](const WorkspaceId& id) {
          return std::optional<RateLimit>(limits.at(id));
        },
        [this, index](Instant, std::uint32_t) { return TermOf(index); });
    host.admission = std::make_unique<RateAdmission>(
        settings_, 1, [this](Instant, std::string_view) {
          const bool second = TermOf(1).has_value();
          return std::optional<Owner>(Owner{Name(second ? 1 : 0), 1});
        });
    if (index != 0) return;
    for (std::uint32_t i = 0; i < settings_.buckets; ++i) {
      host.owner->OnAcquired(Instant(), i, 1);
    }
  }

  void Submit(std::size_t index) {
    const Request& request = requests_[index];
    const WorkspaceLoad& load = loads_[request.workspace];
    const auto decision = hosts_[request.host].admission->Submit(
        Now(), index, WorkspaceId(load.name), load.limit);
    if (decision) Decide(*decision);
    Flush(request.host);
  }

  void Tick(std::size_t host) {
    if (host == 1 && TermOf(1) && !acquired_) {
      acquired_ = true;
      for (std::uint32_t i = 0; i < settings_.buckets; ++i) {
        hosts_[1].owner->OnAcquired(Now(), i, 2);
      }
    }
    for (const auto& decision : hosts_[host].admission->Tick(Now())) {
      Decide(decision);
    }
    Flush(host);
  }

  void Decide(const RateAdmission::Decision& decision) {
    run_.outcomes[decision.request] = {
        true, decision.outcome == AcquireOutcome::kAdmitted, timeline_.now(),
        decision.waited.count()};
  }

  void Flush(std::size_t host) {
    for (RateEffect& effect : hosts_[host].admission->Flush(Now())) {
      const std::size_t to = IndexOf(effect.to);
      Count(host, to, effect.message);
      timeline_.At(timeline_.now() + kOneWay,
                   [this, host, to, message = std::move(effect.message)] {
                     OnTokenRequest(host, to, std::get<TokenRequest>(message));
                   });
    }
  }

  void OnTokenRequest(std::size_t from, std::size_t owner,
                      const TokenRequest& ask) {
    const bool ended = owner == 0 && !TermOf(0);
    if (ended) return;
    for (RateEffect& effect :
         hosts_[owner].owner->OnTokenRequest(Now(), Name(from), ask)) {
      const std::size_t to = IndexOf(effect.to);
      Count(owner, to, effect.message);
      timeline_.At(timeline_.now() + kOneWay,
                   [this, to, message = std::move(effect.message)] {
                     Receive(to, message);
                   });
    }
  }

  void Receive(std::size_t host, const RateMessage& message) {
    if (const auto* answer = std::get_if<TokenResponse>(&message)) {
      OnAnswer(host, *answer);
      return;
    }
    hosts_[host].admission->OnRecall(Now(), std::get<TokenRecall>(message));
    Flush(host);
  }

  void OnAnswer(std::size_t host, const TokenResponse& answer) {
    for (const auto& decision :
         hosts_[host].admission->OnTokenResponse(Now(), answer)) {
      Decide(decision);
    }
    Flush(host);
  }

  void Count(std::size_t from, std::size_t to, const RateMessage& message) {
    if (from == to) return;
    run_.messages += 1;
    run_.bytes += kDatagramOverhead +
                  nlohmann::json::to_cbor(EncodeRateMessage(message)).size();
  }

  const std::vector<Request>& requests_;
  const std::vector<WorkspaceLoad> loads_ = Workspaces();
  Scenario scenario_;
  RateSettings settings_;
  Timeline timeline_;
  std::deque<Host> hosts_;
  bool acquired_ = false;
  Run run_;
};

}  // namespace sapphirebank::rate_bench
