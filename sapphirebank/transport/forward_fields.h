#pragma once

#include <string>
#include <string_view>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/transport/fleet_secret.h"
#include "sapphirebank/transport/http_message.h"
#include "sapphirebank/transport/signed_field.h"

namespace sapphirebank {

// Properties of a forwarded request that the first entry host determined and
// the next one takes over.
struct ForwardedRequest {
  RequestId id;
  WorkspaceId workspace;  // Empty on an open route without a key.
  Duration time_left{};   // Until the request's deadline.
  double weight = 1;      // Fair-queueing weight of the workspace.
};

// Adds `forwarded` and its signature to the header fields of `head`. The
// signature covers method, target, the forward field and the body.
void AddForwardFields(const FleetSecret& secret,
                      const ForwardedRequest& forwarded, HttpRequestHead& head,
                      std::string_view body);

// Verifies and decodes the fields that AddForwardFields() added. Fails with
// kPeerRejected when the signature does not match the request, and with
// kMalformedRequest when the forward field cannot be decoded.
Result<ForwardedRequest> ReadForwardFields(const FleetSecret& secret,
                                           const HttpRequestHead& head,
                                           std::string_view body);

}  // namespace sapphirebank
