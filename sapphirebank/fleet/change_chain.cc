#include "sapphirebank/fleet/change_chain.h"

#include <algorithm>
#include <cassert>

#include "sapphirebank/fleet/control_timing.h"

namespace sapphirebank {
namespace {

// A vote takes two messages each way and two writes; candidates wait a random
// part of a timeout for each other.
constexpr Duration kVoteTime = std::chrono::milliseconds(200);

Duration LimitOf(const std::vector<ChangeHopLimit>& limits, ChangeHop hop) {
  const auto found =
      std::find_if(limits.begin(), limits.end(),
                   [&](const ChangeHopLimit& item) { return item.hop == hop; });
  assert(found != limits.end());
  return found->limit;
}

}  // namespace

std::vector<ChangeHopLimit> ChangeHopLimits(const ViewLeaseSettings& lease,
                                            std::size_t hubs) {
  const Duration harmful = lease.lease - UngatedLease(lease);
  return {
      {ChangeHop::kCall, "call without an answer", kOperatorCallTime,
       "deadline of PendingCall; refused at once outside a majority"},
      {ChangeHop::kElection, "election",
       2 * kControlElectionTimeout + 2 * kFirstElectionTimeout + 2 * kVoteTime,
       "election deadline of RaftNode, with one vote without a winner; urgent "
       "steps of DecisionThread"},
      {ChangeHop::kCommit, "commit", kControlElectionTimeout,
       "a leader without answers of a majority steps down"},
      {ChangeHop::kControlHosts, "control hosts", harmful,
       "lease of the views that the leader confirmed"},
      {ChangeHop::kEntryHosts, "entry hosts of a hub",
       lease.contact_lease - UngatedLease(lease), "contact lease"},
      {ChangeHop::kConfirmation, "confirmation of a hub",
       kMinConfirmationPerHub * hubs + 2 * kControlTick,
       "ConfirmToLeader; otherwise as control hosts"},
      {ChangeHop::kFormerLeader, "leases of a former leader", harmful,
       "RaftNode::former_rounds_end"},
      {ChangeHop::kLostAnswer, "answer that is lost",
       kOperatorCallTime + kOperatorPause,
       "the next call for a change that is in force is answered at once"},
  };
}

Duration LongestAcknowledgement(const ViewLeaseSettings& lease,
                                std::size_t hubs) {
  const auto limits = ChangeHopLimits(lease, hubs);
  const auto limit = [&](ChangeHop hop) { return LimitOf(limits, hop); };
  // Hosts confirm while the leader waits for the control hosts, so these do not
  // add up.
  const Duration spread =
      std::max(limit(ChangeHop::kControlHosts),
               limit(ChangeHop::kEntryHosts) + limit(ChangeHop::kConfirmation));
  const Duration lost_leader =
      std::max(limit(ChangeHop::kElection) + limit(ChangeHop::kEntryHosts) +
                   limit(ChangeHop::kConfirmation),
               limit(ChangeHop::kFormerLeader));
  // No call may be open at the moment at which the change can be acknowledged.
  const Duration next_call =
      kOperatorCallTime - kControlCallTimeout + kOperatorPause;
  const Duration lost_answer = limit(ChangeHop::kEntryHosts) +
                               limit(ChangeHop::kConfirmation) +
                               limit(ChangeHop::kLostAnswer);
  return std::max({spread, lost_leader, lost_answer}) + next_call;
}

}  // namespace sapphirebank
