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
  // An assignment whose end is not told counts for this long: longer than
  // requests run, except a few.
  Duration assignment_timeout = std::chrono::seconds(4);
  // Requests that a near server may have waiting before one of another zone is
  // asked: a short wait costs less than a body that crosses zones.
  double max_queued = 2;
  // Part of its warm-up rate that a cold server is sent by the hub of its zone,
  // and by all hubs of a zone that has several: hosts may be at any of them.
  double warm_up_rate_fraction = 0.8;
  double multi_hub_rate_fraction = 1.6;
  // A server that broke a request off gets no other for this time: the leader's
  // judgement comes within it.
  Duration suspicion_time = std::chrono::milliseconds(250);
  // Requests that a cold server may be sent at once.
  double warm_up_burst = 1;
  // The same for a zone that has no hub: several others stand in for it.
  double stand_in_rate_fraction = 0.2;
  ServerLivenessSettings liveness;
  // A full server is as bad as one whose proof is this much older.
  Duration full_server_penalty = std::chrono::milliseconds(150);
};

// One entry host's request for a server.
struct DispatchQuery {
  ServiceId service;
  // Of the host: its servers are near.
  ZoneId zone;
  bool repeatable = false;
  // A try after one that reached a server: it takes from the retry budget.
  bool is_retry = false;
  // Servers that had the request or that the host cannot reach.
  std::set<BackendId> excluded;
};

// The server for a request.
struct DispatchChoice {
  BackendId server;
  // Others wait at the server or may, so that a late answer says nothing about
  // it.
  bool is_busy = false;
};

// What became of an assignment.
enum class AssignmentOutcome {
  kServed,
  // The server failed the request or could not be reached.
  kFailed,
  // It says nothing about the server.
  kInconclusive,
};

// Names each assignment: the host that asked and its number.
using AssignmentId = std::pair<HostId, std::uint64_t>;

// Assigns requests to the servers of the asking host's zone by what each has in
// work. The hub of a zone counts that exactly, and also stands in for a zone
// that has lost its hub, whose servers nobody would use otherwise: join the
// shortest queue (Winston, "Optimality of the Shortest Line Discipline", 1977).
//
// Requests that may be repeated go first to the servers that were asked least
// recently and prove them; requests that must run once go to those that were
// proven last.
class ServerDispatcher {
 public:
  ServerDispatcher(ServerDispatcherSettings settings, ZoneId zone,
                   Random random)
      : settings_(settings),
        zone_(std::move(zone)),
        random_(random),
        liveness_(settings.liveness) {}

  // Returns the server for a request, or nothing when the host must choose
  // itself.
  std::optional<DispatchChoice> Assign(Instant now, const AssignmentId& id,
                                       const DispatchQuery& query,
                                       const ServerRegistry& registry,
                                       const std::set<ZoneId>& zones_out,
                                       const TrafficPlan& plan);

  // Sets how many hubs the zone has, with this one.
  void SetZoneHubCount(std::size_t hubs) { zone_hub_count_ = hubs; }

  // The server broke a request off.
  void RecordHardFailure(Instant now, const BackendId& server);

  // The server failed a request, but did not break it off.
  void RecordError(const BackendId& server) { liveness_.RecordFailure(server); }

  // The request has ended.
  void EndAssignment(const AssignmentId& id, AssignmentOutcome end);

  // The host is gone, and its requests with it.
  void EndAssignmentsOf(const HostId& host);

  // Acts on the passage of time.
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
