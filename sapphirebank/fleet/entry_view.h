#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/server_signals.h"
#include "sapphirebank/fleet/traffic_plan.h"
#include "sapphirebank/fleet/version_policy.h"
#include "sapphirebank/fleet/view_lease_settings.h"

namespace sapphirebank {

// Load that a backend server last reported.
struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  Instant at;
};

// State of a backend server at one entry host.
struct KnownServer {
  ServerState state;
  // This host could not reach the server and sends it no requests until then,
  // whatever other hosts report.
  Instant avoid_until;
  // Which requests the server may get, by its version.
  VersionUse version_use = VersionUse::kOpen;
  // By when requests on their way to the server must have arrived; set once it
  // has left, its zone is out of service, or its version gets no requests.
  std::optional<Instant> arrival_limit;
  // Since when this host knows of a rate limit of the server.
  Instant limited_since;
  int in_flight = 0;  // From this host.
  ServerLoad load;

  // Takes the rate limit that the server named in its answer to a request sent
  // at `sent_at`, or that it named none. Returns whether that is a change. The
  // answer to a request from before the limit was known does not end it, since
  // the server may have answered before it named the limit.
  bool TakeRateLimit(Instant now, Instant sent_at, std::optional<double> limit);
};

using KnownServerPtr = std::shared_ptr<KnownServer>;

// An entry host's view of the fleet, built from the updates of its hub.
class EntryView {
 public:
  EntryView(PlanReader reader, ViewLeaseSettings lease)
      : reader_(std::move(reader)), lease_(lease) {}

  // Applies an update. `requested_at` is when the report that it answers was
  // sent; nothing for unsolicited updates. Fails with kNotLeader, and applies
  // nothing, when the sender's record is older than this host's; with
  // kInvalidDeclaration when the plan in it cannot be read, in which case the
  // rest is applied.
  Result<void> Apply(Instant now, std::optional<Instant> requested_at,
                     const FleetUpdate& update);

  // Returns the plan in force, or null.
  const std::shared_ptr<const TrafficPlan>& plan() const { return plan_; }

  // Returns whether the lease of the view is not over, so that no change of the
  // record can be overdue here. Requests may be handled only then.
  bool IsCurrent(Instant now) const { return now < current_until_; }

  // Returns when the lease of the view ends.
  Instant current_until() const { return current_until_; }

  // Returns whether a request whose bytes take `way` to the server may be sent
  // now: the view is current, and the lease leaves enough time. A way that is
  // longer than half of the contact lease needs that half only, as no lease may
  // be long enough for it; ArrivalLimit() holds all the same.
  bool HasTimeFor(Instant now, Duration way) const;

  // Returns by when a request on its way to `server` must have arrived whole,
  // as far as is known now: no acknowledged departure of the server, or of its
  // zone, is longer ago then than its limit. Later leases move it further, and
  // the departure ends that. A version that may get no more requests counts as
  // a departure: the servers of a replaced one stop.
  Instant ArrivalLimit(const KnownServer& server) const;

  // Returns the age of the last confirmed update.
  Duration LeaderUpdateAge(Instant now) const { return now - confirmed_as_of_; }

  // Returns the servers of a service.
  const std::vector<KnownServerPtr>& ServersOf(const ServiceId& service) const;

  bool IsZoneOut(const ZoneId& zone) const { return zones_out_.contains(zone); }
  bool IsQuarantined(Instant now, RequestFingerprint request) const {
    return crash_detector_.IsQuarantined(now, request);
  }

  // Records that a server broke off a request of this host.
  void RecordCrash(Instant now, RequestFingerprint request,
                   const BackendId& server) {
    crash_detector_.RecordCrash(now, request, server);
  }

  // Adds to the first report to a hub all crashes of requests that count, in
  // place of the new ones, and the quarantines.
  void FillCrashes(Instant now, EntryReport& report) {
    report.crashes = crash_detector_.Crashes(now);
    report.quarantines = crash_detector_.Quarantines(now);
  }

  // Returns the requests per second for a service over all hosts.
  double RequestRate(const ServiceId& service) const;

  // Returns the change of the replicated record up to which this view has all.
  std::uint64_t applied_changes() const { return applied_changes_; }

  std::uint32_t entry_hosts() const { return entry_hosts_; }
  std::uint64_t registry_id() const { return registry_id_; }
  std::uint64_t registry_changes() const { return registry_changes_; }

  // Returns the server called `id`, or null.
  KnownServerPtr Find(const BackendId& id) const;

  // Returns whether the server may still be sent requests: a request that was
  // assigned to it may have waited while it left, asked for a pause, its zone
  // went out of service, or its version was rolled back or replaced.
  bool MayReceiveRequests(Instant now, const KnownServer& server) const;

  // Uses servers again that this host could not reach, as the cause was its own
  // path.
  void EndAvoidance();

  // Returns which requests servers may get by their versions.
  const VersionPolicy& versions() const { return versions_; }

  // What servers told this host in their answers.
  ServerSignals& signals() { return signals_; }

  // Returns all servers.
  std::vector<KnownServerPtr> Servers() const;

  // Returns the announcements of all servers.
  std::vector<ServerAnnouncement> Announcements() const;

 private:
  Result<void> ApplyPlan(const PlanUpdate& news);
  void ApplyServers(Instant now, const FleetUpdate& update);
  void ApplyZones(Instant now, const std::set<ZoneId>& zones_out);
  void ApplyVersions(Instant now);

  // Sets the limit for requests on their way to a server that may get no more
  // of them, where a host has `bound` from an acknowledgement on.
  void EndSending(Instant now, KnownServer& server, Duration bound) const;

  // Returns the time for which requests may be on their way once no more may be
  // sent; the rest covers what the host and the network add to a limit.
  Duration TimeOnWay() const { return lease_.way / 2; }

  PlanReader reader_;
  ViewLeaseSettings lease_;
  std::shared_ptr<const TrafficPlan> plan_;
  nlohmann::json plan_document_;
  // The last plan that could not be read.
  PlanVersion missing_plan_ = 0;
  Instant confirmed_as_of_;
  Instant current_until_;
  std::map<BackendId, KnownServerPtr> servers_;
  std::map<ServiceId, std::vector<KnownServerPtr>> servers_by_service_;
  std::set<ZoneId> zones_out_;
  VersionPolicy versions_;
  CrashingRequestDetector crash_detector_{CrashingRequestSettings()};
  ServerSignals signals_;
  std::map<ServiceId, double> request_rates_;
  std::uint32_t entry_hosts_ = 1;
  std::uint64_t record_changes_ = 0;
  std::uint64_t applied_changes_ = 0;
  std::uint64_t registry_id_ = 0;
  std::uint64_t registry_changes_ = 0;
};

}  // namespace sapphirebank
