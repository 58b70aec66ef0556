#include "sapphirebank/fleet/rollout_codec.h"

#include <nlohmann/json.hpp>

namespace sapphirebank {

using nlohmann::json;

json RolloutToJson(const Rollout& rollout) {
  json out = {{"service", rollout.service.value()},
              {"target", rollout.target_version},
              {"duration", rollout.duration.count()},
              {"order", rollout.order},
              {"phase", static_cast<unsigned>(rollout.phase)},
              {"reason", rollout.reason}};
  if (!rollout.barred_versions.empty()) {
    out["barred"] = rollout.barred_versions;
  }
  return out;
}

Rollout RolloutFromJson(const json& in) {
  Rollout rollout;
  rollout.service = ServiceId(in.at("service").get<std::string>());
  in.at("target").get_to(rollout.target_version);
  rollout.duration = Duration(in.at("duration").get<std::int64_t>());
  in.at("order").get_to(rollout.order);
  rollout.phase = RolloutPhaseFromJson(in.at("phase"));
  in.at("reason").get_to(rollout.reason);
  if (const auto barred = in.find("barred"); barred != in.end()) {
    barred->get_to(rollout.barred_versions);
  }
  return rollout;
}

RolloutPhase RolloutPhaseFromJson(const json& in) {
  const auto phase = in.get<unsigned>();
  if (phase > static_cast<unsigned>(RolloutPhase::kRolledBack)) {
    throw json::out_of_range::create(401, "unknown phase of a rollout", &in);
  }
  return static_cast<RolloutPhase>(phase);
}

}  // namespace sapphirebank
