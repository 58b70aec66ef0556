#include "sapphirebank/backend/slot_tracker.h"

#include <algorithm>

namespace sapphirebank {

bool SlotTracker::Finish(Instant now, AttemptId attempt, Instant held_until) {
  const auto found = std::find_if(
      running_.begin(), running_.end(),
      [&](const Running& r) { return !r.probe && r.attempt == attempt; });
  if (found == running_.end()) return false;
  running_.erase(found);
  if (held_until > now) held_.push_back(held_until);
  return true;
}

bool SlotTracker::FinishProbe() {
  const auto found =
      std::find_if(running_.begin(), running_.end(),
                   [](const Running& running) { return running.probe; });
  if (found == running_.end()) return false;
  running_.erase(found);
  return true;
}

void SlotTracker::SetFreshConnection(AttemptId attempt, bool fresh) {
  for (Running& running : running_) {
    if (!running.probe && running.attempt == attempt) {
      running.fresh_connection = fresh;
    }
  }
}

void SlotTracker::Inherit(std::uint32_t count, Instant until) {
  inherited_ = count;
  inherited_until_ = until;
}

void SlotTracker::LowerInherited(std::uint32_t count) {
  inherited_ = std::min(inherited_, count);
}

void SlotTracker::Expire(Instant now) {
  if (inherited_until_ <= now) inherited_ = 0;
  std::erase_if(held_, [&](Instant until) { return until <= now; });
}

void SlotTracker::Clear() {
  running_.clear();
  held_.clear();
  inherited_ = 0;
}

SlotTracker::Overdue SlotTracker::CountOverdue(Instant now,
                                               Duration limit) const {
  Overdue overdue;
  for (const Running& running : running_) {
    if (running.probe || now - running.since < limit) continue;
    ++(running.fresh_connection ? overdue.fresh : overdue.old);
  }
  return overdue;
}

Duration SlotTracker::OldestAge(Instant now) const {
  Duration oldest = Duration::zero();
  for (const Running& running : running_) {
    if (!running.probe) oldest = std::max(oldest, now - running.since);
  }
  return oldest;
}

}  // namespace sapphirebank
