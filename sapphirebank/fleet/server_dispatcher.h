#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/server_liveness_tracker.h"
#include "sapphirebank/fleet/server_registry.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

struct ServerDispatcherSettings {
  // Assignments whose end is not reported expire after this time, which is
  // longer than almost all requests run.
  Duration assignment_timeout = std::chrono::seconds(4);
  // Requests that may queue at a server of the same zone before another zone is
  // used: a short wait costs less than sending a body across zones.
  double max_queued = 2;
  // Fraction of a cold server's warm-up rate that the hub of its zone sends;
  // and the fraction that all hubs of a zone send together if it has several,
  // as entry hosts may be connected to any of them.
  double warm_up_rate_fraction = 0.8;
  double multi_hub_rate_fraction = 1.6;
  // A server with a hard failure gets no requests for this time; the leader's
  // health decision arrives within it.
  Duration suspicion_time = std::chrono::milliseconds(250);
  // Token bucket capacity for requests to a cold server.
  double warm_up_burst = 1;
  // Fraction of the warm-up rate for servers of a zone without a hub, which
  // several other hubs cover.
  double stand_in_rate_fraction = 0.2;
  ServerLivenessSettings liveness;
  // A fully loaded server costs as much as one whose last confirmation is this
  // much older.
  Duration full_server_penalty = std::chrono::milliseconds(150);
};

// An entry host's request for a backend server.
struct DispatchQuery {
  ServiceId service;
  // Zone of the entry host, whose servers are preferred.
  ZoneId zone;
  bool repeatable = false;
  // An attempt after one that reached a server; it is charged to the retry
  // budget.
  bool is_retry = false;
  // Servers already tried, or that the host cannot reach.
  std::set<BackendId> excluded;
};

// The server assigned to a request.
struct DispatchChoice {
  BackendId server;
  // Requests are or may be queued at the server, so a late answer says
  // nothing about its health.
  bool is_busy = false;
};

// Result of an assigned request.
enum class AssignmentOutcome {
  kServed,
  // The server failed the request or could not be reached.
  kFailed,
  // The result says nothing about the server's health.
  kInconclusive,
};

// Identifies an assignment by the entry host and the host's number for it.
using AssignmentId = std::pair<HostId, std::uint64_t>;

// Assigns requests to the servers of the entry host's zone by join the shortest
// queue (Winston, "Optimality of the Shortest Line Discipline", 1977). The hub
// of a zone has exact counts of the requests in flight. It also covers zones
// that have lost their hub, whose servers would otherwise be unused.
//
// Repeatable requests go first to the servers that have been idle longest and
// thereby confirm their liveness; requests that must run once go to the most
// recently confirmed servers.
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

  // Sets the number of hubs in the zone, including this one.
  void SetZoneHubCount(std::size_t hubs) { zone_hub_count_ = hubs; }

  // Reports a hard failure of the server.
  void RecordHardFailure(Instant now, const BackendId& server);

  // Reports an error status of the server.
  void RecordError(const BackendId& server) { liveness_.RecordFailure(server); }

  // Ends an assignment.
  void EndAssignment(const AssignmentId& id, AssignmentOutcome outcome);

  // Ends all assignments of a host that disconnected.
  void EndAssignmentsOf(const HostId& host);

  // Expires assignments and stale state.
  void Tick(Instant now);

 private:
  struct Assignment {
    BackendId server;
    Instant assigned_at;
    Instant expires_at;
  };
  struct WarmUp {
    double tokens = 0;
    Instant filled_at;
  };
  struct Candidates {
    std::vector<const ServerState*> same_zone;
    std::vector<const ServerState*> other_zones;
    std::vector<const ServerState*> cold;
    std::vector<const ServerState*> unhealthy;
  };

  Candidates ClassifyServers(Instant now, const DispatchQuery& query,
                             const ServerRegistry& registry,
                             const std::set<ZoneId>& zones_out) const;
  const ServerState* ChooseCold(Instant now, const Candidates& candidates,
                                const DispatchQuery& query,
                                const PlannedService& service);
  template <typename Cost>
  const ServerState* LowestCost(const std::vector<const ServerState*>& servers,
                                const Cost& cost_of);
  const ServerState* LeastLoaded(
      const std::vector<const ServerState*>& servers);
  const ServerState* BestByLiveness(
      Instant now, bool may_probe,
      const std::vector<const ServerState*>& servers);
  double InFlight(const ServerState& server) const;
  double LoadOf(const ServerState& server) const;

  ServerDispatcherSettings settings_;
  ZoneId zone_;
  Random random_;
  std::map<AssignmentId, Assignment> assignments_;
  std::map<BackendId, int> in_flight_;
  std::map<BackendId, WarmUp> warm_ups_;
  std::map<BackendId, Instant> suspected_until_;
  ServerLivenessTracker liveness_;
  std::size_t zone_hub_count_ = 1;
};

}  // namespace sapphirebank
