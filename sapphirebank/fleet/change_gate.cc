#include "sapphirebank/fleet/change_gate.h"

#include <algorithm>

namespace sapphirebank {

ChangeGate::ChangeGate(ViewLeaseSettings settings, Instant start)
    : settings_(settings), known_since_(start) {}

void ChangeGate::BecomeLeader(Instant now, std::uint64_t changes) {
  known_since_ = now;
  commits_ = {{changes, now}};
}

void ChangeGate::RecordCommit(Instant now, std::uint64_t changes) {
  if (!commits_.empty() && commits_.back().changes >= changes) return;
  commits_.push_back({changes, now});
  // A later commit stands for those before it: it is as old as any lease.
  while (commits_.size() > 1 && commits_[1].at < now - settings_.lease) {
    commits_.pop_front();
  }
}

void ChangeGate::RecordConfirmation(const HostId& holder, Instant as_of) {
  View& view = views_[holder];
  view.confirmed_as_of = std::max(view.confirmed_as_of, as_of);
}

void ChangeGate::RecordApplied(const HostId& holder, std::uint64_t change) {
  views_[holder].applied = change;
}

Instant ChangeGate::OldestHarmful(Instant now, Duration bound) const {
  return now - std::max<Duration>(settings_.lease - bound, Duration::zero());
}

std::uint64_t ChangeGate::AppliedByAll(Instant now,
                                       std::uint64_t newest) const {
  const Instant since = OldestHarmful(now, UngatedLease(settings_));
  if (since < known_since_) return 0;
  std::uint64_t applied = newest;
  for (const auto& [holder, view] : views_) {
    if (view.confirmed_as_of < since) continue;
    applied = std::min(applied, view.applied);
  }
  return applied;
}

Instant ChangeGate::CommitTime(std::uint64_t change) const {
  const auto commit = std::lower_bound(
      commits_.begin(), commits_.end(), change,
      [](const Commit& c, std::uint64_t number) { return c.changes < number; });
  // A change that is not committed yet.
  if (commit == commits_.end()) return Instant::max();
  return commit->at;
}

bool ChangeGate::MayAcknowledge(Instant now, std::uint64_t change,
                                Duration bound) const {
  const Instant since = OldestHarmful(now, bound);
  const Instant committed_at = CommitTime(change);
  if (committed_at > now) return false;
  // Views without the change were confirmed before it was committed.
  if (committed_at <= since) return true;
  if (since < known_since_) return false;
  return HoldersBehind(now, change, bound).empty();
}

std::vector<HostId> ChangeGate::HoldersBehind(Instant now, std::uint64_t change,
                                              Duration bound) const {
  const Instant since = OldestHarmful(now, bound);
  std::vector<HostId> behind;
  for (const auto& [holder, view] : views_) {
    if (view.confirmed_as_of >= since && view.applied < change) {
      behind.push_back(holder);
    }
  }
  return behind;
}

}  // namespace sapphirebank
