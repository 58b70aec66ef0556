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

}  // namespace sapphirebank
