#pragma once

#include <string>
#include <string_view>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_record.h"
#include "sapphirebank/transport/fleet_secret.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

// What an entry host tells the one that it sends a caller's request to, beside
// the request itself.
struct DetourRequest {
  // Address of the host that the request is sent to.
  std::string to;
  Duration time_left{};         // Until the request's deadline.
  Duration caller_time_left{};  // Until the caller stops waiting.
  // Plan that allowed the request. A host with an older one must not handle it.
  PlanVersion plan_version = 0;
  // Attempts that backend servers have received.
  int attempts_received = 0;
  // A backend server may have run the request. For hosts of earlier builds; the
  // sending host keeps count itself.
  bool may_have_run = false;
  // The next attempt is charged to the retry budget.
  bool is_retry = false;
  // A token of the workspace's rate was taken.
  bool has_token = false;
};

// Set on answers of backend servers: the id of the server.
inline constexpr std::string_view kServerField = "x-sapphirebank-server";

// Set on refusals by a host: attempts that backend servers have received, with
// those before the request came to it.
inline constexpr std::string_view kAttemptsField = "x-sapphirebank-attempts";

// Adds `detour` and its signature to the header fields of `head`.
void AddDetourFields(const FleetSecret& secret, const DetourRequest& detour,
                     HttpRequestHead& head, std::string_view body);

// Verifies and decodes what AddDetourFields() added, for the host with the
// address `self`. Fails with kPeerRejected when the signature does not match
// the request or the request is meant for another host, and with
// kMalformedRequest when it cannot be decoded.
Result<DetourRequest> ReadDetourFields(const FleetSecret& secret,
                                       std::string_view self,
                                       const HttpRequestHead& head,
                                       std::string_view body);

}  // namespace sapphirebank
