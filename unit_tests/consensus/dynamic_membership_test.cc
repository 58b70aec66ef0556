#include <algorithm>
#include <catch2/catch.hpp>

#include "unit_tests/consensus/control_group.h"

namespace sapphirebank {
namespace {

using std::chrono::seconds;

// Five hosts with dynamic membership, of which the first three are founders.
struct DynamicGroup {
  bool has_founders = true;
  ControlGroup group;

  explicit DynamicGroup(std::uint64_t seed)
      : group(5, seed, [this](ControlHostSettings& settings) {
          settings.dynamic_membership = true;
          std::vector<HostId> seeds = settings.control_hosts;
          seeds.resize(3);
          if (has_founders) settings.founders = seeds;
        }) {}

  std::size_t Voters() {
    const auto leader = group.Leader();
    if (!leader) return 0;
    return group.at(*leader).raft().membership().VoterCount();
  }
  bool AwaitVoters(std::size_t voters) {
    return group.RunUntil([&] { return Voters() == voters; });
  }
};

TEST_CASE("founders form one group and the other hosts join", "[open_group]") {
  const auto seed = GENERATE(range(1, 21));
  DynamicGroup dynamic(static_cast<std::uint64_t>(seed));
  dynamic.group.AwaitLeader();
  CHECK(dynamic.AwaitVoters(5));
  CHECK(dynamic.group.violations().empty());
}

TEST_CASE(
    "founders form one group although two of them cannot reach each other",
    "[open_group]") {
  const auto seed = GENERATE(range(1, 21));
  DynamicGroup dynamic(static_cast<std::uint64_t>(seed));
  dynamic.group.BlockLink(0, 1);
  dynamic.group.BlockLink(1, 0);
  dynamic.group.AwaitLeader();
  dynamic.group.Heal();
  CHECK(dynamic.AwaitVoters(5));
  CHECK(dynamic.group.violations().empty());
}

TEST_CASE("a founder that lost its disk rejoins as a new node",
          "[open_group]") {
  DynamicGroup dynamic(31);
  dynamic.group.AwaitLeader();
  REQUIRE(dynamic.AwaitVoters(5));
  dynamic.has_founders = false;
  const NodeId before = dynamic.group.at(0).raft().self();
  dynamic.group.LoseDisk(0);
  dynamic.group.Start(0);
  CHECK(dynamic.group.at(0).raft().self() != before);
  CHECK(dynamic.group.at(0).raft().IsEmpty());
  CHECK(dynamic.group.RunUntil([&] {
    const auto leader = dynamic.group.Leader();
    if (!leader) return false;
    const auto& members = dynamic.group.at(*leader).raft().membership();
    return members.VoterCount() == 5 &&
           members.IsVoter(dynamic.group.at(0).raft().self());
  }));
  CHECK(dynamic.group.violations().empty());
}

TEST_CASE("empty hosts without founders never form a group", "[open_group]") {
  DynamicGroup dynamic(32);
  dynamic.has_founders = false;
  for (std::size_t i = 0; i < 5; ++i) dynamic.group.LoseDisk(i);
  for (std::size_t i = 0; i < 5; ++i) dynamic.group.Start(i);
  dynamic.group.Run(seconds(30));
  CHECK_FALSE(dynamic.group.Leader());
}

TEST_CASE("a group with an even number of voters removes a lost one",
          "[open_group]") {
  DynamicGroup dynamic(33);
  dynamic.group.AwaitLeader();
  REQUIRE(dynamic.AwaitVoters(5));
  // With one of five lost for good, the group keeps five members, since four
  // tolerate no more failures.
  const std::size_t leader = dynamic.group.AwaitLeader();
  const std::size_t gone = leader == 4 ? 3 : 4;
  dynamic.group.Crash(gone);
  dynamic.group.Run(seconds(10));
  CHECK(dynamic.Voters() == 5);
  // With a second one lost, the number of voters is even and one is removed.
  const std::size_t next = dynamic.group.AwaitLeader();
  GroupMembership odd = dynamic.group.at(next).raft().membership();
  const auto& members = odd.members();
  const UnresponsiveVoters unresponsive = {{}, {members.front().node}};
  const GroupMembership even = odd.Without(members.back().node);
  const auto changed = NextDynamicMembership(even, {}, {}, true, unresponsive);
  REQUIRE(changed);
  CHECK(changed->VoterCount() == 3);
  CHECK_FALSE(NextDynamicMembership(odd, {}, {}, true, unresponsive));
}

TEST_CASE("a learner replaces an unresponsive voter", "[open_group]") {
  std::vector<GroupMember> members;
  for (const char* name : {"a", "b", "c"}) {
    members.push_back({HostId(name), NodeId(name), true});
  }
  members.push_back({HostId("d"), NodeId("d"), false});
  const GroupMembership group(members);
  const std::map<HostId, NodeId> present = {{HostId("d"), NodeId("d")}};
  const UnresponsiveVoters unresponsive = {{NodeId("b")}, {}};
  const auto first =
      NextDynamicMembership(group, present, {NodeId("d")}, true, unresponsive);
  REQUIRE(first);
  CHECK(first->Find(NodeId("b")) == nullptr);
  const auto second = NextDynamicMembership(*first, present, {NodeId("d")},
                                            true, UnresponsiveVoters());
  REQUIRE(second);
  CHECK(second->IsVoter(NodeId("d")));
  CHECK(second->VoterCount() == 3);
}

TEST_CASE(
    "an accepted plan survives a restart of all hosts with one disk erased",
    "[open_group]") {
  const auto seed = GENERATE(range(40, 60));
  DynamicGroup dynamic(static_cast<std::uint64_t>(seed));
  dynamic.group.AwaitLeader();
  REQUIRE(dynamic.AwaitVoters(5));
  REQUIRE(dynamic.group.Call(StorePlan{7, "seven"}).result);
  dynamic.has_founders = false;
  for (std::size_t i = 0; i < 5; ++i) dynamic.group.Crash(i);
  dynamic.group.LoseDisk(static_cast<std::size_t>(seed) % 5);
  for (std::size_t i = 0; i < 5; ++i) dynamic.group.Start(i);
  const std::size_t leader = dynamic.group.AwaitLeader();
  CHECK(dynamic.group.at(leader).state().fleet().document() == "seven");
  CHECK(dynamic.AwaitVoters(5));
  CHECK(dynamic.group.violations().empty());
}

}  // namespace
}  // namespace sapphirebank
