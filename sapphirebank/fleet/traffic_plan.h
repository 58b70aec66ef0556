#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_record.h"

namespace sapphirebank {

// A service that receives a fraction of a route's requests.
struct RouteShare {
  ServiceId service;
  double weight = 1;
};

// Routing rule for requests for one host and path prefix.
struct PlannedRoute {
  std::string name;
  std::string host;
  std::string path_prefix;
  // Whether a request may run more than once.
  bool idempotent = false;
  // Maximum time until the caller gets an answer.
  Duration timeout{};
  // Target latency of answers.
  Duration latency_objective{};
  // Maximum number of backend servers tried for one request.
  int max_tries = 1;
  // Requests need no key.
  bool open = false;
  // Rank of its requests where room is short; 0 is the most urgent.
  int rank = 0;
  std::vector<RouteShare> shares;
};

struct PlannedService {
  ServiceId id;
  // A starting backend server accepts `warm_up_rate` requests per second for
  // `warm_up`.
  Duration warm_up{};
  double warm_up_rate = 0;
};

struct PlannedWorkspace {
  WorkspaceId id;
  std::vector<std::string> keys;
  double rate = 0;  // Requests per second over all hosts; 0 is unlimited.
  double burst = 0;
  // Rank of its requests where room is short; 0 is the most urgent.
  int rank = 0;
};

// Limits on the size and duration of callers' requests.
struct CallerLimits {
  std::uint64_t max_head_bytes = std::uint64_t{16} << 10U;
  std::uint64_t max_body_bytes = std::uint64_t{64} << 20U;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct TrafficPlanParts {
  PlanVersion version = 0;
  std::vector<PlannedRoute> routes;
  std::vector<PlannedService> services;
  std::vector<PlannedWorkspace> workspaces;
  // Requests need the key of a workspace, also when there is none.
  bool has_workspace_table = false;
  CallerLimits limits;
};

// One immutable version of the operators' traffic configuration. A request is
// handled by one version from start to end.
class TrafficPlan {
 public:
  // Validates and indexes `parts`. Fails with kInvalidDeclaration and names the
  // entry: an unknown service, two routes with the same host and prefix, a
  // negative weight, no tries, a prefix without a leading slash, no host, a
  // timeout that is not positive, or a key that two workspaces share.
  static Result<std::shared_ptr<const TrafficPlan>> Create(
      TrafficPlanParts parts);

  PlanVersion version() const { return parts_.version; }
  const TrafficPlanParts& parts() const { return parts_; }

  // Returns the route of `host` with the longest prefix of `target`'s path, or
  // null.
  const PlannedRoute* FindRoute(std::string_view host,
                                std::string_view target) const;

  // Returns the workspace that holds `key`, or null.
  const PlannedWorkspace* FindKey(std::string_view key) const;

  // Returns the workspace called `id`, or null.
  const PlannedWorkspace* FindWorkspace(const WorkspaceId& id) const;

  // Returns the service called `id`, or null.
  const PlannedService* FindService(const ServiceId& id) const;

  // Returns whether requests need a key on routes that are not open.
  bool needs_keys() const {
    return parts_.has_workspace_table || !parts_.workspaces.empty();
  }

 private:
  explicit TrafficPlan(TrafficPlanParts parts);

  Result<void> Validate() const;
  Result<void> ValidateRoute(const PlannedRoute& route) const;
  void BuildIndexes();

  TrafficPlanParts parts_;
  // By host, then by prefix.
  std::unordered_map<std::string,
                     std::map<std::string, const PlannedRoute*, std::less<>>>
      routes_;
  std::unordered_map<std::string_view, const PlannedWorkspace*> keys_;
  std::unordered_map<WorkspaceId, const PlannedWorkspace*> workspaces_;
  std::unordered_map<ServiceId, const PlannedService*> services_;
};

// Parses an operator's document into a plan.
using PlanReader = std::function<Result<std::shared_ptr<const TrafficPlan>>(
    std::string_view document)>;

}  // namespace sapphirebank
