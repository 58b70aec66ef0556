#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/dispatch_forecast.h"
#include "sapphirebank/fleet/dispatch_query.h"
#include "sapphirebank/fleet/placement.h"
#include "sapphirebank/fleet/server_liveness_tracker.h"
#include "sapphirebank/fleet/server_registry.h"
#include "sapphirebank/fleet/server_token_buckets.h"
#include "sapphirebank/fleet/server_work_tracker.h"
#include "sapphirebank/fleet/traffic_plan.h"
#include "sapphirebank/fleet/version_policy.h"
#include "sapphirebank/fleet/work_estimator.h"

namespace sapphirebank {

struct ServerDispatcherSettings {
  // Assignments whose end is not reported expire this long after the request's
  // deadline.
  Duration end_report_slack = std::chrono::milliseconds(500);
  // Places requests by the work that servers have to do; otherwise by their
  // number only.
  bool place_by_work = true;
  // Requests whose mean work is a larger fraction of the latency objective may
  // be late at a healthy server without a queue.
  double late_work_fraction = 0.6;
  // Requests that may queue at a server of the same zone before another zone is
  // used: a short wait costs less than sending a body across zones.
  double max_queued = 2;
  // A request is kept in its zone, whatever the number of queued ones, while
  // that delays it by less than crossing zones costs: a fixed delay, and the
  // time that its body takes at a rate in bytes per second.
  Duration cross_zone_delay = std::chrono::milliseconds(100);
  double cross_zone_rate = 2e6;
  // A longer delay, as a fraction of the latency objective, is not accepted for
  // a server's being near, or confirmed.
  double max_delay_fraction = 0.4;
  // Delays that differ by less, as a fraction of the latency objective, are
  // equal to the caller. What is in no hurry then leaves the shortest queues to
  // what is.
  double equal_delay_fraction = 0.2;
  // What a rejection costs the caller, as a fraction of the latency objective.
  // Rejections hold no slot, so without it a server that rejects would look
  // idle.
  double rejection_cost_fraction = 0.5;
  // Fraction of a cold server's warm-up rate that its own hub sends.
  double warm_up_rate_fraction = 0.8;
  // A server with a hard failure gets no requests for this time; the leader's
  // health decision arrives within it.
  Duration suspicion_time = std::chrono::milliseconds(250);
  // Token bucket capacity for requests to a cold server.
  double warm_up_burst = 1;
  // Token bucket capacity of a server that has named a rate limit, in seconds
  // of that rate, and the least rate, at which a server that accepts next to
  // nothing is asked whether that has changed.
  double rate_limit_burst_seconds = 0.5;
  double min_limited_rate = 0.25;
  // Fraction of the warm-up rate for servers of a zone without a hub, which
  // several other hubs cover, and for a hub that has just started.
  double stand_in_rate_fraction = 0.2;
  ServerLivenessSettings liveness;
  WorkEstimatorSettings work;
  ServerWorkSettings server_work;
  // A healthy server without a request for this time gets the next one,
  // whatever its kind: no more of the servers may idle than the floor of
  // healthy capacity in use allows, which is judged over 2 s.
  Duration max_idle_time = std::chrono::milliseconds(1500);
  // A fully loaded server costs as much as one whose last confirmation is this
  // much older.
  Duration full_server_penalty = std::chrono::milliseconds(150);
};

// Identifies an assignment by the entry host and the host's number for it.
using AssignmentId = std::pair<HostId, std::uint64_t>;

// Assigns requests to the servers of the entry host's zone by least work left
// (Harchol-Balter, "Performance Modeling and Design of Computer Systems", 2013,
// chapter 24), where work is measured in the time that a server needs for it,
// as Prequal does by latency (Wydrowski et al., NSDI 2024). The hubs of a zone
// divide its servers among them; a hub has exact counts of the requests in
// flight at its own and prefers these while one has a free slot. It also covers
// zones that have lost their hub, whose servers would otherwise be unused.
//
// Repeatable requests go first to the servers that have been idle longest and
// thereby confirm their liveness; requests that must run once go to the most
// recently confirmed servers. Servers with an overdue request get neither while
// others have room.
//
// A server that has named a rate limit gets requests from its own hub only, by
// a token bucket, so that the limit holds for all entry hosts together.
class ServerDispatcher {
 public:
  ServerDispatcher(ServerDispatcherSettings settings, ZoneId zone,
                   Random random)
      : settings_(settings),
        zone_(std::move(zone)),
        random_(random),
        liveness_(settings.liveness),
        work_estimator_(settings.work),
        work_tracker_(settings.server_work) {}

  // Returns the server for a request, or nothing when the host must choose one
  // itself.
  std::optional<DispatchChoice> Assign(Instant now, const AssignmentId& id,
                                       const DispatchQuery& query,
                                       const ServerRegistry& registry,
                                       const std::set<ZoneId>& zones_out,
                                       const TrafficPlan& plan);

  // Assigns a request to a server of the version in trial that has a free slot,
  // or returns nothing. Prefers the servers of this hub; others only where it
  // has none, and only warm ones, as it does not know what they get.
  std::optional<DispatchChoice> AssignTrial(Instant now, const AssignmentId& id,
                                            const DispatchQuery& query,
                                            const ServerRegistry& registry,
                                            const std::set<ZoneId>& zones_out,
                                            const TrafficPlan& plan);

  // Sets which requests servers may get by their versions.
  void SetVersions(VersionRecord record);
  // Returns what is known of the room for the query at all servers that it may
  // be sent to. Requests that other hubs send to their servers are not counted.
  DispatchForecast Forecast(Instant now, const DispatchQuery& query,
                            const ServerRegistry& registry,
                            const std::set<ZoneId>& zones_out);

  // Sets the hubs that divide the zone's servers among them, and the address of
  // this one. Until then cold servers get the fraction of a hub of another
  // zone.
  void SetZoneHubs(std::vector<std::string> hubs, std::string self);

  // Sets an observer of the choices, or none.
  void set_placement_observer(PlacementObserver observer) {
    placement_observer_ = std::move(observer);
  }

  // Returns how many requests each rule has placed.
  const PlacementCounts& placement_counts() const { return placement_counts_; }

  // Returns the work of the requests for each service with servers in use.
  std::map<ServiceId, ServiceWork> Work(Instant now) const;

  // Reports a hard failure of the server.
  void RecordHardFailure(Instant now, const BackendId& server);

  // Reports an error status of the server.
  void RecordError(Instant now, const BackendId& server) {
    liveness_.RecordFailure(now, server);
  }

  // Ends an assignment.
  void EndAssignment(Instant now, const AssignmentId& id,
                     AssignmentOutcome outcome);

  // Ends all assignments of a host that disconnected.
  void EndAssignmentsOf(const HostId& host);

  // Expires assignments and stale state.
  void Tick(Instant now);

 private:
  using Servers = std::vector<const ServerState*>;

  struct Assignment {
    BackendId server;
    PendingAssignment pending;
    Instant expires_at;
    // What tells the request's work, and its number at the work tracker.
    ServiceId service;
    std::string route;
    std::uint64_t body_bytes = 0;
    std::uint64_t work_number = 0;
  };
  struct Candidate {
    const ServerState* server = nullptr;
    ServerLivenessTracker::Status status;
    ServerWorkTracker::Status work;

    // Returns the requests in flight for each slot of the server's, of which
    // those count that it does not reject requests for.
    double load() const {
      const double slots = server->announcement.slots * (1 - work.rejected);
      return status.in_flight / std::max(slots, 1.0);
    }
  };
  // Servers of one set of zones by what is known of them.
  struct Candidates {
    std::vector<Candidate> healthy;
    std::vector<Candidate> overdue;
    std::vector<Candidate> unhealthy;
    Servers cold;

    Candidates& operator+=(const Candidates& more);
  };

  // A server and the rule that chose it.
  struct Choice {
    const ServerState* server = nullptr;
    PlacementRule rule = PlacementRule::kFreeSlot;
  };

  void RefreshIndex(Instant now, const ServerRegistry& registry);
  void RefreshVersions(const ServerRegistry& registry);
  DispatchChoice RecordChoice(Instant now, const AssignmentId& id,
                              const DispatchQuery& query,
                              const WorkEstimate& work, const Choice& choice);
  WorkEstimate EstimateWork(const DispatchQuery& query) const;
  ServerWorkTracker::Status WorkStatus(Instant now,
                                       const ServerState& server) const;
  Choice Choose(Instant now, const DispatchQuery& query,
                const WorkEstimate& work, const std::set<ZoneId>& zones_out,
                const PlannedService& service);
  void AddToForecast(Instant now, const DispatchQuery& query,
                     const WorkEstimate& work, const Servers& servers,
                     DispatchForecast& forecast) const;
  void Classify(Instant now, const DispatchQuery& query, const Servers& servers,
                Candidates& candidates);
  Candidates ClassifyOwn(Instant now, const DispatchQuery& query);
  Candidates ClassifyOtherZones(Instant now, const DispatchQuery& query,
                                const std::set<ZoneId>& zones_out);
  bool IsOwn(const ServerAnnouncement& server) const;
  Candidates ClassifyRestOfZone(Instant now, const DispatchQuery& query);
  ServerRateLimit NamedLimit(const ServerState& server) const;
  bool HasReachedLimit(Instant now, const ServerState& server);
  Choice ChooseWarm(const DispatchQuery& query, const WorkEstimate& work,
                    const Candidates& same_zone, const Candidates& other_zones);
  const Candidate* LeastDelay(const DispatchQuery& query,
                              const WorkEstimate& work,
                              const std::vector<Candidate>& same_zone,
                              const std::vector<Candidate>& other_zones);
  const ServerState* ChooseCold(Instant now, const Servers& servers,
                                const DispatchQuery& query,
                                const PlannedService& service);
  template <typename Cost>
  const Candidate* LowestCost(const std::vector<Candidate>& servers,
                              const Cost& cost_of);
  const Candidate* LeastDelayed(const DispatchQuery& query,
                                const WorkEstimate& work,
                                const std::vector<Candidate>& servers);
  const Candidate* BestByLiveness(const DispatchQuery& query,
                                  const WorkEstimate& work,
                                  const std::vector<Candidate>& servers);
  bool MustGetNext(const DispatchQuery& query, const WorkEstimate& work,
                   const Candidate& candidate) const;
  double DelaySeconds(const DispatchQuery& query, const WorkEstimate& work,
                      const Candidate& candidate) const;
  double MaxDelaySeconds(const DispatchQuery& query) const;
  void DiscardAssignment(const AssignmentId& id);
  double CrossingSeconds(const DispatchQuery& query) const;
  bool HasRoom(const DispatchQuery& query, const WorkEstimate& work,
               const Candidate& candidate) const;
  Duration OverdueAge(const WorkEstimate& work,
                      const Candidate& candidate) const;

  ServerDispatcherSettings settings_;
  ZoneId zone_;
  Random random_;
  std::map<AssignmentId, Assignment> assignments_;
  ServerTokenBuckets warm_ups_;
  ServerTokenBuckets rate_limits_;
  std::map<BackendId, Instant> suspected_until_;
  ServerLivenessTracker liveness_;
  WorkEstimator work_estimator_;
  ServerWorkTracker work_tracker_;
  PlacementCounts placement_counts_{};
  PlacementObserver placement_observer_;
  std::vector<std::string> zone_hubs_;
  std::string self_;
  // Servers in use by service, as of a change of the registry: those of this
  // hub, and the others by zone.
  struct ServiceServers {
    Servers own;
    std::map<ZoneId, Servers> others;
    // Servers of the version in trial, of this hub and others.
    Servers own_trial;
    Servers other_trial;
  };
  std::map<ServiceId, ServiceServers> index_;
  std::uint64_t indexed_change_ = 0;
  VersionPolicy versions_;
};

}  // namespace sapphirebank
