#include "sapphirebank/fleet/plan_history.h"

#include <algorithm>
#include <utility>

#include "sapphirebank/core/compression.h"

namespace sapphirebank {

void PlanHistory::Add(PlanVersion version, const std::string& document) {
  constexpr bool kAllowExceptions = false;
  nlohmann::json next =
      nlohmann::json::parse(document, nullptr, kAllowExceptions);
  newest_text_ = Compress(document);
  newest_bytes_ = document.size();
  patches_.clear();
  if (newest_ != 0) AddStep(next);
  newest_ = version;
  newest_document_ = std::move(next);
  DropOldSteps();
}

void PlanHistory::AddStep(const nlohmann::json& next) {
  if (newest_document_.is_discarded() || next.is_discarded()) {
    steps_.clear();
    return;
  }
  std::string operations = nlohmann::json::diff(newest_document_, next).dump();
  steps_.push_back({newest_, operations.substr(1, operations.size() - 2)});
}

// Drops what is too old, and patches that are longer than the plan itself.
void PlanHistory::DropOldSteps() {
  std::size_t bytes = 0;
  for (const Step& step : steps_) bytes += step.operations.size();
  while (!steps_.empty() &&
         (steps_.size() >= kMaxPlans || bytes > newest_bytes_)) {
    bytes -= steps_.front().operations.size();
    steps_.pop_front();
  }
}

std::size_t PlanHistory::bytes() const {
  std::size_t bytes = newest_text_.size() + newest_bytes_;
  for (const Step& step : steps_) bytes += step.operations.size();
  for (const auto& [version, patch] : patches_) bytes += patch.size();
  return bytes;
}

PlanUpdate PlanHistory::UpdateSince(PlanVersion held_version) {
  const auto first =
      std::find_if(steps_.begin(), steps_.end(),
                   [&](const Step& step) { return step.from == held_version; });
  if (first == steps_.end()) return {newest_, std::nullopt, newest_text_};
  auto [patch, is_new] = patches_.try_emplace(held_version);
  if (is_new) {
    std::string operations = "[";
    for (auto step = first; step != steps_.end(); ++step) {
      const bool needs_comma =
          operations.size() > 1 && !step->operations.empty();
      if (needs_comma) operations += ',';
      operations += step->operations;
    }
    patch->second = Compress(operations + "]");
  }
  if (patch->second.size() >= newest_text_.size()) {
    return {newest_, std::nullopt, newest_text_};
  }
  return {newest_, held_version, patch->second};
}

}  // namespace sapphirebank
