#include "sapphirebank/fleet/refusal_memory.h"

#include <algorithm>

namespace sapphirebank {

void RefusalMemory::RecordRefusal(Instant now, const DispatchQuery& query,
                                  const DispatchRefusal& refusal) {
  const auto [found, is_new] = shortages_.try_emplace(query.service);
  Shortage& shortage = found->second;
  if (is_new || now - shortage.refused_at > settings_.max_age) {
    shortage = Shortage();
    shortage.rank = query.rank;
  }
  shortage.rank = std::min(shortage.rank, query.rank);
  shortage.refused.Add(now, settings_.max_age);
  shortage.refused_at = now;
  shortage.refusal = refusal;
  // The host itself comes back with a request that it holds.
  if (refusal.hold || query.fingerprint == 0) return;
  Forget(now);
  const Instant return_at = now + refusal.retry_after;
  return_at_[query.fingerprint] = return_at;
  order_.emplace_back(query.fingerprint, return_at);
}

void RefusalMemory::RecordAdmission(Instant now, const DispatchQuery& query,
                                    bool has_room) {
  const auto found = shortages_.find(query.service);
  if (found == shortages_.end() || query.rank < found->second.rank) return;
  if (has_room) {
    shortages_.erase(found);
  } else {
    found->second.admitted.Add(now, settings_.max_age);
  }
}

const RefusalMemory::Shortage* RefusalMemory::FindShortage(
    Instant now, const DispatchQuery& query) const {
  const auto found = shortages_.find(query.service);
  if (found == shortages_.end()) return nullptr;
  const Shortage& shortage = found->second;
  const bool is_old = now - shortage.refused_at > settings_.max_age;
  return is_old || query.rank < shortage.rank ? nullptr : &shortage;
}

std::optional<DispatchRefusal> RefusalMemory::RefuseEarly(
    Instant now, const DispatchQuery& query) const {
  const auto found = return_at_.find(query.fingerprint);
  if (found == return_at_.end() || query.is_retry) return std::nullopt;
  const Shortage* shortage = FindShortage(now, query);
  const Duration early = found->second - now;
  if (shortage == nullptr || early <= settings_.early_tolerance) {
    return std::nullopt;
  }
  return DispatchRefusal{shortage->refusal.kind,
                         std::min(early, query.time_left / 3)};
}

std::optional<DispatchRefusal> RefusalMemory::RefuseWithoutHub(
    Instant now, const DispatchQuery& query, double draw) const {
  const Shortage* shortage = FindShortage(now, query);
  if (shortage == nullptr || query.is_retry) return std::nullopt;
  const double refused = shortage->refused.ValueAt(now, settings_.max_age);
  const double admitted = shortage->admitted.ValueAt(now, settings_.max_age);
  const double belief =
      1 - ToSeconds(now - shortage->refused_at) / ToSeconds(settings_.max_age);
  if (draw >= belief * refused / (refused + admitted)) return std::nullopt;
  return DispatchRefusal{
      shortage->refusal.kind,
      std::min(shortage->refusal.retry_after, query.time_left / 3)};
}

void RefusalMemory::Forget(Instant now) {
  while (!order_.empty() && (order_.size() >= settings_.request_limit ||
                             order_.front().second < now)) {
    const auto [request, return_at] = order_.front();
    order_.pop_front();
    const auto found = return_at_.find(request);
    if (found != return_at_.end() && found->second == return_at) {
      return_at_.erase(found);
    }
  }
}

}  // namespace sapphirebank
