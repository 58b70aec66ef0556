#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/fleet_record.h"

namespace sapphirebank {

// The last few plans, from which patches are made: a plan with hundreds of
// routes is large and mostly the same as the previous one.
class PlanHistory {
 public:
  // Number of plans kept. A host that is further behind gets the full plan.
  static constexpr std::size_t kMaxPlans = 8;

  // Adds the plan that took effect; `document` is JSON.
  void Add(PlanVersion version, const std::string& document);

  // Returns the newest version, or 0.
  PlanVersion newest() const {
    return plans_.empty() ? 0 : plans_.back().version;
  }

  // Returns the bytes of text that are kept, parsed documents as their text.
  std::size_t bytes() const;

  // Returns the update from `held_version` to the newest plan.
  PlanUpdate UpdateSince(PlanVersion held_version);

 private:
  struct Plan {
    PlanVersion version = 0;
    nlohmann::json document;
    std::size_t text_bytes = 0;
  };

  std::deque<Plan> plans_;
  // The newest plan, compressed.
  std::string newest_text_;
  // Compressed patches to it by base version.
  std::map<PlanVersion, std::string> patches_;
};

}  // namespace sapphirebank
