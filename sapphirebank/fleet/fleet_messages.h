#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/crashing_request_detector.h"
#include "sapphirebank/fleet/fleet_record.h"
#include "sapphirebank/fleet/rollout_samples.h"
#include "sapphirebank/fleet/server_announcement.h"
#include "sapphirebank/fleet/server_health_tracker.h"
#include "sapphirebank/fleet/version_policy.h"

namespace sapphirebank {

// An entry host that may be advertised to callers.
struct ReadyHost {
  std::string address;  // "ip:port".
  ZoneId zone;
  // The host has not lost its path to the backend servers.
  bool reaches_servers = true;

  friend bool operator==(const ReadyHost&, const ReadyHost&) = default;
};

// A control host that entry hosts may report to.
struct HubHost {
  std::string address;  // "ip:port" among the fleet's processes.
  ZoneId zone;

  friend bool operator==(const HubHost&, const HubHost&) = default;
};

// Throws nlohmann::json::exception for malformed input.
void to_json(nlohmann::json& out, const HubHost& hub);
void from_json(const nlohmann::json& in, HubHost& hub);

// Report of an entry host to its hub, or of a hub to the leading control host
// for all entry hosts that report to it. Sent at once when something is needed,
// otherwise a few times per second.
struct EntryReport {
  // Increases with each report of one link; the update that answers it repeats
  // it.
  std::uint64_t number = 0;
  // Hosts that accept callers; nothing if they are those of the report before.
  std::optional<std::vector<ReadyHost>> ready_hosts = std::vector<ReadyHost>();
  // Number of entry hosts that this report covers.
  std::uint32_t entry_hosts = 1;
  // Id of the registry whose changes were applied, and the last change applied.
  std::uint64_t registry_id = 0;
  std::uint64_t known_registry_changes = 0;
  PlanVersion known_plan_version = 0;
  // Change of the replicated record up to which the host acts on the record, or
  // all hosts that report to the hub; 0 if that is not known.
  std::uint64_t applied_changes = 0;
  // The entry host stops using its view when the contact lease has passed since
  // it sent the last report that was answered. Those of earlier builds do not.
  bool ends_without_contact = false;
  std::map<BackendId, ServerOutcomes> outcomes;
  // Requests for each service since the last report.
  std::map<ServiceId, std::uint32_t> requests;
  // Tokens requested, by workspace.
  std::map<WorkspaceId, std::uint32_t> wanted_tokens;
  // Crashes since the last report; all that still count in the first one to a
  // hub. An earlier build takes them for new.
  std::vector<RequestCrash> crashes;
  // Quarantines that the receiver may not know, in the first report to a hub.
  std::vector<RequestQuarantine> quarantines;
  // Rate limits that servers have named, or no longer name, in answers.
  std::map<BackendId, std::optional<double>> rate_limits;
  // What was seen of services with a rollout since the last report.
  std::map<ServiceId, RolloutSamples> rollout_samples;
  // Servers that the receiver may not know.
  std::vector<ServerAnnouncement> known_servers;
};

// A server in an update. Times are sent as durations, since clocks differ.
struct ServerUpdate {
  ServerAnnouncement announcement;
  ServerHealth health = ServerHealth::kUp;
  Duration cold_for{};
  bool retired = false;
  std::optional<double> rate_limit{};
};

// A traffic plan in an update, either complete or as a patch (RFC 6902) to the
// plan that the receiver holds.
struct PlanUpdate {
  PlanVersion version = 0;
  std::optional<PlanVersion> base;
  // Compressed JSON: the link of a small host takes seconds for the text of a
  // plan with a thousand routes.
  std::string compressed_text;
};

// Answers token requests.
struct TokenGrant {
  std::uint32_t tokens = 0;
  // Requested tokens that this settles, granted or refused.
  std::uint32_t settled = 0;
};

// Update from a hub to an entry host, or from the leading control host to a
// hub.
struct FleetUpdate {
  // Number of the report that this answers; 0 for unsolicited updates.
  std::uint64_t answered_report = 0;
  // Time since a quorum last confirmed the leader. The update contains
  // everything committed before then.
  Duration quorum_age{};
  // The sender takes part in an election of a leader, so that its quorum age
  // says nothing about its connections.
  bool is_electing = false;
  // The hub's own leader update is old, and no other hub has a recent one.
  bool has_newest_update = false;
  // All control hosts hold back acknowledgements of changes until the leases of
  // hosts that lack them are over.
  bool gates_changes = false;
  // Changes of the replicated record that the sender has applied.
  std::uint64_t record_changes = 0;
  std::uint64_t registry_id = 0;
  std::uint64_t registry_changes = 0;
  // The receiver is asked to report the servers that it knows, as the sender
  // has lost its own.
  bool wants_servers = false;
  // The receiver must remove servers that are not listed.
  bool full_registry = false;
  std::vector<ServerUpdate> servers;
  std::optional<PlanUpdate> plan;
  // Whether the update carries zones, versions, rates, quarantine and hubs,
  // which are sent when they change.
  bool shared_state = false;
  // Nothing where no rollouts are configured; earlier builds never send it.
  std::optional<VersionRecord> versions;
  std::set<ZoneId> zones_out;
  // Requests per second over all hosts, by service.
  std::map<ServiceId, double> request_rates;
  std::vector<RequestQuarantine> quarantines;
  // Number of entry hosts among which shares are divided.
  std::uint32_t entry_hosts = 1;
  std::vector<HubHost> hubs;
  // Addresses of the entry hosts that the receiver may send requests to when it
  // reaches no server, best ones first.
  std::vector<std::string> detour_hosts;
  std::map<WorkspaceId, TokenGrant> granted;
};

void to_json(nlohmann::json& json, const ReadyHost& host);
void from_json(const nlohmann::json& json, ReadyHost& host);
void to_json(nlohmann::json& json, const ServerAnnouncement& server);
void from_json(const nlohmann::json& json, ServerAnnouncement& server);
void to_json(nlohmann::json& json, const EntryReport& report);
void from_json(const nlohmann::json& json, EntryReport& report);
void to_json(nlohmann::json& json, const FleetUpdate& update);
void from_json(const nlohmann::json& json, FleetUpdate& update);

}  // namespace sapphirebank
