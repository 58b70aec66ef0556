#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/fleet_record.h"

namespace sapphirebank {

// The newest plan and the patches that lead to it from the last few: a plan
// with hundreds of routes is large and mostly the same as the previous one.
class PlanHistory {
 public:
  // Number of plans from which patches are made. A host that is further behind
  // gets the full plan.
  static constexpr std::size_t kMaxPlans = 8;

  // Adds the plan that took effect; `document` is JSON.
  void Add(PlanVersion version, const std::string& document);

  // Returns the newest version, or 0.
  PlanVersion newest() const { return newest_; }

  // Returns the bytes of text that are kept, the newest document as its text.
  std::size_t bytes() const;

  // Returns the update from `held_version` to the newest plan.
  PlanUpdate UpdateSince(PlanVersion held_version);

 private:
  // The change from one plan to the next.
  struct Step {
    PlanVersion from = 0;
    // The operations of a JSON patch (RFC 6902), without the brackets around
    // them, so that the patches of consecutive steps can be joined.
    std::string operations;
  };

  void AddStep(const nlohmann::json& next);
  void DropOldSteps();

  PlanVersion newest_ = 0;
  // A parsed document takes about ten times the memory of its text, so only the
  // newest one is kept.
  nlohmann::json newest_document_;
  std::size_t newest_bytes_ = 0;
  // The newest plan, compressed.
  std::string newest_text_;
  std::deque<Step> steps_;
  // Compressed patches to the newest plan by base version.
  std::map<PlanVersion, std::string> patches_;
};

}  // namespace sapphirebank
