#include "sapphirebank/fleet/plan_history.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {

void PlanHistory::Add(PlanVersion version, std::string document) {
  constexpr bool kAllowExceptions = false;
  Plan plan;
  plan.version = version;
  plan.document = nlohmann::json::parse(document, nullptr, kAllowExceptions);
  plan.text = std::move(document);
  plans_.push_back(std::move(plan));
  if (plans_.size() > kMaxPlans) plans_.pop_front();
  patches_.clear();
}

PlanUpdate PlanHistory::UpdateSince(PlanVersion held_version) {
  const Plan& newest = plans_.back();
  const auto base_plan = std::find_if(
      plans_.begin(), plans_.end(),
      [&](const Plan& plan) { return plan.version == held_version; });
  if (base_plan == plans_.end())
    return {newest.version, std::nullopt, newest.text};
  auto [patch, is_new] = patches_.try_emplace(held_version);
  if (is_new) {
    patch->second =
        nlohmann::json::diff(base_plan->document, newest.document).dump();
  }
  if (patch->second.size() >= newest.text.size()) {
    return {newest.version, std::nullopt, newest.text};
  }
  return {newest.version, held_version, patch->second};
}

}  // namespace sapphirebank
