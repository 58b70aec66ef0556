#pragma once

#include <nlohmann/json_fwd.hpp>

#include "sapphirebank/fleet/rollout_samples.h"
#include "sapphirebank/fleet/version_policy.h"

namespace sapphirebank {

// Parts of the messages between entry hosts and hubs that concern rollouts.
// Reading throws nlohmann::json::exception or std::out_of_range for malformed
// input.
void to_json(nlohmann::json& json, const VersionRecord& versions);
void from_json(const nlohmann::json& json, VersionRecord& versions);
void to_json(nlohmann::json& json, const RolloutSamples& samples);
void from_json(const nlohmann::json& json, RolloutSamples& samples);

}  // namespace sapphirebank
