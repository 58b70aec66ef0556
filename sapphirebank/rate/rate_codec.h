#pragma once

#include <nlohmann/json.hpp>

#include "sapphirebank/core/error.h"
#include "sapphirebank/rate/rate_message.h"

namespace sapphirebank {

// Token requests and grants of a workspace are encoded as arrays, because they
// make up most of a datagram.
void to_json(nlohmann::json& json, const WorkspaceTokenRequest& token_request);
void from_json(const nlohmann::json& json,
               WorkspaceTokenRequest& token_request);
void to_json(nlohmann::json& json, const WorkspaceTokenGrant& grant);
void from_json(const nlohmann::json& json, WorkspaceTokenGrant& grant);

// Encodes `message` with its type name, for transfer as JSON text or CBOR.
nlohmann::json EncodeRateMessage(const RateMessage& message);

// Decodes the output of EncodeRateMessage. Fails with kPeerRejected, naming the
// cause, on any other input.
Result<RateMessage> DecodeRateMessage(const nlohmann::json& json);

}  // namespace sapphirebank
