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
#include "sapphirebank/fleet/server_announcement.h"
#include "sapphirebank/fleet/server_health_tracker.h"

namespace sapphirebank {

// An entry host that callers may be told of.
struct ReadyHost {
  std::string address;  // "ip:port".
  ZoneId zone;

  friend bool operator==(const ReadyHost&, const ReadyHost&) = default;
};

// A control host that entry hosts may report to.
struct HubHost {
  std::string address;  // "ip:port" among the fleet's processes.
  ZoneId zone;

  friend bool operator==(const HubHost&, const HubHost&) = default;
};

// What an entry host tells its hub, or a hub the leading control host for all
// entry hosts that report to it: at once when something is needed, otherwise a
// few times a second.
struct EntryReport {
  // Grows with each report of one link; the update that answers it has it.
  std::uint64_t number = 0;
  // Hosts that take callers.
  std::vector<ReadyHost> ready_hosts;
  // Entry hosts that this report speaks for.
  std::uint32_t entry_hosts = 1;
  // The board that was seen, and how much of it.
  std::uint64_t registry_id = 0;
  std::uint64_t known_registry_changes = 0;
  PlanVersion known_plan_version = 0;
  std::map<BackendId, ServerOutcomes> outcomes;
  // Requests for each service since the last report.
  std::map<ServiceId, std::uint32_t> requests;
  // Tokens asked for, by workspace.
  std::map<WorkspaceId, std::uint32_t> wanted_tokens;
  struct Crash {
    RequestFingerprint request = 0;
    BackendId server;
  };
  std::vector<Crash> crashes;
  // Servers that the receiver may not know of.
  std::vector<ServerAnnouncement> known_servers;
};

// One server in an update. Times travel as spans, since clocks differ.
struct ServerUpdate {
  ServerAnnouncement announcement;
  ServerHealth health = ServerHealth::kUp;
  Duration cold_for{};
  bool retired = false;
};

// A traffic plan in an update: whole, or as a patch (RFC 6902) to the plan
// that the receiver holds.
struct PlanUpdate {
  PlanVersion version = 0;
  std::optional<PlanVersion> base;
  std::string text;
};

// Answers orders of tokens.
struct TokenGrant {
  std::uint32_t tokens = 0;
  // Tokens of the order that this settles, granted or refused.
  std::uint32_t settled = 0;
};

// What a hub tells an entry host, or the leading control host a hub.
struct FleetUpdate {
  // The report that this answers; 0 for news that nobody asked for.
  std::uint64_t answered_report = 0;
  // For how long it has not been proved that the leader leads. Everything that
  // was accepted before then is in the update.
  Duration quorum_age{};
  // Changes of the replicated record that the sender has applied.
  std::uint64_t record_changes = 0;
  std::uint64_t registry_id = 0;
  std::uint64_t registry_changes = 0;
  // The receiver must forget servers that are not listed.
  bool full_registry = false;
  std::vector<ServerUpdate> servers;
  std::optional<PlanUpdate> plan;
  // Zones, rates, quarantine and hubs travel when they changed.
  bool shared_state = false;
  std::set<ZoneId> zones_out;
  // Requests a second over all hosts, by service.
  std::map<ServiceId, double> request_rates;
  std::vector<RequestFingerprint> quarantined;
  // Entry hosts among which shares are divided.
  std::uint32_t entry_hosts = 1;
  std::vector<HubHost> hubs;
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
