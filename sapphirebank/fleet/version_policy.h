#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/fleet/fleet_record.h"
#include "sapphirebank/fleet/rollout.h"
#include "sapphirebank/fleet/server_announcement.h"

namespace sapphirebank {

// What the replicated record says of the versions of services.
struct VersionRecord {
  // The last rollout of each service.
  std::map<ServiceId, Rollout> rollouts;
  // The versions to which the last completed rollouts moved their services.
  std::map<ServiceId, std::string> current_versions;

  friend bool operator==(const VersionRecord&, const VersionRecord&) = default;
};

VersionRecord VersionRecordOf(const FleetRecord& record);

// Tells which requests backend servers may get by their versions. A version is
// permitted by a rollout, or because the service had it before any: until an
// order names it, a server of another version gets nothing. Hubs and entry
// hosts decide alike from the record and the servers, and keep nothing that a
// restart would lose.
class VersionPolicy {
 public:
  // Takes what the record says. Before the first call no version is limited.
  void SetRecord(VersionRecord record) { record_ = std::move(record); }

  // Returns whether versions are limited.
  bool IsActive() const { return record_.has_value(); }

  // Takes the servers in use. A service without a completed rollout has the
  // version of the server that started first, apart from those of its rollouts.
  void SetServers(std::span<const ServerAnnouncement* const> servers);

  // Returns which requests the server may get. One that announces no version
  // counts as one of those that the service had before.
  VersionUse UseOf(const ServerAnnouncement& server) const;

  // Returns the rollout of the service that is not over, or null.
  const Rollout* FindRunning(const ServiceId& service) const;

 private:
  const Rollout* FindLast(const ServiceId& service) const;
  const std::string* FindVersionInUse(const ServiceId& service) const;

  std::optional<VersionRecord> record_;
  struct FirstStart {
    Incarnation start = 0;
    std::string version;
  };
  std::map<ServiceId, FirstStart> first_starts_;
};

}  // namespace sapphirebank
