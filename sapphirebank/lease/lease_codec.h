#pragma once

#include <nlohmann/json.hpp>

#include "sapphirebank/core/error.h"
#include "sapphirebank/lease/lease_message.h"

namespace sapphirebank {

// Items and replies are arrays, because most of a datagram is made of them.
void to_json(nlohmann::json& json, const LeaseItem& item);
void from_json(const nlohmann::json& json, LeaseItem& item);
void to_json(nlohmann::json& json, const LeaseItemResult& result);
void from_json(const nlohmann::json& json, LeaseItemResult& result);
void to_json(nlohmann::json& json, const OwnerAnnouncement::Key& key);
void from_json(const nlohmann::json& json, OwnerAnnouncement::Key& key);
void to_json(nlohmann::json& json, const VoterSet& set);
void from_json(const nlohmann::json& json, VoterSet& set);

// Returns `message` as JSON with the name of its type, for text or CBOR.
nlohmann::json EncodeLeaseMessage(const LeaseMessage& message);

// Reads what EncodeLeaseMessage wrote. Fails with kPeerRejected, naming the
// cause, on anything else.
Result<LeaseMessage> DecodeLeaseMessage(const nlohmann::json& json);

}  // namespace sapphirebank
