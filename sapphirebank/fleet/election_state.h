#pragma once

#include <cstddef>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// A control host that was not heard for this time, two of its ping periods,
// does not count as a participant of an election.
inline constexpr Duration kVoterContactTime = std::chrono::milliseconds(1000);

// Time after an election until the first update of the new leader has reached
// all hubs.
inline constexpr Duration kNewLeaderTime = std::chrono::milliseconds(500);

// Time after the start of a control host in which it may not be linked to the
// others yet.
inline constexpr Duration kLinkingTime = std::chrono::milliseconds(2000);

// Returns whether the leader is known for long enough that hubs without an
// update of it are partitioned from it. `changed_at` is since when the leader,
// or that there is none, is known.
constexpr bool LeaderIsSettled(Instant now, bool has_leader,
                               Instant changed_at) {
  return has_leader && now - changed_at >= kNewLeaderTime;
}

// Returns whether a control host with an unsettled leader takes part in an
// election, so that its old leader update does not mean that it is partitioned
// from the others. A minority elects no leader, however long it tries.
// `voters_in_contact` are those heard within kVoterContactTime, including this
// host, and `quorum` is the number that makes a majority.
constexpr bool MayElect(std::size_t voters_in_contact, std::size_t quorum) {
  return voters_in_contact >= quorum;
}

// Returns whether a call may wait for a leader at a control host that knows
// none. Elsewhere than in a majority there is none to wait for, and the caller
// should turn to another control host at once.
constexpr bool MayAwaitLeader(Instant now, Instant started_at,
                              std::size_t voters_in_contact,
                              std::size_t quorum) {
  return MayElect(voters_in_contact, quorum) || now - started_at < kLinkingTime;
}

}  // namespace sapphirebank
