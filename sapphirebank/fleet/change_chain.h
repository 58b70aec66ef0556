#pragma once

#include <string_view>
#include <vector>

#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/view_lease_settings.h"

namespace sapphirebank {

// The parts of the way of a change from the operator to the last entry host and
// back.
enum class ChangeHop {
  kCall,          // A call that meets no leader, or a host that is silent.
  kElection,      // From the last message of a lost leader to the next leader.
  kCommit,        // From the leader's log to that of a majority.
  kControlHosts,  // Until no control host may act without the change.
  kEntryHosts,    // Until no entry host of one hub may act without it.
  kConfirmation,  // From the last entry host of a hub to the leader.
  kFormerLeader,  // Since a former leader was last answered.
  kLostAnswer,    // From an answer that is lost to the next call.
};

// The limit of one hop.
struct ChangeHopLimit {
  ChangeHop hop = ChangeHop::kCall;
  std::string_view name;
  Duration limit{};
  // What ends the hop when its limit is reached.
  std::string_view enforced_by;
};

// Longest time in which an operator gives up a call, and the pause before the
// next one that the limits below allow for.
inline constexpr Duration kOperatorCallTime = std::chrono::milliseconds(1000);
inline constexpr Duration kOperatorPause = std::chrono::milliseconds(260);

// Returns the limits of all hops for a group with `hubs` control hosts.
std::vector<ChangeHopLimit> ChangeHopLimits(const ViewLeaseSettings& lease,
                                            std::size_t hubs);

// Returns the longest time from an operator's first call to the answer that
// gets through while one thing goes wrong: a leader or another control host
// that is lost, or an answer.
Duration LongestAcknowledgement(const ViewLeaseSettings& lease,
                                std::size_t hubs);

}  // namespace sapphirebank
