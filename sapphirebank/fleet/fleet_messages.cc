#include "sapphirebank/fleet/fleet_messages.h"

#include "sapphirebank/core/json_read.h"

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

void ReadNews(const json& in, ServerNews& news) {
  in.at(0).get_to(news.announcement);
  news.standing = ReadEnum(in.at(1), Standing::kDown);
  news.cold_for = ReadDuration(in.at(2));
  in.at(3).get_to(news.retired);
}

// Reads a member that is left out when it is empty.
template <typename T>
void Optional(const json& in, const char* name, T& out) {
  const auto found = in.find(name);
  if (found != in.end()) found->get_to(out);
}

json GeneralToJson(const FleetUpdate& update) {
  json out = {{"hosts", update.entry_hosts}};
  for (const ZoneId& zone : update.zones_out) {
    out["zones_out"].push_back(zone.value());
  }
  for (const auto& [service, rate] : update.request_rates) {
    out["rates"][service.value()] = rate;
  }
  if (!update.quarantined.empty()) out["quarantined"] = update.quarantined;
  for (const HubHost& hub : update.hubs) {
    out["hubs"].push_back({hub.address, hub.zone.value()});
  }
  return out;
}

void ReadGeneral(const json& in, FleetUpdate& update) {
  update.general = true;
  in.at("hosts").get_to(update.entry_hosts);
  if (const auto found = in.find("zones_out"); found != in.end()) {
    for (const auto& zone : *found) {
      update.zones_out.insert(ZoneId(zone.get<std::string>()));
    }
  }
  if (const auto found = in.find("rates"); found != in.end()) {
    update.request_rates = MapFromJson<ServiceId, double>(*found);
  }
  Optional(in, "quarantined", update.quarantined);
  if (const auto found = in.find("hubs"); found != in.end()) {
    for (const auto& hub : *found) {
      update.hubs.push_back(
          {hub.at(0).get<std::string>(), ZoneId(hub.at(1).get<std::string>())});
    }
  }
}

}  // namespace

void to_json(json& out, const ServerAnnouncement& server) {
  out = json::array({server.id.value(), server.service.value(),
                     ToString(server.endpoint), server.zone.value(),
                     server.slots, server.leaving, server.warm_up_left.count(),
                     server.sequence, server.incarnation});
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
}

void to_json(json& out, const ReadyHost& host) {
  out = json::array({host.address, host.zone.value()});
}

void from_json(const json& in, ReadyHost& host) {
  in.at(0).get_to(host.address);
  host.zone = ZoneId(in.at(1).get<std::string>());
}

void to_json(json& out, const EntryReport& report) {
  out = {{"n", report.number},
         {"id", report.board_id},
         {"b", report.board_seen},
         {"p", report.plan_seen}};
  if (!report.ready.empty()) out["ready"] = report.ready;
  if (report.entry_hosts != 1) out["hosts"] = report.entry_hosts;
  for (const auto& [id, seen] : report.outcomes) {
    out["outcomes"][id.value()] = {seen.successes, seen.errors, seen.breaks};
  }
  if (!report.requests.empty()) out["requests"] = CountsToJson(report.requests);
  if (!report.wanted.empty()) out["wanted"] = CountsToJson(report.wanted);
  for (const EntryReport::Crash& crash : report.crashes) {
    out["crashes"].push_back({crash.request, crash.server.value()});
  }
  if (!report.known.empty()) out["known"] = report.known;
}

void from_json(const json& in, EntryReport& report) {
  in.at("n").get_to(report.number);
  in.at("id").get_to(report.board_id);
  in.at("b").get_to(report.board_seen);
  in.at("p").get_to(report.plan_seen);
  Optional(in, "ready", report.ready);
  Optional(in, "hosts", report.entry_hosts);
  if (const auto found = in.find("outcomes"); found != in.end()) {
    for (const auto& [id, seen] : found->items()) {
      report.outcomes[BackendId(id)] = {seen.at(0).get<std::uint32_t>(),
                                        seen.at(1).get<std::uint32_t>(),
                                        seen.at(2).get<std::uint32_t>()};
    }
  }
  if (const auto found = in.find("requests"); found != in.end()) {
    report.requests = MapFromJson<ServiceId, std::uint32_t>(*found);
  }
  if (const auto found = in.find("wanted"); found != in.end()) {
    report.wanted = MapFromJson<WorkspaceId, std::uint32_t>(*found);
  }
  if (const auto found = in.find("crashes"); found != in.end()) {
    for (const auto& crash : *found) {
      report.crashes.push_back({crash.at(0).get<RequestFingerprint>(),
                                BackendId(crash.at(1).get<std::string>())});
    }
  }
  Optional(in, "known", report.known);
}

void to_json(json& out, const FleetUpdate& update) {
  out = {{"n", update.answers},
         {"age", update.age.count()},
         {"rec", update.record},
         {"id", update.board_id},
         {"b", update.board}};
  if (update.whole_board) out["whole"] = true;
  for (const ServerNews& news : update.servers) {
    out["servers"].push_back({news.announcement,
                              static_cast<unsigned>(news.standing),
                              news.cold_for.count(), news.retired});
  }
  if (update.plan) {
    out["plan"] = {{"version", update.plan->version},
                   {"text", update.plan->text}};
    if (update.plan->base) out["plan"]["base"] = *update.plan->base;
  }
  if (update.general) out["general"] = GeneralToJson(update);
  for (const auto& [workspace, grant] : update.granted) {
    out["granted"][workspace.value()] = {grant.tokens, grant.settled};
  }
}

void from_json(const json& in, FleetUpdate& update) {
  in.at("n").get_to(update.answers);
  update.age = ReadDuration(in.at("age"));
  in.at("rec").get_to(update.record);
  in.at("id").get_to(update.board_id);
  in.at("b").get_to(update.board);
  Optional(in, "whole", update.whole_board);
  if (const auto found = in.find("servers"); found != in.end()) {
    for (const auto& item : *found) {
      ReadNews(item, update.servers.emplace_back());
    }
  }
  if (const auto found = in.find("plan"); found != in.end()) {
    PlanNews plan;
    found->at("version").get_to(plan.version);
    found->at("text").get_to(plan.text);
    if (found->contains("base")) {
      plan.base = found->at("base").get<PlanVersion>();
    }
    update.plan = std::move(plan);
  }
  if (const auto found = in.find("general"); found != in.end()) {
    ReadGeneral(*found, update);
  }
  if (const auto found = in.find("granted"); found != in.end()) {
    for (const auto& [workspace, grant] : found->items()) {
      update.granted[WorkspaceId(workspace)] = {
          grant.at(0).get<std::uint32_t>(), grant.at(1).get<std::uint32_t>()};
    }
  }
}

}  // namespace sapphirebank
