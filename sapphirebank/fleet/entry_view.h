#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <unordered_set>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

// What a backend server last said of its load.
struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  Instant at;
};

// A backend server as one entry host sees it.
struct KnownServer {
  ServerState state;
  // This host could not reach it: no requests from here until then, whatever
  // other hosts see.
  Instant avoid_until;
  int in_flight = 0;  // From this host.
  ServerLoad load;
};

using KnownServerPtr = std::shared_ptr<KnownServer>;

// What an entry host knows of the fleet, from the updates of the leading
// control host.
class EntryView {
 public:
  // `key_validity`: for how long after the leader's word keys may be taken
  // for valid; below the time in which a withdrawal must be in force.
  EntryView(PlanReader reader, Duration key_validity)
      : reader_(std::move(reader)), key_validity_(key_validity) {}

  // Takes an update. `requested_at` is when the report that it answers was
  // sent; nothing for news. Fails with kNotLeader, and takes nothing, when the
  // sender knows less of the record than this host; with kInvalidDeclaration
  // when the plan in it cannot be read, and the rest is taken all the same.
  Result<void> Apply(Instant now, std::optional<Instant> requested_at,
                     const FleetUpdate& update);

  // Returns the plan in force, or null.
  const std::shared_ptr<const TrafficPlan>& plan() const { return plan_; }

  // Returns whether the leader's word is so fresh that no key or route can
  // have been withdrawn without this host knowing for too long.
  bool IsCurrent(Instant now) const { return now < current_until_; }

  // Returns how old the leader's word is.
  Duration LeaderUpdateAge(Instant now) const {
    return now - (current_until_ - key_validity_);
  }

  // Returns the servers of a service.
  const std::vector<KnownServerPtr>& ServersOf(const ServiceId& service) const;

  bool IsZoneOut(const ZoneId& zone) const { return zones_out_.contains(zone); }
  bool IsQuarantined(RequestFingerprint request) const {
    return quarantined_.contains(request);
  }

  // Returns the requests a second for a service over all hosts.
  double RequestRate(const ServiceId& service) const;

  std::uint32_t entry_hosts() const { return entry_hosts_; }
  std::uint64_t registry_id() const { return registry_id_; }
  std::uint64_t registry_changes() const { return registry_changes_; }

  // Returns the control hosts that this host may report to.
  const std::vector<HubHost>& hubs() const { return hubs_; }

  // Returns the server called `id`, or null.
  KnownServerPtr Find(const BackendId& id) const;

  // Returns the announcements of all servers.
  std::vector<ServerAnnouncement> Announcements() const;

 private:
  Result<void> ApplyPlan(const PlanUpdate& news);
  void ApplyServers(Instant now, const FleetUpdate& update);

  PlanReader reader_;
  Duration key_validity_;
  std::shared_ptr<const TrafficPlan> plan_;
  nlohmann::json plan_document_;
  Instant current_until_;
  std::map<BackendId, KnownServerPtr> servers_;
  std::map<ServiceId, std::vector<KnownServerPtr>> servers_by_service_;
  std::set<ZoneId> zones_out_;
  std::unordered_set<RequestFingerprint> quarantined_;
  std::map<ServiceId, double> request_rates_;
  std::uint32_t entry_hosts_ = 1;
  std::vector<HubHost> hubs_;
  std::uint64_t record_changes_ = 0;
  std::uint64_t registry_id_ = 0;
  std::uint64_t registry_changes_ = 0;
};

}  // namespace sapphirebank
