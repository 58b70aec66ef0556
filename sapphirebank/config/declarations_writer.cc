#include <string>

#include "sapphirebank/config/calendar_time.h"
#include "sapphirebank/config/declarations_document.h"
#include "sapphirebank/config/units.h"

namespace sapphirebank {
namespace {

using Json = nlohmann::json;

Json FromZone(const ZoneDeclaration& zone) {
  Json json = {{"in_service", zone.in_service}};
  if (!zone.region.empty()) json["region"] = zone.region;
  for (const ZonePlan& plan : zone.plans) {
    json["plans"].push_back({{"at", FormatCalendarTime(plan.at_unix_seconds)},
                             {"in_service", plan.in_service}});
  }
  return json;
}

Json FromPolicy(const BackendPolicy& policy) {
  return {
      {"healthy_floor", policy.healthy_floor},
      {"cold_slots", policy.cold_slots},
      {"cold_successes_per_slot", policy.cold_successes_per_slot},
      {"ejection_time", FormatDuration(policy.ejection_time)},
      {"max_ejection_time", FormatDuration(policy.max_ejection_time)},
      {"announcement_ttl", FormatDuration(policy.announcement_ttl)},
      {"queue_limit", policy.queue_limit},
      {"queue_timeout", FormatDuration(policy.queue_timeout)},
      {"retry_budget", policy.retry_budget},
  };
}

Json FromService(const ServiceDeclaration& service) {
  Json json = {{"policy", FromPolicy(service.policy)}};
  if (!service.announcement_sha256.empty()) {
    json["announcement_sha256"] = service.announcement_sha256;
  }
  return json;
}

Json FromRoute(const RouteDeclaration& route) {
  Json json = {
      {"path_prefix", route.path_prefix},
      {"service", route.service.value()},
      {"access", route.access == RouteAccess::kOpen ? "open" : "keyed"},
      {"idempotent", route.idempotent},
      {"deadline", FormatDuration(route.deadline)},
      {"body_limit", FormatSize(route.body_limit)},
      {"answer_limit", FormatSize(route.answer_limit)},
  };
  if (!route.methods.empty()) json["methods"] = route.methods;
  return json;
}

Json FromWorkspace(const WorkspaceDeclaration& workspace) {
  Json json = {
      {"rate", FormatRate(workspace.rate)},
      {"burst", workspace.burst},
      {"weight", workspace.weight},
  };
  for (const ServiceId& service : workspace.services) {
    json["services"].push_back(service.value());
  }
  return json;
}

Json FromKey(const KeyDeclaration& key) {
  return {{"workspace", key.workspace.value()}, {"sha256", key.sha256}};
}

const std::string& IdOf(const std::string& id) { return id; }

template <typename Tag>
const std::string& IdOf(const Id<Tag>& id) {
  return id.value();
}

template <typename T, typename Write>
Json FromSection(const std::vector<T>& list, Write write) {
  Json section = Json::object();
  for (const T& element : list) section[IdOf(element.id)] = write(element);
  return section;
}

}  // namespace

Json DocumentFromDeclarations(const Declarations& declarations) {
  return {
      {"zones", FromSection(declarations.zones, FromZone)},
      {"services", FromSection(declarations.services, FromService)},
      {"routes", FromSection(declarations.routes, FromRoute)},
      {"workspaces", FromSection(declarations.workspaces, FromWorkspace)},
      {"keys", FromSection(declarations.keys, FromKey)},
      {"operators", FromSection(declarations.operators,
                                [](const OperatorDeclaration& declaration) {
                                  return Json{{"sha256", declaration.sha256}};
                                })},
  };
}

}  // namespace sapphirebank
