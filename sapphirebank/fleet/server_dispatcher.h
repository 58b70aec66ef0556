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
#include "sapphirebank/fleet/attempt_duration_estimator.h"
#include "sapphirebank/fleet/dispatch_forecast.h"
#include "sapphirebank/fleet/dispatch_query.h"
#include "sapphirebank/fleet/server_liveness_tracker.h"
#include "sapphirebank/fleet/server_registry.h"
#include "sapphirebank/fleet/server_token_buckets.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

struct ServerDispatcherSettings {
  // Assignments whose end is not reported expire this long after the request's
  // deadline.
  Duration end_report_slack = std::chrono::milliseconds(500);
  // Age, as a fraction of the latency objective, from which an attempt is
  // overdue before the first one has been served.
  double initial_overdue_fraction = 0.6;
  // Requests that may queue at a server of the same zone before another zone is
  // used: a short wait costs less than sending a body across zones.
  double max_queued = 2;
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

// Assigns requests to the servers of the entry host's zone by join the shortest
// queue (Winston, "Optimality of the Shortest Line Discipline", 1977). The hubs
// of a zone divide its servers among them; a hub has exact counts of the
// requests in flight at its own and prefers these while one has a free slot. It
// also covers zones that have lost their hub, whose servers would otherwise be
// unused.
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
        liveness_(settings.liveness) {}

  // Returns the server for a request, or nothing when the host must choose one
  // itself.
  std::optional<DispatchChoice> Assign(Instant now, const AssignmentId& id,
                                       const DispatchQuery& query,
                                       const ServerRegistry& registry,
                                       const std::set<ZoneId>& zones_out,
                                       const TrafficPlan& plan);

  // Returns what is known of the room for the query at all servers that it may
  // be sent to. Requests that other hubs send to their servers are not counted.
  DispatchForecast Forecast(Instant now, const DispatchQuery& query,
                            const ServerRegistry& registry,
                            const std::set<ZoneId>& zones_out);

  // Sets the hubs that divide the zone's servers among them, and the address of
  // this one. Until then cold servers get the fraction of a hub of another
  // zone.
  void SetZoneHubs(std::vector<std::string> hubs, std::string self);

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
  // Requests that take about the same time: service and latency objective.
  using RequestClass = std::pair<ServiceId, Duration>;
  using Servers = std::vector<const ServerState*>;

  struct Assignment {
    BackendId server;
    PendingAssignment pending;
    Instant expires_at;
    RequestClass request_class;
  };
  struct Candidate {
    const ServerState* server = nullptr;
    ServerLivenessTracker::Status status;

    double load() const {
      return static_cast<double>(status.in_flight) /
             std::max<std::uint32_t>(server->announcement.slots, 1);
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

  void RefreshIndex(Instant now, const ServerRegistry& registry);
  void AddToForecast(Instant now, const DispatchQuery& query,
                     const Servers& servers, DispatchForecast& forecast);
  void Classify(Instant now, const DispatchQuery& query, const Servers& servers,
                Candidates& candidates);
  Candidates ClassifyOwn(Instant now, const DispatchQuery& query);
  Candidates ClassifyOtherZones(Instant now, const DispatchQuery& query,
                                const std::set<ZoneId>& zones_out);
  bool IsOwn(const ServerAnnouncement& server) const;
  Candidates ClassifyRestOfZone(Instant now, const DispatchQuery& query);
  ServerRateLimit NamedLimit(const ServerState& server) const;
  bool HasReachedLimit(Instant now, const ServerState& server);
  const Candidate* ChooseWarm(const DispatchQuery& query,
                              const Candidates& same_zone,
                              const Candidates& other_zones);
  const ServerState* ChooseCold(Instant now, const Servers& servers,
                                const DispatchQuery& query,
                                const PlannedService& service);
  template <typename Cost>
  const Candidate* LowestCost(const std::vector<Candidate>& servers,
                              const Cost& cost_of);
  const Candidate* LeastLoaded(const std::vector<Candidate>& servers);
  const Candidate* BestByLiveness(bool may_probe,
                                  const std::vector<Candidate>& servers);
  void DiscardAssignment(const AssignmentId& id);
  bool IsFull(const Candidate& candidate) const;
  Duration OverdueAge(const DispatchQuery& query, const ServerState& server,
                      int in_flight) const;

  ServerDispatcherSettings settings_;
  ZoneId zone_;
  Random random_;
  std::map<AssignmentId, Assignment> assignments_;
  ServerTokenBuckets warm_ups_;
  ServerTokenBuckets rate_limits_;
  std::map<BackendId, Instant> suspected_until_;
  ServerLivenessTracker liveness_;
  std::map<RequestClass, AttemptDurationEstimator> durations_;
  std::vector<std::string> zone_hubs_;
  std::string self_;
  // Servers in use by service, as of a change of the registry: those of this
  // hub, and the others by zone.
  struct ServiceServers {
    Servers own;
    std::map<ZoneId, Servers> others;
  };
  std::map<ServiceId, ServiceServers> index_;
  std::uint64_t indexed_change_ = 0;
};

}  // namespace sapphirebank
