#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/fleet_record.h"
#include "sapphirebank/fleet/server_announcement.h"
#include "sapphirebank/fleet/server_health_tracker.h"

namespace sapphirebank {

struct ServerRegistrySettings {
  ServerHealthSettings health_tracker;
  // A server without a heartbeat and without a success at any host for this
  // time is retired: four heartbeats of 1.5 s.
  Duration failing_heartbeat_timeout = std::chrono::seconds(6);
  // A server without a heartbeat for this time is always retired.
  Duration heartbeat_timeout = std::chrono::seconds(60);
  // A rate limit that entry hosts reported to this host is not replaced by the
  // leader's for this time, in which the leader learns of it.
  Duration rate_limit_settling_time = std::chrono::seconds(1);
  // Servers of a zone that returns to service may be cold without announcing
  // it.
  Duration zone_return_warm_up = std::chrono::seconds(3);
  // Servers of each version of a service are judged apart from the others, so
  // that the failures of a new version keep no other server in use.
  bool judges_versions_apart = false;
};

// A change of a server's health and the counts that caused it.
struct ServerHealthChange {
  BackendId server;
  ServiceId service;
  ServerHealth health = ServerHealth::kUp;
  // Decayed outcome counts.
  double successes = 0;
  double failures = 0;
};

// All known backend servers. Handles heartbeats that are late, duplicated, from
// an earlier incarnation, or for an endpoint that another server uses by now.
class ServerRegistry {
 public:
  explicit ServerRegistry(ServerRegistrySettings settings)
      : settings_(settings) {}

  // A server and its state.
  struct Entry {
    ServerState state;
    ServerHealthTracker health_tracker;
    Instant last_heartbeat_at;
    Instant last_success_at;
    // When an entry host reported the rate limit, or its end, here.
    Instant rate_limit_reported_at;
    // Sequence number of the server's last change that hosts must receive.
    std::uint64_t change_number = 0;
  };

  // Applies a heartbeat. Returns false if it is outdated.
  bool ApplyHeartbeat(Instant now, const ServerAnnouncement& announcement,
                      const FleetRecord& record);

  // Applies what an entry host heard from a server: the rate limit that it
  // names, or that it names none. Returns false if that is known already.
  bool ApplyRateLimit(Instant now, const BackendId& id,
                      std::optional<double> limit);

  // Applies the leader's state of a server. A server that is retired in
  // `record` stays retired: the leader may have sent the update before it left.
  void ApplyServerUpdate(Instant now, const ServerUpdate& update,
                         const FleetRecord& record);

  // Resets the health of all servers; a new leader tracks it from here on.
  void ResetHealth();

  // Adds one host's request outcomes for a server.
  void AddOutcomes(Instant now, const BackendId& id,
                   const ServerOutcomes& outcomes);

  // Retires the servers whose incarnations are retired in the record.
  void ApplyRetirements(const FleetRecord& record);

  // Marks the servers of a zone as cold for `warm_up`.
  void MarkZoneCold(Instant now, const ZoneId& zone, Duration warm_up);

  // Applies time-based health transitions and retires silent servers.
  void Tick(Instant now);

  // Returns the sequence number of the last change.
  std::uint64_t changes() const { return changes_; }

  // Returns the sequence number of the last change other than a health change.
  std::uint64_t urgent_changes() const { return urgent_changes_; }

  const std::map<BackendId, Entry>& entries() const { return entries_; }

  // Returns the health changes since the last call.
  std::vector<ServerHealthChange> TakeHealthChanges() {
    return std::exchange(health_changes_, {});
  }

 private:
  void UpdateHealth(const BackendId& id, Entry& entry);
  void MarkChanged(Entry& entry) { entry.change_number = ++changes_; }
  void MarkUrgentlyChanged(Entry& entry) {
    MarkChanged(entry);
    urgent_changes_ = changes_;
  }
  bool IsOutdated(const ServerAnnouncement& announcement) const;
  void RetireOthersAtEndpoint(const ServerAnnouncement& announcement);
  bool AreJudgedTogether(const ServerAnnouncement& a,
                         const ServerAnnouncement& b) const;
  std::size_t CountDownInService(const ServerAnnouncement& announcement) const;
  bool MayTakeDown(const Entry& entry) const;

  ServerRegistrySettings settings_;
  std::map<BackendId, Entry> entries_;
  std::uint64_t changes_ = 0;
  std::uint64_t urgent_changes_ = 0;
  std::vector<ServerHealthChange> health_changes_;
};

}  // namespace sapphirebank
