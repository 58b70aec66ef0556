#include "sapphirebank/fleet/change_gate.h"

#include <algorithm>

namespace sapphirebank {

ChangeGate::ChangeGate(ViewLeaseSettings settings, Instant start)
    : settings_(settings), own_known_since_(start), known_since_(start) {}

void ChangeGate::BecomeLeader(Instant now, std::uint64_t changes,
                              Instant former_rounds_end) {
  known_since_ = std::max(own_known_since_, former_rounds_end);
  commits_ = {{changes, now}};
}

void ChangeGate::EndLeadership(std::span<const HostId> relays) {
  known_since_ = own_known_since_;
  for (const HostId& relay : relays) views_.erase(relay);
}

void ChangeGate::RecordCommit(Instant now, std::uint64_t changes) {
  if (!commits_.empty() && commits_.back().changes >= changes) return;
  commits_.push_back({changes, now});
  // A later commit stands for those before it: it is as old as any lease.
  while (commits_.size() > 1 && commits_[1].at < now - settings_.lease) {
    commits_.pop_front();
  }
}

void ChangeGate::RecordConfirmation(Instant now, const HostId& holder,
                                    Instant as_of, std::uint64_t changes) {
  RecordLease(now, holder, {changes, as_of + settings_.lease});
}

void ChangeGate::RecordContact(Instant now, const HostId& holder, Instant as_of,
                               std::uint64_t changes) {
  RecordLease(now, holder,
              {changes, std::min(as_of + settings_.lease,
                                 now + settings_.contact_lease)});
}

void ChangeGate::RecordLease(Instant now, const HostId& holder, Lease lease) {
  std::deque<Lease>& leases = views_[holder].leases;
  const Instant harmful_until = now + UngatedLease(settings_);
  while (!leases.empty() && leases.front().end <= harmful_until) {
    leases.pop_front();
  }
  if (!leases.empty()) lease.end = std::max(lease.end, leases.back().end);
  if (leases.empty() || leases.back().changes < lease.changes) {
    leases.push_back(lease);
  } else {
    leases.back().end = lease.end;
  }
}

const ChangeGate::Lease* ChangeGate::FirstHarmful(const View& view, Instant now,
                                                  Duration bound) {
  const auto found =
      std::find_if(view.leases.begin(), view.leases.end(),
                   [&](const Lease& lease) { return lease.end > now + bound; });
  return found == view.leases.end() ? nullptr : &*found;
}

void ChangeGate::RecordApplied(const HostId& holder, std::uint64_t change) {
  views_[holder].applied = change;
}

Instant ChangeGate::OldestHarmful(Instant now, Duration bound) const {
  return now - std::max<Duration>(settings_.lease - bound, Duration::zero());
}

std::uint64_t ChangeGate::AppliedByAll(Instant now,
                                       std::uint64_t newest) const {
  const Duration bound = UngatedLease(settings_);
  if (OldestHarmful(now, bound) < known_since_) return 0;
  std::uint64_t applied = newest;
  for (const auto& [holder, view] : views_) {
    const Lease* const lease = FirstHarmful(view, now, bound);
    if (lease == nullptr) continue;
    applied = std::min(applied, std::max(view.applied, lease->changes));
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
  std::vector<HostId> behind;
  for (const auto& [holder, view] : views_) {
    const Lease* const lease = FirstHarmful(view, now, bound);
    if (lease == nullptr) continue;
    if (std::max(view.applied, lease->changes) < change) {
      behind.push_back(holder);
    }
  }
  return behind;
}

}  // namespace sapphirebank
