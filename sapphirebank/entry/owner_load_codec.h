#pragma once

#include <nlohmann/json.hpp>

#include "sapphirebank/core/error.h"
#include "sapphirebank/request/owner_load_table.h"

namespace sapphirebank {

// Writes an owner's load as an array, since many of them are sent.
void to_json(nlohmann::json& json, const OwnerLoad& load);

// Reads an owner's load. Fails with kMalformedRequest, naming the field.
Result<OwnerLoad> OwnerLoadFromJson(const nlohmann::json& json);

}  // namespace sapphirebank
