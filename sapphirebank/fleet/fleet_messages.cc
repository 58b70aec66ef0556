#include "sapphirebank/fleet/fleet_messages.h"

#include "sapphirebank/core/cbor.h"
#include "sapphirebank/core/json_read.h"
#include "sapphirebank/fleet/rollout_messages.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

template <typename Key>
json CountsToJson(const std::map<Key, std::uint32_t>& counts) {
  json out = json::object();
  for (const auto& [key, count] : counts) out[key.value()] = count;
  return out;
}

template <typename Key, typename Value>
std::map<Key, Value> MapFromJson(const json& in) {
  std::map<Key, Value> map;
  for (const auto& [key, value] : in.items()) {
    map[Key(key)] = value.template get<Value>();
  }
  return map;
}

json RateLimitToJson(std::optional<double> limit) {
  return limit ? json(*limit) : json();
}

std::optional<double> ReadRateLimit(const json& in) {
  if (in.is_null()) return std::nullopt;
  return in.get<double>();
}

void ReadServerUpdate(const json& in, ServerUpdate& update) {
  in.at(0).get_to(update.announcement);
  update.health = ReadEnum(in.at(1), ServerHealth::kDown);
  update.cold_for = ReadDuration(in.at(2));
  in.at(3).get_to(update.retired);
  update.rate_limit = ReadRateLimit(in.at(4));
}

// Reads a member that is omitted when empty.
template <typename T>
void ReadOptional(const json& in, const char* name, T& out) {
  const auto found = in.find(name);
  if (found != in.end()) found->get_to(out);
}

// Time for which a quarantine counts that comes without a time: earlier builds
// repeat their list every second.
constexpr Duration kUntimedQuarantine = std::chrono::seconds(3);

json QuarantinesToJson(const std::vector<RequestQuarantine>& quarantines) {
  json out = json::array();
  for (const RequestQuarantine& quarantine : quarantines) {
    out.push_back({quarantine.request, quarantine.left.count()});
  }
  return out;
}

std::vector<RequestQuarantine> ReadQuarantines(const json& in) {
  std::vector<RequestQuarantine> quarantines;
  for (const json& item : in) {
    quarantines.push_back(
        {item.at(0).get<RequestFingerprint>(), ReadDuration(item.at(1))});
  }
  return quarantines;
}

json SharedStateToJson(const FleetUpdate& update) {
  json out = {{"hosts", update.entry_hosts}};
  for (const ZoneId& zone : update.zones_out) {
    out["zones_out"].push_back(zone.value());
  }
  for (const auto& [service, rate] : update.request_rates) {
    out["rates"][service.value()] = rate;
  }
  if (update.versions) out["versions"] = *update.versions;
  if (!update.quarantines.empty()) {
    out["quarantines"] = QuarantinesToJson(update.quarantines);
    // Read by earlier builds.
    for (const RequestQuarantine& quarantine : update.quarantines) {
      out["quarantined"].push_back(quarantine.request);
    }
  }
  if (!update.hubs.empty()) out["hubs"] = update.hubs;
  if (!update.detour_hosts.empty()) out["detours"] = update.detour_hosts;
  return out;
}

void ReadSharedState(const json& in, FleetUpdate& update) {
  update.shared_state = true;
  in.at("hosts").get_to(update.entry_hosts);
  if (const auto found = in.find("zones_out"); found != in.end()) {
    for (const auto& zone : *found) {
      update.zones_out.insert(ZoneId(zone.get<std::string>()));
    }
  }
  if (const auto found = in.find("rates"); found != in.end()) {
    update.request_rates = MapFromJson<ServiceId, double>(*found);
  }
  if (const auto found = in.find("versions"); found != in.end()) {
    update.versions = found->get<VersionRecord>();
  }
  if (const auto found = in.find("quarantines"); found != in.end()) {
    update.quarantines = ReadQuarantines(*found);
  } else if (const auto requests = in.find("quarantined");
             requests != in.end()) {
    for (const json& request : *requests) {
      update.quarantines.push_back(
          {request.get<RequestFingerprint>(), kUntimedQuarantine});
    }
  }
  ReadOptional(in, "hubs", update.hubs);
  ReadOptional(in, "detours", update.detour_hosts);
}

}  // namespace

void to_json(json& out, const HubHost& hub) {
  out = json::array({hub.address, hub.zone.value()});
}

void from_json(const json& in, HubHost& hub) {
  in.at(0).get_to(hub.address);
  hub.zone = ZoneId(in.at(1).get<std::string>());
}

void to_json(json& out, const ServerAnnouncement& server) {
  out = json::array({server.id.value(), server.service.value(),
                     ToString(server.endpoint), server.zone.value(),
                     server.slots, server.leaving, server.warm_up_left.count(),
                     server.sequence, server.incarnation, server.version});
}

void from_json(const json& in, ServerAnnouncement& server) {
  server.id = BackendId(in.at(0).get<std::string>());
  server.service = ServiceId(in.at(1).get<std::string>());
  const auto endpoint = EndpointFromString(in.at(2).get<std::string>());
  if (!endpoint) throw std::out_of_range(endpoint.error().detail);
  server.endpoint = *endpoint;
  server.zone = ZoneId(in.at(3).get<std::string>());
  in.at(4).get_to(server.slots);
  in.at(5).get_to(server.leaving);
  server.warm_up_left = ReadDuration(in.at(6));
  in.at(7).get_to(server.sequence);
  in.at(8).get_to(server.incarnation);
  // Earlier builds do not send it.
  if (in.size() > 9) in.at(9).get_to(server.version);
}

void to_json(json& out, const ReadyHost& host) {
  out = json::array({host.address, host.zone.value(), host.reaches_servers});
}

void from_json(const json& in, ReadyHost& host) {
  in.at(0).get_to(host.address);
  host.zone = ZoneId(in.at(1).get<std::string>());
  // Earlier builds do not send it.
  if (in.size() > 2) in.at(2).get_to(host.reaches_servers);
}

void to_json(json& out, const EntryReport& report) {
  out = {{"n", report.number},
         {"id", report.registry_id},
         {"b", report.known_registry_changes},
         {"p", report.known_plan_version}};
  if (report.applied_changes != 0) out["c"] = report.applied_changes;
  if (report.ends_without_contact) out["contact"] = true;
  if (report.ready_hosts) out["ready"] = *report.ready_hosts;
  if (report.entry_hosts != 1) out["hosts"] = report.entry_hosts;
  for (const auto& [id, outcomes] : report.outcomes) {
    out["outcomes"][id.value()] = {outcomes.successes, outcomes.errors,
                                   outcomes.hard_failures};
  }
  if (!report.requests.empty()) out["requests"] = CountsToJson(report.requests);
  if (!report.wanted_tokens.empty())
    out["wanted"] = CountsToJson(report.wanted_tokens);
  for (const RequestCrash& crash : report.crashes) {
    out["crashes"].push_back(
        {crash.request, crash.server.value(), crash.age.count()});
  }
  if (!report.quarantines.empty()) {
    out["quarantines"] = QuarantinesToJson(report.quarantines);
  }
  for (const auto& [id, limit] : report.rate_limits) {
    out["limits"][id.value()] = RateLimitToJson(limit);
  }
  for (const auto& [service, samples] : report.rollout_samples) {
    out["samples"][service.value()] = samples;
  }
  if (!report.known_servers.empty()) out["known"] = report.known_servers;
}

void from_json(const json& in, EntryReport& report) {
  in.at("n").get_to(report.number);
  in.at("id").get_to(report.registry_id);
  in.at("b").get_to(report.known_registry_changes);
  in.at("p").get_to(report.known_plan_version);
  ReadOptional(in, "c", report.applied_changes);
  ReadOptional(in, "contact", report.ends_without_contact);
  report.ready_hosts.reset();
  if (const auto found = in.find("ready"); found != in.end()) {
    report.ready_hosts = found->get<std::vector<ReadyHost>>();
  }
  ReadOptional(in, "hosts", report.entry_hosts);
  if (const auto found = in.find("outcomes"); found != in.end()) {
    for (const auto& [id, outcomes] : found->items()) {
      report.outcomes[BackendId(id)] = {outcomes.at(0).get<std::uint32_t>(),
                                        outcomes.at(1).get<std::uint32_t>(),
                                        outcomes.at(2).get<std::uint32_t>()};
    }
  }
  if (const auto found = in.find("requests"); found != in.end()) {
    report.requests = MapFromJson<ServiceId, std::uint32_t>(*found);
  }
  if (const auto found = in.find("wanted"); found != in.end()) {
    report.wanted_tokens = MapFromJson<WorkspaceId, std::uint32_t>(*found);
  }
  if (const auto found = in.find("crashes"); found != in.end()) {
    for (const auto& crash : *found) {
      report.crashes.push_back({crash.at(0).get<RequestFingerprint>(),
                                BackendId(crash.at(1).get<std::string>())});
      // Earlier builds report new ones only.
      if (crash.size() > 2)
        report.crashes.back().age = ReadDuration(crash.at(2));
    }
  }
  if (const auto found = in.find("quarantines"); found != in.end()) {
    report.quarantines = ReadQuarantines(*found);
  }
  if (const auto found = in.find("limits"); found != in.end()) {
    for (const auto& [id, limit] : found->items()) {
      report.rate_limits[BackendId(id)] = ReadRateLimit(limit);
    }
  }
  if (const auto found = in.find("samples"); found != in.end()) {
    report.rollout_samples = MapFromJson<ServiceId, RolloutSamples>(*found);
  }
  ReadOptional(in, "known", report.known_servers);
}

void to_json(json& out, const FleetUpdate& update) {
  out = {{"n", update.answered_report},
         {"age", update.quorum_age.count()},
         {"rec", update.record_changes},
         {"id", update.registry_id},
         {"b", update.registry_changes}};
  if (update.is_electing) out["electing"] = true;
  if (update.has_newest_update) out["newest"] = true;
  if (update.gates_changes) out["gates"] = true;
  if (update.full_registry) out["whole"] = true;
  if (update.wants_servers) out["wants"] = true;
  for (const ServerUpdate& server_update : update.servers) {
    out["servers"].push_back({server_update.announcement,
                              static_cast<unsigned>(server_update.health),
                              server_update.cold_for.count(),
                              server_update.retired,
                              RateLimitToJson(server_update.rate_limit)});
  }
  if (update.plan) {
    out["plan"] = {{"version", update.plan->version},
                   {"text", CborBinary(update.plan->compressed_text)}};
    if (update.plan->base) out["plan"]["base"] = *update.plan->base;
  }
  if (update.shared_state) out["general"] = SharedStateToJson(update);
  for (const auto& [workspace, grant] : update.granted) {
    out["granted"][workspace.value()] = {grant.tokens, grant.settled};
  }
}

void from_json(const json& in, FleetUpdate& update) {
  in.at("n").get_to(update.answered_report);
  update.quorum_age = ReadDuration(in.at("age"));
  in.at("rec").get_to(update.record_changes);
  in.at("id").get_to(update.registry_id);
  in.at("b").get_to(update.registry_changes);
  ReadOptional(in, "electing", update.is_electing);
  ReadOptional(in, "newest", update.has_newest_update);
  ReadOptional(in, "gates", update.gates_changes);
  ReadOptional(in, "whole", update.full_registry);
  ReadOptional(in, "wants", update.wants_servers);
  if (const auto found = in.find("servers"); found != in.end()) {
    for (const auto& item : *found) {
      ReadServerUpdate(item, update.servers.emplace_back());
    }
  }
  if (const auto found = in.find("plan"); found != in.end()) {
    PlanUpdate plan;
    found->at("version").get_to(plan.version);
    plan.compressed_text = CborBytes(found->at("text"));
    if (found->contains("base")) {
      plan.base = found->at("base").get<PlanVersion>();
    }
    update.plan = std::move(plan);
  }
  if (const auto found = in.find("general"); found != in.end()) {
    ReadSharedState(*found, update);
  }
  if (const auto found = in.find("granted"); found != in.end()) {
    for (const auto& [workspace, grant] : found->items()) {
      update.granted[WorkspaceId(workspace)] = {
          grant.at(0).get<std::uint32_t>(), grant.at(1).get<std::uint32_t>()};
    }
  }
}

}  // namespace sapphirebank
