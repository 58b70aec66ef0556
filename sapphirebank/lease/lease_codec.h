#pragma once

#include <nlohmann/json.hpp>

#include "sapphirebank/core/error.h"
#include "sapphirebank/lease/lease_message.h"

namespace sapphirebank {

// Items and results are encoded as arrays without field names, because they
// make up most of a datagram.
void to_json(nlohmann::json& json, const LeaseItem& item);
void from_json(const nlohmann::json& json, LeaseItem& item);
void to_json(nlohmann::json& json, const LeaseItemResult& result);
void from_json(const nlohmann::json& json, LeaseItemResult& result);
void to_json(nlohmann::json& json, const OwnerAnnouncement::Key& key);
void from_json(const nlohmann::json& json, OwnerAnnouncement::Key& key);
void to_json(nlohmann::json& json, const VoterSet& set);
void from_json(const nlohmann::json& json, VoterSet& set);

// Returns `message` as JSON with the name of its type, for encoding as text or
// CBOR.
nlohmann::json EncodeLeaseMessage(const LeaseMessage& message);

// Parses the output of EncodeLeaseMessage(). Fails with kPeerRejected, naming
// the cause, on any other input.
Result<LeaseMessage> DecodeLeaseMessage(const nlohmann::json& json);

}  // namespace sapphirebank
