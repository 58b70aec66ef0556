#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "sapphirebank/core/decayed_count.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/dispatch_forecast.h"
#include "sapphirebank/fleet/dispatch_query.h"
#include "sapphirebank/fleet/waiting_requests.h"

namespace sapphirebank {

struct AdmissionSettings {
  // Fraction of the latency objective after which a refusal is no longer
  // prompt: a request that no server was offered is held for no longer.
  double prompt_fraction = 0.125;
  // Part of the longest useful wait that the least urgent requests may fill.
  // The rest is kept for the more urgent ones.
  double least_urgent_fraction = 0.25;
  // A kind of request of which less than this part of the share of all requests
  // is admitted goes first, whatever its rank, so that none starves.
  double floor_of_share = 0.3;
  // Fraction of the time left within which a caller is told to return: callers
  // do not wait for longer.
  double max_return_fraction = 1.0 / 3;
  // Fraction of its time for which a retry may be held. The caller has the rest
  // to return by itself.
  double max_hold_fraction = 0.5;
  // Number of retries that may be held however few were granted.
  std::size_t min_waiting_retries = 8;
  // Decay time of the counts of requests, and the time for which a rank without
  // requests is considered present.
  Duration count_decay = std::chrono::seconds(2);
  // Maximum number of workspaces counted for each service and rank.
  std::size_t workspace_limit = 1024;
  WaitingRequestsSettings waiting;
};

// Why a request is refused or made to wait.
enum class AdmissionReason {
  // It cannot be served in the time that it has left.
  kNoTime,
  // The room is kept for more urgent requests.
  kRank,
  // Its workspace has had its share of the room.
  kShare,
  // The queue is longer than is of use to its rank.
  kQueue,
  // It came back before it was told to.
  kEarly,
  // The retry budget of the service is used up.
  kRetryBudget,
};

std::string_view ToString(AdmissionReason reason);

// Refusals of one kind since the last call, with the inputs of the last one.
struct AdmissionTally {
  ServiceId service;
  RequestRank rank;
  AdmissionReason reason = AdmissionReason::kNoTime;
  // Requests, and how many of them are held for another try.
  std::uint32_t requests = 0;
  std::uint32_t held = 0;
  DispatchForecast forecast;
  Duration forecast_age{};
  // Longest wait at which a request like it is admitted.
  Duration max_wait{};
  Duration time_left{};
  Duration return_after{};
  std::size_t waiting = 0;
};

// Decides which requests a hub refuses while a service has too little room.
// While any server has a free slot it admits all.
//
// A request is admitted up to a wait that is longer the more urgent it is, so
// that less urgent ones give way first (partial buffer sharing; the ranks are
// those of DAGOR: Zhou et al., "Overload Control for Scaling WeChat
// Microservices", 2018). Inside a rank, workspaces above their max-min fair
// share give way first. A short burst may fill the time that requests have; a
// queue that stands for longer than the objective is cut to what can still be
// answered within it (as by CoDel, Nichols and Jacobson, 2012).
class AdmissionControl {
 public:
  explicit AdmissionControl(AdmissionSettings settings) : settings_(settings) {}

  // Decides on a request by a forecast made at `forecast_at`. Returns nothing
  // when it is admitted.
  std::optional<DispatchRefusal> Decide(Instant now, const DispatchQuery& query,
                                        const DispatchForecast& forecast,
                                        Instant forecast_at);

  // Returns whether a retry must leave the retry budget to more urgent ones.
  bool MustYieldRetry(Instant now, const DispatchQuery& query) const;

  // Decides on a retry for which the retry budget has nothing left: it is held
  // while it is likely to get a retry in the time for which it may wait, and
  // refused otherwise. Returns nothing for a request without a fingerprint.
  std::optional<DispatchRefusal> DeferRetry(Instant now,
                                            const DispatchQuery& query,
                                            const DispatchForecast& forecast,
                                            Instant forecast_at);

  // Records that a retry has been assigned.
  void RecordRetry(Instant now, const DispatchQuery& query);

  // Forgets what is out of date.
  void Tick(Instant now);

  // Returns the refusals since the last call.
  std::vector<AdmissionTally> TakeTallies();

 private:
  struct CallerLoad {
    DecayedCount offered;
    DecayedCount admitted;
  };
  struct RankLoad {
    DecayedCount offered;
    DecayedCount admitted;
    // Longest wait after which its requests are answered within the objective.
    Duration slack{};
    Instant seen_at;
    std::map<WorkspaceId, CallerLoad> callers;
  };
  struct ServiceLoad {
    explicit ServiceLoad(const WaitingRequestsSettings& settings)
        : told(settings), retries(settings) {}

    std::map<RequestRank, RankLoad> ranks;
    // Requests refused by rank or queue, and retries that wait for the budget.
    WaitingRequests told;
    WaitingRequests retries;
    DecayedCount retries_granted;
    // Since when the wait has been longer than the most urgent can use.
    std::optional<Instant> standing_since;
  };
  struct TallyKey {
    ServiceId service;
    RequestRank rank;
    AdmissionReason reason = AdmissionReason::kNoTime;

    friend auto operator<=>(const TallyKey&, const TallyKey&) = default;
  };
  // Limit on the wait at which a request is admitted.
  struct WaitLimit {
    Duration wait{};
    AdmissionReason reason = AdmissionReason::kQueue;
    // Place of the request among all kinds, from 0 for the most urgent to 1.
    double place = 0;
  };

  ServiceLoad& LoadOf(const ServiceId& service);
  // Requests that have returned are not counted again.
  RankLoad& CountOffered(Instant now, const DispatchQuery& query,
                         const DispatchForecast& forecast, bool has_returned,
                         ServiceLoad& load);
  void CountAdmitted(Instant now, const DispatchQuery& query, RankLoad& rank);
  bool IsPresent(Instant now, const RankLoad& rank) const;
  bool IsAboveShare(Instant now, const DispatchQuery& query,
                    const RankLoad& rank) const;
  bool IsStarved(Instant now, const DispatchQuery& query,
                 const ServiceLoad& load) const;
  WaitLimit LimitFor(Instant now, const DispatchQuery& query,
                     const DispatchForecast& forecast, bool has_returned,
                     ServiceLoad& load, const RankLoad& rank) const;
  DispatchRefusal Refuse(Instant now, const DispatchQuery& query,
                         const DispatchForecast& forecast,
                         const WaitLimit& limit, ServiceLoad& load);
  Duration MaxReturn(const DispatchQuery& query) const;
  void Count(Instant now, const DispatchQuery& query,
             const DispatchForecast& forecast, Instant forecast_at,
             AdmissionReason reason, Duration max_wait,
             const DispatchRefusal& refusal, const ServiceLoad& load);

  AdmissionSettings settings_;
  std::map<ServiceId, ServiceLoad> loads_;
  std::map<TallyKey, AdmissionTally> tallies_;
  Instant next_tick_;
};

}  // namespace sapphirebank
