#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "sapphirebank/consensus/log_entry.h"

namespace sapphirebank {

// One node of the control group. A learner receives the log but has no vote.
struct GroupMember {
  HostId host;
  NodeId node;
  bool voter = false;

  friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

// The members of the control group as of one log entry, ordered by node id.
class GroupMembership {
 public:
  GroupMembership() = default;
  explicit GroupMembership(std::vector<GroupMember> members);

  // Returns the member with the id `node`, or null.
  const GroupMember* Find(const NodeId& node) const;

  // Returns whether `node` has a vote.
  bool IsVoter(const NodeId& node) const;

  // Returns the number of voters that make a majority.
  std::size_t Quorum() const;

  // Returns the number of voters.
  std::size_t VoterCount() const;

  // Returns a copy to which `member` is added, replacing any member with the
  // same node id.
  GroupMembership With(GroupMember member) const;

  // Returns a copy without `node`.
  GroupMembership Without(const NodeId& node) const;

  const std::vector<GroupMember>& members() const { return members_; }

  friend bool operator==(const GroupMembership&,
                         const GroupMembership&) = default;

 private:
  std::vector<GroupMember> members_;
};

void to_json(nlohmann::json& json, const GroupMembership& membership);
void from_json(const nlohmann::json& json, GroupMembership& membership);

// Returns the next single-server change that brings the hosts in `present`
// (each with the node that runs there now) into `current`, or nothing when no
// change is due. `caught_up` are the learners that hold every committed entry.
// With `remove_absent`, learners whose host is not in `present` are removed.
//
// A host with a new data folder first becomes a learner. Its previous node is
// removed only when the new one has caught up, and the following change makes
// the new one a voter. Until then the group tolerates as many failures as with
// the lost node.
std::optional<GroupMembership> NextMembership(
    const GroupMembership& current, const std::map<HostId, NodeId>& present,
    const std::vector<NodeId>& caught_up, bool remove_absent);

// The voters without recent contact in a group with dynamic membership.
struct UnresponsiveVoters {
  // Without contact long enough for a waiting learner to take their vote.
  std::vector<NodeId> replaceable;
  // Without contact long enough to be removed when the number of voters is
  // even, since an even-sized group tolerates no more failures than one with
  // one voter less.
  std::vector<NodeId> removable;
};

// Returns the next single-server change of a group with dynamic membership:
// that of NextMembership, except that a learner takes the vote of an
// unresponsive voter instead of enlarging the group.
std::optional<GroupMembership> NextDynamicMembership(
    const GroupMembership& current, const std::map<HostId, NodeId>& present,
    const std::vector<NodeId>& caught_up, bool remove_absent,
    const UnresponsiveVoters& unresponsive);

}  // namespace sapphirebank
