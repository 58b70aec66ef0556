#pragma once

// The admission policies that rate_bench compares, simulated for a fleet of
// hosts.

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

// Network delay of a message, in microseconds.
constexpr std::int64_t kOneWayDelay = 500;
// Bytes of the IP and UDP headers and of the digest that signs a datagram.
constexpr std::size_t kDatagramOverhead = 28 + 32;
// Bytes of a request to the central bucket or of its response: type, request
// number, workspace and decision, in CBOR.
constexpr std::size_t kCentralBucketMessageBytes = 40 + kDatagramOverhead;
// Interval between timer ticks of a host, in microseconds.
constexpr std::int64_t kTickInterval = 2000;

// Event queue of the simulation. Calls functions in the order of their times;
// those with equal times are called in the order in which they were added.
class EventQueue {
 public:
  // Schedules `callback` for the time `at`, in microseconds since the start.
  void Schedule(std::int64_t at, std::function<void()> callback) {
    queue_.push({at, ++last_sequence_, std::move(callback)});
  }

  // Runs all events up to and including `until`.
  void RunUntil(std::int64_t until) {
    while (!queue_.empty() && queue_.top().at <= until) {
      Event event = queue_.top();
      queue_.pop();
      now_ = event.at;
      event.callback();
    }
  }

  // Returns the time of the last event that was run.
  std::int64_t now() const { return now_; }

 private:
  struct Event {
    std::int64_t at;
    std::uint64_t sequence;
    std::function<void()> callback;
    bool operator<(const Event& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };
  std::priority_queue<Event> queue_;
  std::uint64_t last_sequence_ = 0;
  std::int64_t now_ = 0;
};

// The decision on one request. Times are in microseconds.
struct RequestOutcome {
  bool decided = false;
  bool admitted = false;
  std::int64_t at = 0;
  std::int64_t wait_time = 0;
};

// Result of a simulation: the outcomes by index of the request, and the traffic
// between hosts.
struct SimulationResult {
  std::vector<RequestOutcome> outcomes;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

// Availability of the owner of all buckets during a simulation.
struct Scenario {
  std::string name;
  // Times in microseconds when the owner is lost and when its successor starts,
  // or -1 if the owner is not lost.
  std::int64_t owner_lost_at = -1;
  std::int64_t successor_starts_at = -1;
};

// Simulates a static split: each host has a fixed share of every rate and
// burst. The shares of a burst are whole tokens and sum to it, so some hosts
// have none if the burst is smaller than the number of hosts.
inline SimulationResult SimulateStaticSplit(
    const std::vector<Request>& requests, std::size_t hosts) {
  SimulationResult result;
  result.outcomes.resize(requests.size());
  std::vector<std::vector<IdealTokenBucket>> buckets;
  for (const WorkspaceLoad& load : Workspaces()) {
    std::vector<IdealTokenBucket>& host_buckets = buckets.emplace_back();
    const auto burst = static_cast<std::size_t>(load.limit.burst);
    for (std::size_t i = 0; i < hosts; ++i) {
      const std::size_t host_burst =
          burst * (i + 1) / hosts - burst * i / hosts;
      const double share = static_cast<double>(host_burst) / load.limit.burst;
      host_buckets.emplace_back(
          RateLimit{load.limit.rate * share, static_cast<double>(host_burst)});
    }
  }
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const Request& request = requests[i];
    const bool admitted =
        buckets[request.workspace][request.host].TryAcquire(request.at);
    result.outcomes[i] = {true, admitted, request.at, 0};
  }
  return result;
}

// Simulates a central bucket: one owner decides on each request. While there is
// no owner, requests wait for the whole time-out and are refused. The next
// owner starts with empty buckets.
inline SimulationResult SimulateCentralBucket(
    const std::vector<Request>& requests, const Scenario& scenario,
    const RateSettings& settings) {
  SimulationResult result;
  result.outcomes.resize(requests.size());
  std::vector<IdealTokenBucket> buckets;
  for (const WorkspaceLoad& load : Workspaces()) {
    buckets.emplace_back(load.limit);
  }
  bool buckets_emptied = scenario.owner_lost_at < 0;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const Request& request = requests[i];
    const std::int64_t at = request.at + kOneWayDelay;
    result.messages += 1;
    result.bytes += kCentralBucketMessageBytes;
    const bool owner_unavailable = scenario.owner_lost_at >= 0 &&
                                   at >= scenario.owner_lost_at &&
                                   at < scenario.successor_starts_at;
    if (owner_unavailable) {
      const std::int64_t wait = settings.token_wait_timeout.count();
      result.outcomes[i] = {true, false, request.at + wait, wait};
      continue;
    }
    if (!buckets_emptied && at >= scenario.successor_starts_at) {
      buckets_emptied = true;
      for (IdealTokenBucket& bucket : buckets) {
        while (bucket.TryAcquire(scenario.successor_starts_at)) {
        }
      }
    }
    result.messages += 1;
    result.bytes += kCentralBucketMessageBytes;
    const bool admitted = buckets[request.workspace].TryAcquire(at);
    result.outcomes[i] = {true, admitted, at, 2 * kOneWayDelay};
  }
  return result;
}

// Simulates the library's policy: an owner grants token shares to the hosts.
class LeasedSharesSimulation {
 public:
  LeasedSharesSimulation(const std::vector<Request>& requests,
                         std::size_t hosts, const Scenario& scenario,
                         const RateSettings& settings)
      : requests_(requests), scenario_(scenario), settings_(settings) {
    result_.outcomes.resize(requests.size());
    for (std::size_t i = 0; i < hosts; ++i) AddHost(i);
  }

  // Runs the simulation once, for `length` microseconds.
  SimulationResult Simulate(std::int64_t length) {
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      event_queue_.Schedule(requests_[i].at, [this, i] { Submit(i); });
    }
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      for (std::int64_t at = 0; at < length; at += kTickInterval) {
        event_queue_.Schedule(at, [this, host] { Tick(host); });
      }
    }
    event_queue_.RunUntil(length + kSecond);
    return std::move(result_);
  }

 private:
  struct Host {
    std::unique_ptr<RateOwner> owner;
    std::unique_ptr<RateAdmission> admission;
  };

  static HostId HostIdOf(std::size_t index) {
    return HostId("host-" + std::to_string(index));
  }

  static std::size_t IndexOf(const HostId& id) {
    return std::stoul(id.value().substr(5));
  }

  Instant Now() const {
    // Time starts at one hour, so that the first owner has held its leases for
    // long.
    return Instant(std::chrono::hours(1) + Duration(event_queue_.now()));
  }

  // Returns the term in which `host` owns all buckets now. Host 0 is the first
  // owner and host 1 its successor.
  std::optional<Term> TermOf(std::size_t host) const {
    const std::int64_t now = event_queue_.now();
    const bool owner_lost =
        scenario_.owner_lost_at >= 0 && now >= scenario_.owner_lost_at;
    if (host == 0 && !owner_lost) return 1;
    if (host == 1 && owner_lost && now >= scenario_.successor_starts_at)
      return 2;
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
    host.admission = std::make_unique<
        RateAdmission>(settings_, 1, [this](Instant, std::string_view) {
      const bool successor_owns = TermOf(1).has_value();
      return std::optional<Owner>(Owner{HostIdOf(successor_owns ? 1 : 0), 1});
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
    if (decision) RecordDecision(*decision);
    Flush(request.host);
  }

  void Tick(std::size_t host) {
    if (host == 1 && TermOf(1) && !successor_acquired_) {
      successor_acquired_ = true;
      for (std::uint32_t i = 0; i < settings_.buckets; ++i) {
        hosts_[1].owner->OnAcquired(Now(), i, 2);
      }
    }
    for (const auto& decision : hosts_[host].admission->Tick(Now())) {
      RecordDecision(decision);
    }
    Flush(host);
  }

  void RecordDecision(const RateAdmission::Decision& decision) {
    result_.outcomes[decision.request] = {
        true, decision.outcome == AcquireOutcome::kAdmitted, event_queue_.now(),
        decision.waited.count()};
  }

  void Flush(std::size_t host) {
    for (RateEffect& effect : hosts_[host].admission->Flush(Now())) {
      const std::size_t to = IndexOf(effect.to);
      CountMessage(host, to, effect.message);
      event_queue_.Schedule(
          event_queue_.now() + kOneWayDelay,
          [this, host, to, message = std::move(effect.message)] {
            OnTokenRequest(host, to, std::get<TokenRequest>(message));
          });
    }
  }

  void OnTokenRequest(std::size_t from, std::size_t owner,
                      const TokenRequest& token_request) {
    const bool owner_lost = owner == 0 && !TermOf(0);
    if (owner_lost) return;
    for (RateEffect& effect : hosts_[owner].owner->OnTokenRequest(
             Now(), HostIdOf(from), token_request)) {
      const std::size_t to = IndexOf(effect.to);
      CountMessage(owner, to, effect.message);
      event_queue_.Schedule(event_queue_.now() + kOneWayDelay,
                            [this, to, message = std::move(effect.message)] {
                              OnMessage(to, message);
                            });
    }
  }

  void OnMessage(std::size_t host, const RateMessage& message) {
    if (const auto* token_response = std::get_if<TokenResponse>(&message)) {
      OnTokenResponse(host, *token_response);
      return;
    }
    hosts_[host].admission->OnRecall(Now(), std::get<TokenRecall>(message));
    Flush(host);
  }

  void OnTokenResponse(std::size_t host, const TokenResponse& token_response) {
    for (const auto& decision :
         hosts_[host].admission->OnTokenResponse(Now(), token_response)) {
      RecordDecision(decision);
    }
    Flush(host);
  }

  void CountMessage(std::size_t from, std::size_t to,
                    const RateMessage& message) {
    if (from == to) return;
    result_.messages += 1;
    result_.bytes += kDatagramOverhead +
                     nlohmann::json::to_cbor(EncodeRateMessage(message)).size();
  }

  const std::vector<Request>& requests_;
  const std::vector<WorkspaceLoad> loads_ = Workspaces();
  Scenario scenario_;
  RateSettings settings_;
  EventQueue event_queue_;
  std::deque<Host> hosts_;
  bool successor_acquired_ = false;
  SimulationResult result_;
};

}  // namespace sapphirebank::rate_bench
