#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

#include "sapphirebank/core/error_kind.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/crashing_request_detector.h"

namespace sapphirebank {

// Order of requests where room is short: by the workspace's rank first, then by
// the route's. Lower values are more urgent.
struct RequestRank {
  int workspace = 0;
  int route = 0;

  friend auto operator<=>(const RequestRank&, const RequestRank&) = default;
};

// An entry host's request for a backend server.
struct DispatchQuery {
  ServiceId service;
  // Zone of the entry host, whose servers are preferred.
  ZoneId zone;
  bool repeatable = false;
  // An attempt after one that reached a server; it is charged to the retry
  // budget.
  bool is_retry = false;
  // Servers already tried, or that the host cannot reach.
  std::set<BackendId> excluded;
  // Latency objective of the route.
  Duration latency_objective = std::chrono::seconds(1);
  // Time left until the request's deadline.
  Duration time_left = std::chrono::seconds(4);
  // Workspace from whose rate a token is taken first; empty for none.
  WorkspaceId workspace;
  // Name of the route and size of the request's body in bytes, which tell the
  // work that the request is likely to need. Hosts of earlier builds send no
  // route.
  std::string route;
  std::uint64_t body_bytes = 0;
  RequestRank rank;
  // Workspace of the caller, also where no token is needed; empty without a
  // key.
  WorkspaceId caller;
  // Identifies the request when its caller sends it again; 0 if it is not
  // known.
  RequestFingerprint fingerprint = 0;
};

// Why a hub assigns no server although there are some.
struct DispatchRefusal {
  ErrorKind kind = ErrorKind::kQueueFull;
  // When the caller should return.
  Duration retry_after{};
  // The host should hold the request until then and ask again: there is likely
  // to be room in the time that the request has. Hosts of earlier builds refuse
  // it.
  bool hold = false;
};

// The server assigned to a request.
struct DispatchChoice {
  BackendId server;
  // Requests are or may be queued at the server, so a late answer says
  // nothing about its health.
  bool is_busy = false;
  // A rate token was taken, if the query asked for one.
  bool has_token = false;
  // The request is refused; no host looks for a server itself.
  std::optional<DispatchRefusal> refusal{};
};

// Messages between an entry host and its hub. Reading throws
// nlohmann::json::exception or std::out_of_range for malformed input; fields
// that earlier builds do not send may be missing.
void to_json(nlohmann::json& json, const DispatchQuery& query);
void from_json(const nlohmann::json& json, DispatchQuery& query);
void to_json(nlohmann::json& json, const DispatchChoice& choice);
void from_json(const nlohmann::json& json, DispatchChoice& choice);

}  // namespace sapphirebank
