#include "sapphirebank/config/declarations_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "sapphirebank/config/calendar_time.h"
#include "sapphirebank/config/declarations_check.h"
#include "sapphirebank/config/object_reader.h"
#include "sapphirebank/config/strict_json.h"
#include "sapphirebank/config/units.h"

namespace sapphirebank {
namespace {

using Json = nlohmann::json;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr auto kRequired = Presence::kRequired;
constexpr Range<double> kShareRange = {0, 1};
constexpr Range<double> kRateRange = {0, 1e6};
constexpr Range<double> kBurstRange = {0, 1e7};
constexpr Range<double> kWeightRange = {0.01, 1000};
constexpr Range<std::uint32_t> kSlotsRange = {1, 10'000};
constexpr Range<std::uint32_t> kQueueRange = {0, 100'000};
constexpr Range<Duration> kEjectionRange = {milliseconds(100), hours(24)};
constexpr Range<Duration> kTtlRange = {seconds(1), minutes(10)};
constexpr Range<Duration> kQueueTimeRange = {milliseconds(1), minutes(5)};
constexpr Range<Duration> kDeadlineRange = {milliseconds(1), hours(1)};
constexpr Range<std::uint64_t> kBodyRange = {0, 1ULL << 30U};

// Indexed by RouteAccess.
const std::vector<std::string>& AccessNames() {
  static const std::vector<std::string> names = {"open", "keyed"};
  return names;
}

ZonePlan ReadPlan(ObjectReader& reader) {
  ZonePlan plan;
  std::string at;
  reader.Text("at", at, kRequired);
  reader.Flag("in_service", plan.in_service, kRequired);
  if (at.empty()) return plan;
  const auto time = ParseCalendarTime(at);
  if (!time) {
    reader.Report("at",
                  fmt::format("is \"{}\", expected {}", at, kCalendarTimeForm));
  }
  plan.at_unix_seconds = time.value_or(0);
  return plan;
}

ZoneDeclaration ReadZone(const std::string& id, ObjectReader& reader) {
  ZoneDeclaration zone;
  zone.id = ZoneId(id);
  reader.Name("region", zone.region);
  reader.Flag("in_service", zone.in_service);
  reader.Objects("plans", [&](ObjectReader& plan) {
    zone.plans.push_back(ReadPlan(plan));
  });
  std::stable_sort(zone.plans.begin(), zone.plans.end(),
                   [](const ZonePlan& a, const ZonePlan& b) {
                     return a.at_unix_seconds < b.at_unix_seconds;
                   });
  return zone;
}

void ReadPolicy(ObjectReader& reader, BackendPolicy& policy) {
  reader.Number("healthy_floor", policy.healthy_floor, kShareRange);
  reader.Count("cold_slots", policy.cold_slots, kSlotsRange);
  reader.Count("cold_successes_per_slot", policy.cold_successes_per_slot,
               kSlotsRange);
  reader.Length("ejection_time", policy.ejection_time, kEjectionRange);
  reader.Length("max_ejection_time", policy.max_ejection_time, kEjectionRange);
  reader.Length("announcement_ttl", policy.announcement_ttl, kTtlRange);
  reader.Count("queue_limit", policy.queue_limit, kQueueRange);
  reader.Length("queue_timeout", policy.queue_timeout, kQueueTimeRange);
  reader.Number("retry_budget", policy.retry_budget, kShareRange);
  if (policy.max_ejection_time < policy.ejection_time) {
    reader.Report("max_ejection_time",
                  fmt::format("is {}, expected at least ejection_time, {}",
                              FormatDuration(policy.max_ejection_time),
                              FormatDuration(policy.ejection_time)));
  }
}

ServiceDeclaration ReadService(const std::string& id, ObjectReader& reader) {
  ServiceDeclaration service;
  service.id = ServiceId(id);
  reader.Digest("announcement_sha256", service.announcement_sha256);
  reader.Object("policy", [&](ObjectReader& policy) {
    ReadPolicy(policy, service.policy);
  });
  return service;
}

RouteDeclaration ReadRoute(const std::string& id, ObjectReader& reader) {
  RouteDeclaration route;
  route.id = id;
  std::string service;
  auto access = static_cast<std::size_t>(route.access);
  reader.Texts("methods", route.methods);
  reader.Text("path_prefix", route.path_prefix, kRequired);
  reader.Name("service", service, kRequired);
  reader.Choice("access", access, AccessNames());
  reader.Flag("idempotent", route.idempotent);
  reader.Length("deadline", route.deadline, kDeadlineRange);
  reader.Size("body_limit", route.body_limit, kBodyRange);
  reader.Size("answer_limit", route.answer_limit, kBodyRange);
  std::sort(route.methods.begin(), route.methods.end());
  route.service = ServiceId(service);
  route.access = static_cast<RouteAccess>(access);
  return route;
}

WorkspaceDeclaration ReadWorkspace(const std::string& id,
                                   ObjectReader& reader) {
  WorkspaceDeclaration workspace;
  workspace.id = WorkspaceId(id);
  std::vector<std::string> services;
  reader.Rate("rate", workspace.rate, kRateRange, kRequired);
  reader.Number("burst", workspace.burst, kBurstRange, kRequired);
  reader.Number("weight", workspace.weight, kWeightRange);
  reader.Texts("services", services);
  std::sort(services.begin(), services.end());
  for (const std::string& service : services) {
    workspace.services.emplace_back(service);
  }
  if (workspace.rate > 0 && workspace.burst < 1) {
    reader.Report("burst",
                  "is below 1, expected at least 1 where the rate is not 0");
  }
  return workspace;
}

KeyDeclaration ReadKey(const std::string& id, ObjectReader& reader) {
  KeyDeclaration key;
  key.id = id;
  std::string workspace;
  reader.Name("workspace", workspace, kRequired);
  reader.Digest("sha256", key.sha256, kRequired);
  key.workspace = WorkspaceId(workspace);
  return key;
}

OperatorDeclaration ReadOperator(const std::string& id, ObjectReader& reader) {
  OperatorDeclaration declaration;
  declaration.id = id;
  reader.Digest("sha256", declaration.sha256, kRequired);
  return declaration;
}

// Reads one section of the document into a list.
template <typename T>
void ReadSection(ObjectReader& reader, std::string_view name,
                 std::vector<T>& list,
                 T (*read)(const std::string&, ObjectReader&)) {
  reader.Named(name, [&](const std::string& id, ObjectReader& element) {
    list.push_back(read(id, element));
  });
}

}  // namespace

Result<Declarations> DeclarationsFromDocument(const Json& document) {
  Problems problems;
  Declarations declarations;
  ObjectReader reader(document, "", problems);
  ReadSection(reader, "zones", declarations.zones, ReadZone);
  ReadSection(reader, "services", declarations.services, ReadService);
  ReadSection(reader, "routes", declarations.routes, ReadRoute);
  ReadSection(reader, "workspaces", declarations.workspaces, ReadWorkspace);
  ReadSection(reader, "keys", declarations.keys, ReadKey);
  ReadSection(reader, "operators", declarations.operators, ReadOperator);
  reader.Finish();
  CheckDeclarations(declarations, problems);
  if (!problems.empty()) {
    return tl::unexpected(problems.AsError(ErrorKind::kInvalidDeclaration));
  }
  return declarations;
}

Result<Declarations> ParseDeclarations(std::string_view text,
                                       std::string_view file_name) {
  const auto document = ParseStrictJson(text, file_name);
  if (!document) return tl::unexpected(document.error());
  auto declarations = DeclarationsFromDocument(*document);
  if (!declarations) {
    return Fail(declarations.error().kind,
                fmt::format("{}: {}", file_name, declarations.error().detail));
  }
  return declarations;
}

}  // namespace sapphirebank
