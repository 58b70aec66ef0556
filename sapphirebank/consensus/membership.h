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

// The nodes of the control group as of one log entry, ordered by node.
class GroupMembership {
 public:
  GroupMembership() = default;
  explicit GroupMembership(std::vector<GroupMember> members);

  // Returns the member that is `node`, or null.
  const GroupMember* Find(const NodeId& node) const;

  // Returns whether `node` has a vote.
  bool IsVoter(const NodeId& node) const;

  // Returns how many voters make a majority.
  std::size_t Quorum() const;

  // Returns the number of voters.
  std::size_t VoterCount() const;

  // Returns a copy in which `member` is added or replaces the same node.
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

// Returns the next single change that brings the hosts in `present` (host and
// the node that runs there now) into `current`, or nothing when none is due.
// `caught_up` are the learners that hold every committed entry. With
// `remove_absent` learners whose host is not in `present` are removed.
//
// A host with a new data folder first becomes a learner. Only when it has
// caught up is the node that it was removed, and the next change makes it a
// voter: until then the group is no worse off than with the lost node.
std::optional<GroupMembership> NextMembership(
    const GroupMembership& current, const std::map<HostId, NodeId>& present,
    const std::vector<NodeId>& caught_up, bool remove_absent);

// What an open group knows of voters that do not answer.
struct UnresponsiveVoters {
  // Silent for long enough to give their vote to a host that waits for one.
  std::vector<NodeId> replaceable;
  // Silent for long enough to be dropped where the number of voters is even,
  // since an even group bears no more losses than one with a voter less.
  std::vector<NodeId> removable;
};

// Returns the next single change of a group whose hosts come and go: that of
// NextMembership, but a learner takes the vote of a silent voter instead of
// enlarging the group.
std::optional<GroupMembership> NextDynamicMembership(
    const GroupMembership& current, const std::map<HostId, NodeId>& present,
    const std::vector<NodeId>& caught_up, bool remove_absent,
    const UnresponsiveVoters& unresponsive);

}  // namespace sapphirebank
