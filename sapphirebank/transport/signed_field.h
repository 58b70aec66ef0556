#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "sapphirebank/core/error.h"
#include "sapphirebank/transport/fleet_secret.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

// Header fields that entry hosts exchange; StripConnectionFields() removes
// them.
inline constexpr std::string_view kForwardField = "x-sapphirebank-forward";
inline constexpr std::string_view kSignatureField = "x-sapphirebank-signature";
// Set on answers that an entry host generated itself: the name of the
// ErrorKind. Distinguishes a refusal by a host from an answer of a backend
// server.
inline constexpr std::string_view kRefusalField = "x-sapphirebank-refusal";
// Set beside kRefusalField when the host has proved that no attempt of the
// request has run; hosts of earlier builds do not set it.
inline constexpr std::string_view kNotRunField = "x-sapphirebank-not-run";
inline constexpr std::string_view kNotRunProved = "proved";

// Adds `values` in kForwardField and their signature to the header fields of
// `head`. The signature covers method, target, the values and the body, for one
// `purpose`.
void AddSignedField(const FleetSecret& secret, std::string_view purpose,
                    const nlohmann::json& values, HttpRequestHead& head,
                    std::string_view body);

// Verifies and decodes what AddSignedField() added. Fails with kPeerRejected
// when the signature does not match the request, and with kMalformedRequest
// when the field is not JSON.
Result<nlohmann::json> ReadSignedField(const FleetSecret& secret,
                                       std::string_view purpose,
                                       const HttpRequestHead& head,
                                       std::string_view body);

}  // namespace sapphirebank
