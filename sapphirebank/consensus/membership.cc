#include "sapphirebank/consensus/membership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sapphirebank {
namespace {

// Returns the first member on `host` whose node id is not `node`, or null.
const GroupMember* OtherNodeOf(const GroupMembership& membership,
                               const HostId& host, const NodeId& node) {
  for (const GroupMember& member : membership.members()) {
    if (member.host == host && member.node != node) return &member;
  }
  return nullptr;
}

}  // namespace

GroupMembership::GroupMembership(std::vector<GroupMember> members)
    : members_(std::move(members)) {
  std::sort(members_.begin(), members_.end(),
            [](const GroupMember& a, const GroupMember& b) {
              return a.node < b.node;
            });
}

const GroupMember* GroupMembership::Find(const NodeId& node) const {
  const auto found = std::find_if(
      members_.begin(), members_.end(),
      [&](const GroupMember& member) { return member.node == node; });
  return found == members_.end() ? nullptr : &*found;
}

bool GroupMembership::IsVoter(const NodeId& node) const {
  const GroupMember* member = Find(node);
  return member != nullptr && member->voter;
}

std::size_t GroupMembership::Quorum() const { return VoterCount() / 2 + 1; }

std::size_t GroupMembership::VoterCount() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const GroupMember& member) { return member.voter; }));
}

GroupMembership GroupMembership::With(GroupMember member) const {
  std::vector<GroupMember> members = Without(member.node).members_;
  members.push_back(std::move(member));
  return GroupMembership(std::move(members));
}

GroupMembership GroupMembership::Without(const NodeId& node) const {
  GroupMembership copy = *this;
  std::erase_if(copy.members_,
                [&](const GroupMember& member) { return member.node == node; });
  return copy;
}

void to_json(nlohmann::json& json, const GroupMembership& membership) {
  json = nlohmann::json::array();
  for (const GroupMember& member : membership.members()) {
    json.push_back({{"host", member.host.value()},
                    {"node", member.node.value()},
                    {"voter", member.voter}});
  }
}

void from_json(const nlohmann::json& json, GroupMembership& membership) {
  std::vector<GroupMember> members;
  for (const auto& item : json) {
    members.push_back({HostId(item.at("host").get<std::string>()),
                       NodeId(item.at("node").get<std::string>()),
                       item.at("voter").get<bool>()});
  }
  membership = GroupMembership(std::move(members));
}

std::optional<GroupMembership> NextDynamicMembership(
    const GroupMembership& current, const std::map<HostId, NodeId>& present,
    const std::vector<NodeId>& caught_up, bool remove_absent,
    const UnresponsiveVoters& unresponsive) {
  auto next = NextMembership(current, present, caught_up, remove_absent);
  const bool adds_voter = next && next->VoterCount() > current.VoterCount();
  if (adds_voter && !unresponsive.replaceable.empty()) {
    return current.Without(unresponsive.replaceable.front());
  }
  const bool is_even = current.VoterCount() % 2 == 0;
  if (!next && is_even && !unresponsive.removable.empty()) {
    return current.Without(unresponsive.removable.front());
  }
  return next;
}

std::optional<GroupMembership> NextMembership(
    const GroupMembership& current, const std::map<HostId, NodeId>& present,
    const std::vector<NodeId>& caught_up, bool remove_absent) {
  for (const GroupMember& member : current.members()) {
    if (member.voter) continue;
    const auto found = present.find(member.host);
    const bool is_stale =
        found == present.end() ? remove_absent : found->second != member.node;
    if (is_stale) return current.Without(member.node);
  }
  for (const auto& [host, node] : present) {
    const GroupMember* member = current.Find(node);
    if (member == nullptr) return current.With({host, node, false});
    if (member->voter) continue;
    if (std::find(caught_up.begin(), caught_up.end(), node) ==
        caught_up.end()) {
      continue;
    }
    const GroupMember* replaced = OtherNodeOf(current, host, node);
    if (replaced != nullptr) return current.Without(replaced->node);
    return current.With({host, node, true});
  }
  return std::nullopt;
}

}  // namespace sapphirebank
