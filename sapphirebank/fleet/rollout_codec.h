#pragma once

#include <nlohmann/json_fwd.hpp>

#include "sapphirebank/fleet/rollout.h"

namespace sapphirebank {

// Returns the rollout as JSON, for snapshots and messages between hosts.
nlohmann::json RolloutToJson(const Rollout& rollout);

// Reads what RolloutToJson wrote. Throws nlohmann's exceptions on other JSON.
Rollout RolloutFromJson(const nlohmann::json& json);

// Reads the number of a phase. Throws nlohmann's exceptions on another number.
RolloutPhase RolloutPhaseFromJson(const nlohmann::json& json);

}  // namespace sapphirebank
