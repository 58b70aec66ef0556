#pragma once

#include <nlohmann/json.hpp>

#include "sapphirebank/core/error.h"
#include "sapphirebank/request/owner_load_table.h"

namespace sapphirebank {

// Encodes an owner's load as an array, which is compact: loads are sent often.
void to_json(nlohmann::json& json, const OwnerLoad& load);

// Decodes an owner's load. Fails with kMalformedRequest and the cause.
Result<OwnerLoad> OwnerLoadFromJson(const nlohmann::json& json);

}  // namespace sapphirebank
