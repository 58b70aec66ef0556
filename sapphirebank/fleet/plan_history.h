#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/fleet_record.h"

namespace sapphirebank {

// The last few plans, to send hosts what changed instead of the whole plan: a
// plan with hundreds of routes is large and mostly the same as the one before.
class PlanHistory {
 public:
  // Plans kept. A host that is further behind gets the whole plan.
  static constexpr std::size_t kMaxPlans = 8;

  // Adds the plan that came into force; `document` is JSON.
  void Add(PlanVersion version, std::string document);

  // Returns the newest version, or 0.
  PlanVersion newest() const {
    return plans_.empty() ? 0 : plans_.back().version;
  }

  // Returns what brings a host from `held` to the newest plan.
  PlanUpdate UpdateSince(PlanVersion held_version);

 private:
  struct Plan {
    PlanVersion version = 0;
    std::string text;
    nlohmann::json document;
  };

  std::deque<Plan> plans_;
  // Patches to the newest plan, by the version that they start from.
  std::map<PlanVersion, std::string> patches_;
};

}  // namespace sapphirebank
