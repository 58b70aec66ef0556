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
  ServerHealthSettings evidence;
  // A server that is not heard for this time and that no host reached either
  // is forgotten: four heartbeats of 1.5 s.
  Duration failing_heartbeat_timeout = std::chrono::seconds(6);
  // A server that is not heard for this time is forgotten in any case.
  Duration heartbeat_timeout = std::chrono::seconds(60);
  // After an outage ends its zone's servers may be cold without saying so.
  Duration zone_return_warm_up = std::chrono::seconds(3);
};

// A judgement of a backend server and what it came from.
struct ServerHealthChange {
  BackendId server;
  ServiceId service;
  ServerHealth health = ServerHealth::kUp;
  // Seen of late, decayed.
  double successes = 0;
  double failures = 0;
};

// All backend servers that are known, in one place that sorts out heartbeats
// which come late, twice, from an earlier life or about an address that others
// use by now.
class ServerRegistry {
 public:
  explicit ServerRegistry(ServerRegistrySettings settings)
      : settings_(settings) {}

  // One server and what is known of it.
  struct Entry {
    ServerState state;
    ServerHealthTracker evidence;
    Instant last_heartbeat_at;
    Instant last_success_at;
    // Number of the last change that hosts must be told of.
    std::uint64_t change_number = 0;
  };

  // Takes a heartbeat. Returns whether it counts.
  bool ApplyHeartbeat(Instant now, const ServerAnnouncement& announcement,
                      const FleetRecord& record);

  // Takes the leader's word on a server.
  void ApplyServerUpdate(Instant now, const ServerUpdate& update);

  // Forgets the judgements of servers: this host judges them from now on.
  void ResetHealth();

  // Adds what one host saw of a server.
  void AddOutcomes(Instant now, const BackendId& id,
                   const ServerOutcomes& outcomes);

  // Retires the servers whose lives the record says are over.
  void ApplyRetirements(const FleetRecord& record);

  // Takes the servers of a zone for cold.
  void MarkZoneCold(Instant now, const ZoneId& zone, Duration warm_up);

  // Judges servers by the passage of time.
  void Tick(Instant now);

  // Returns the number of the last change.
  std::uint64_t changes() const { return changes_; }

  // Returns the number of the last change that was more than a judgement.
  std::uint64_t urgent_changes() const { return urgent_changes_; }

  const std::map<BackendId, Entry>& entries() const { return entries_; }

  // Returns the judgements since the last call.
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
  std::size_t CountDownInService(const ServerAnnouncement& announcement) const;
  bool MayTakeDown(const Entry& entry) const;

  ServerRegistrySettings settings_;
  std::map<BackendId, Entry> entries_;
  std::uint64_t changes_ = 0;
  std::uint64_t urgent_changes_ = 0;
  std::vector<ServerHealthChange> health_changes_;
};

}  // namespace sapphirebank
