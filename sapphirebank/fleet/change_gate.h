#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/view_lease_settings.h"

namespace sapphirebank {

// Decides when a change of the replicated record may be acknowledged, so that
// every host acts on it within a bound from then on: once all hosts apply it
// that may go on using an older view for longer, or once their leases end
// within the bound (Gray and Cheriton, "Leases", SOSP 1989).
//
// The view of a host is confirmed as of a time of which it contains every
// change that was committed before, and may be used until the lease has passed
// since. So a host that lacks a change had its view confirmed before the change
// was committed. An entry host uses it for no longer than the contact lease
// after it asked its hub, and takes a lease only with all changes that the hub
// had when it gave it. So a single host holds back a change for the rest of the
// contact lease that it had when the change reached its hub.
//
// A relay uses this class for the entry hosts that report to it and tells the
// leader what all of them apply; the leader uses it for its relays and its own
// entry hosts.
class ChangeGate {
 public:
  // `start` is when the process started: views that were confirmed by an
  // earlier process are unknown to this one.
  ChangeGate(ViewLeaseSettings settings, Instant start);

  // Records that this host began to lead, with `changes` in its record. Which
  // views the former leader confirmed is unknown to this one, but it confirmed
  // none as of a time after `former_rounds_end`.
  void BecomeLeader(Instant now, std::uint64_t changes,
                    Instant former_rounds_end);

  // Records that this host leads no longer. Its relays confirm changes to the
  // next leader.
  void EndLeadership(std::span<const HostId> relays);

  // Leader only: records that the record has `changes` changes now.
  void RecordCommit(Instant now, std::uint64_t changes);

  // Records that `holder`, a relay or an entry host of an earlier build, may
  // have been given a confirmation as of `as_of` together with the changes up
  // to `changes`.
  void RecordConfirmation(Instant now, const HostId& holder, Instant as_of,
                          std::uint64_t changes);

  // Records the same of an entry host that stops using its view when the
  // contact lease has passed since it asked, which was at `now` at the latest.
  void RecordContact(Instant now, const HostId& holder, Instant as_of,
                     std::uint64_t changes);

  // Records that `holder`, or every host that reports to it, applies all
  // changes up to `change`.
  void RecordApplied(const HostId& holder, std::uint64_t change);

  // Returns the last change that all hosts apply whose views, as far as this
  // host confirmed them, may be used for longer than any bound. `newest` is the
  // last change of this host's record.
  std::uint64_t AppliedByAll(Instant now, std::uint64_t newest) const;

  // Leader only: returns whether to acknowledge a change now, which no host may
  // act without when `bound` has passed.
  bool MayAcknowledge(Instant now, std::uint64_t change, Duration bound) const;

  // Returns the holders that keep `change` from being acknowledged.
  std::vector<HostId> HoldersBehind(Instant now, std::uint64_t change,
                                    Duration bound) const;

  const ViewLeaseSettings& settings() const { return settings_; }

 private:
  // A lease that was given together with the changes up to `changes`.
  struct Lease {
    std::uint64_t changes = 0;
    Instant end;
  };
  struct View {
    // The leases that outlast a bound, by changes and by end.
    std::deque<Lease> leases;
    std::uint64_t applied = 0;
  };
  struct Commit {
    std::uint64_t changes = 0;
    Instant at;
  };

  void RecordLease(Instant now, const HostId& holder, Lease lease);

  // Returns the first lease that outlasts `bound`, or null.
  static const Lease* FirstHarmful(const View& view, Instant now,
                                   Duration bound);

  // Returns the time since which a view must have been confirmed to be usable
  // for longer than `bound` from now on.
  Instant OldestHarmful(Instant now, Duration bound) const;
  Instant CommitTime(std::uint64_t change) const;

  ViewLeaseSettings settings_;
  // Views that were confirmed by this host, and by any leader, before these
  // times may be unknown.
  Instant own_known_since_;
  Instant known_since_;
  std::map<HostId, View> views_;
  // The commits of the last lease, oldest first.
  std::deque<Commit> commits_;
};

}  // namespace sapphirebank
