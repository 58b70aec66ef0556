#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// The unit of keys, rates and fairness.
struct WorkspaceDeclaration {
  WorkspaceId id;
  double rate = 0;    // Requests per second over the whole fleet.
  double burst = 0;   // Requests that may come at once over the whole fleet.
  double weight = 1;  // Share of a service's slots relative to others.
  // Services that the workspace may use; empty means all.
  std::vector<ServiceId> services;

  friend bool operator==(const WorkspaceDeclaration&,
                         const WorkspaceDeclaration&) = default;
};

// A caller's key. Only its digest is stored.
struct KeyDeclaration {
  std::string id;
  WorkspaceId workspace;
  std::string sha256;  // 64 lower-case hexadecimal digits.

  friend bool operator==(const KeyDeclaration&,
                         const KeyDeclaration&) = default;
};

// A person or program that may change the declarations.
struct OperatorDeclaration {
  std::string id;
  std::string sha256;  // Digest of the operator's key.

  friend bool operator==(const OperatorDeclaration&,
                         const OperatorDeclaration&) = default;
};

// How the backend servers of one service are treated.
struct BackendPolicy {
  // Share of the service's announced backend servers that ejection leaves in
  // use, over the whole fleet, in [0, 1].
  double healthy_floor = 0.7;
  // Slots that a backend server in cold start begins with.
  std::uint32_t cold_slots = 1;
  // Successful answers that open one more slot during cold start.
  std::uint32_t cold_successes_per_slot = 5;
  // First ejection; each further one in a row lasts twice as long.
  Duration ejection_time = std::chrono::seconds(10);
  Duration max_ejection_time = std::chrono::minutes(5);
  // Silence after which an announcement ends.
  Duration announcement_ttl = std::chrono::seconds(6);
  // Requests that may wait for a slot, over one host.
  std::uint32_t queue_limit = 200;
  // Longest wait for a slot.
  Duration queue_timeout = std::chrono::seconds(2);
  // Retries as a share of first tries.
  double retry_budget = 0.1;

  friend bool operator==(const BackendPolicy&, const BackendPolicy&) = default;
};

// A kind of work that backend servers announce themselves for.
struct ServiceDeclaration {
  ServiceId id;
  // Digest of the secret that announcements must carry; empty means that
  // announcements are not authenticated.
  std::string announcement_sha256;
  BackendPolicy policy;

  friend bool operator==(const ServiceDeclaration&,
                         const ServiceDeclaration&) = default;
};

// Who may use a route.
enum class RouteAccess { kOpen, kKeyed };

// Maps a method and a path prefix to a service.
struct RouteDeclaration {
  std::string id;
  std::vector<std::string> methods;  // Upper case; empty means all.
  std::string path_prefix;           // Matches whole path segments.
  ServiceId service;
  RouteAccess access = RouteAccess::kKeyed;
  bool idempotent = false;
  Duration deadline = std::chrono::seconds(10);
  std::uint64_t body_limit = 1 << 20;  // Bytes.
  std::uint64_t answer_limit = 1
                               << 20;  // Bytes held until the answer is whole.

  friend bool operator==(const RouteDeclaration&,
                         const RouteDeclaration&) = default;
};

// One planned move of an availability zone.
struct ZonePlan {
  std::int64_t at_unix_seconds = 0;
  bool in_service = true;

  friend bool operator==(const ZonePlan&, const ZonePlan&) = default;
};

// An availability zone and whether it takes new work.
struct ZoneDeclaration {
  ZoneId id;
  std::string region;
  bool in_service = true;
  std::vector<ZonePlan> plans;  // In order of time.

  friend bool operator==(const ZoneDeclaration&,
                         const ZoneDeclaration&) = default;
};

// Everything that operators declare. One value is one revision.
struct Declarations {
  std::vector<ZoneDeclaration> zones;
  std::vector<ServiceDeclaration> services;
  std::vector<RouteDeclaration> routes;
  std::vector<WorkspaceDeclaration> workspaces;
  std::vector<KeyDeclaration> keys;
  std::vector<OperatorDeclaration> operators;

  friend bool operator==(const Declarations&, const Declarations&) = default;
};

}  // namespace sapphirebank
