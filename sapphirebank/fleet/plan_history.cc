#include "sapphirebank/fleet/plan_history.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {

void PlanHistory::Add(PlanVersion version, std::string document) {
  constexpr bool kThrow = false;
  Plan plan;
  plan.version = version;
  plan.document = nlohmann::json::parse(document, nullptr, kThrow);
  plan.text = std::move(document);
  plans_.push_back(std::move(plan));
  if (plans_.size() > kKept) plans_.pop_front();
  patches_.clear();
}

PlanNews PlanHistory::NewsSince(PlanVersion held) {
  const Plan& newest = plans_.back();
  const auto base =
      std::find_if(plans_.begin(), plans_.end(),
                   [&](const Plan& plan) { return plan.version == held; });
  if (base == plans_.end()) return {newest.version, std::nullopt, newest.text};
  auto [patch, is_new] = patches_.try_emplace(held);
  if (is_new) {
    patch->second =
        nlohmann::json::diff(base->document, newest.document).dump();
  }
  if (patch->second.size() >= newest.text.size()) {
    return {newest.version, std::nullopt, newest.text};
  }
  return {newest.version, held, patch->second};
}

}  // namespace sapphirebank
