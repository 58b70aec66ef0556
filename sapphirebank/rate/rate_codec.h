#pragma once

#include <nlohmann/json.hpp>

#include "sapphirebank/core/error.h"
#include "sapphirebank/rate/rate_message.h"

namespace sapphirebank {

// Asks and grants are arrays, because most of a datagram is made of them.
void to_json(nlohmann::json& json, const WorkspaceTokenRequest& token_request);
void from_json(const nlohmann::json& json,
               WorkspaceTokenRequest& token_request);
void to_json(nlohmann::json& json, const WorkspaceTokenGrant& grant);
void from_json(const nlohmann::json& json, WorkspaceTokenGrant& grant);

// Returns `message` as JSON with the name of its type, for text or CBOR.
nlohmann::json EncodeRateMessage(const RateMessage& message);

// Reads what EncodeRateMessage wrote. Fails with kPeerRejected, naming the
// cause, on anything else.
Result<RateMessage> DecodeRateMessage(const nlohmann::json& json);

}  // namespace sapphirebank
