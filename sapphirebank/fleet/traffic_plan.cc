#include "sapphirebank/fleet/traffic_plan.h"

#include <fmt/format.h>

#include <set>
#include <utility>

namespace sapphirebank {
namespace {

tl::unexpected<Error> Invalid(std::string detail) {
  return Fail(ErrorKind::kInvalidDeclaration, std::move(detail));
}

}  // namespace

Result<std::shared_ptr<const TrafficPlan>> TrafficPlan::Create(
    TrafficPlanParts parts) {
  std::shared_ptr<TrafficPlan> plan(new TrafficPlan(std::move(parts)));
  for (const PlannedService& service : plan->parts_.services) {
    plan->services_[service.id] = &service;
  }
  if (auto valid = plan->Validate(); !valid)
    return tl::unexpected(valid.error());
  plan->BuildIndexes();
  return plan;
}

TrafficPlan::TrafficPlan(TrafficPlanParts parts) : parts_(std::move(parts)) {}

Result<void> TrafficPlan::Validate() const {
  std::set<std::pair<std::string_view, std::string_view>> destinations;
  for (const PlannedRoute& route : parts_.routes) {
    if (auto valid = ValidateRoute(route); !valid) return valid;
    if (!destinations.emplace(route.host, route.path_prefix).second) {
      return Invalid(fmt::format("route {}: {}{} has another route", route.name,
                                 route.host, route.path_prefix));
    }
  }
  std::set<std::string_view> keys;
  for (const PlannedWorkspace& workspace : parts_.workspaces) {
    if (workspace.rate < 0 || workspace.burst < 0) {
      return Invalid(fmt::format("workspace {}: a rate or burst below 0",
                                 workspace.id.value()));
    }
    for (const std::string& key : workspace.keys) {
      if (key.empty() || !keys.insert(key).second) {
        return Invalid(
            fmt::format("workspace {}: a key that is empty or given "
                        "out twice",
                        workspace.id.value()));
      }
    }
  }
  return {};
}

Result<void> TrafficPlan::ValidateRoute(const PlannedRoute& route) const {
  const auto fail = [&](std::string_view cause) {
    return Invalid(fmt::format("route {}: {}", route.name, cause));
  };
  if (route.host.empty()) return fail("no host");
  if (!route.path_prefix.starts_with('/')) return fail("no leading slash");
  if (route.max_tries < 1) return fail("no tries");
  if (route.timeout <= Duration::zero()) return fail("no timeout");
  if (route.shares.empty()) return fail("no service");
  double sum = 0;
  for (const RouteShare& share : route.shares) {
    if (!services_.contains(share.service)) {
      return fail(fmt::format("unknown service {}", share.service.value()));
    }
    if (!(share.weight >= 0)) return fail("a weight below 0");
    sum += share.weight;
  }
  if (!(sum > 0)) return fail("no weight above 0");
  return {};
}

void TrafficPlan::BuildIndexes() {
  for (const PlannedRoute& route : parts_.routes) {
    routes_[route.host].emplace(route.path_prefix, &route);
  }
  for (const PlannedWorkspace& workspace : parts_.workspaces) {
    workspaces_[workspace.id] = &workspace;
    for (const std::string& key : workspace.keys) keys_[key] = &workspace;
  }
}

const PlannedRoute* TrafficPlan::FindRoute(std::string_view host,
                                           std::string_view target) const {
  const auto found = routes_.find(std::string(host));
  if (found == routes_.end()) return nullptr;
  const auto& prefixes = found->second;
  std::string_view path = target.substr(0, target.find('?'));
  // Looks up the path itself and then each parent folder.
  while (!path.empty()) {
    const auto route = prefixes.find(path);
    if (route != prefixes.end()) return route->second;
    const auto slash = path.find_last_of('/', path.size() - 2);
    if (path.size() < 2 || slash == std::string_view::npos) break;
    path = path.substr(0, slash + 1);
  }
  return nullptr;
}

const PlannedWorkspace* TrafficPlan::FindKey(std::string_view key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : found->second;
}

const PlannedWorkspace* TrafficPlan::FindWorkspace(
    const WorkspaceId& id) const {
  const auto found = workspaces_.find(id);
  return found == workspaces_.end() ? nullptr : found->second;
}

const PlannedService* TrafficPlan::FindService(const ServiceId& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : found->second;
}

}  // namespace sapphirebank
