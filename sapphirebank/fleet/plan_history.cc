#include "sapphirebank/fleet/plan_history.h"

#include <algorithm>

#include "sapphirebank/core/compression.h"

namespace sapphirebank {

void PlanHistory::Add(PlanVersion version, const std::string& document) {
  constexpr bool kAllowExceptions = false;
  plans_.push_back({version,
                    nlohmann::json::parse(document, nullptr, kAllowExceptions),
                    document.size()});
  if (plans_.size() > kMaxPlans) plans_.pop_front();
  newest_text_ = Compress(document);
  patches_.clear();
}

std::size_t PlanHistory::bytes() const {
  std::size_t bytes = newest_text_.size();
  for (const Plan& plan : plans_) bytes += plan.text_bytes;
  for (const auto& [version, patch] : patches_) bytes += patch.size();
  return bytes;
}

PlanUpdate PlanHistory::UpdateSince(PlanVersion held_version) {
  const Plan& newest = plans_.back();
  const auto base_plan = std::find_if(
      plans_.begin(), plans_.end(),
      [&](const Plan& plan) { return plan.version == held_version; });
  if (base_plan == plans_.end())
    return {newest.version, std::nullopt, newest_text_};
  auto [patch, is_new] = patches_.try_emplace(held_version);
  if (is_new) {
    patch->second = Compress(
        nlohmann::json::diff(base_plan->document, newest.document).dump());
  }
  if (patch->second.size() >= newest_text_.size()) {
    return {newest.version, std::nullopt, newest_text_};
  }
  return {newest.version, held_version, patch->second};
}

}  // namespace sapphirebank
