#include <algorithm>
#include <catch2/catch.hpp>

#include "unit_tests/consensus/control_group.h"

namespace sapphirebank {
namespace {

using std::chrono::seconds;

// Five hosts of which the first three form the group.
struct OpenGroup {
  bool has_founders = true;
  ControlGroup group;

  explicit OpenGroup(std::uint64_t seed)
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

TEST_CASE("founders form one group and the others join", "[open_group]") {
  const auto seed = GENERATE(range(1, 21));
  OpenGroup open(static_cast<std::uint64_t>(seed));
  open.group.AwaitLeader();
  CHECK(open.AwaitVoters(5));
  CHECK(open.group.violations().empty());
}

TEST_CASE("two founders that cannot reach each other form one group",
          "[open_group]") {
  const auto seed = GENERATE(range(1, 21));
  OpenGroup open(static_cast<std::uint64_t>(seed));
  open.group.BlockLink(0, 1);
  open.group.BlockLink(1, 0);
  open.group.AwaitLeader();
  open.group.Heal();
  CHECK(open.AwaitVoters(5));
  CHECK(open.group.violations().empty());
}

TEST_CASE("a founder that lost its disk does not vote as before",
          "[open_group]") {
  OpenGroup open(31);
  open.group.AwaitLeader();
  REQUIRE(open.AwaitVoters(5));
  open.has_founders = false;
  const NodeId before = open.group.at(0).raft().self();
  open.group.LoseDisk(0);
  open.group.Start(0);
  CHECK(open.group.at(0).raft().self() != before);
  CHECK(open.group.at(0).raft().IsEmpty());
  CHECK(open.group.RunUntil([&] {
    const auto leader = open.group.Leader();
    if (!leader) return false;
    const auto& members = open.group.at(*leader).raft().membership();
    return members.VoterCount() == 5 &&
           members.IsVoter(open.group.at(0).raft().self());
  }));
  CHECK(open.group.violations().empty());
}

TEST_CASE("without founders empty hosts never form a group", "[open_group]") {
  OpenGroup open(32);
  open.has_founders = false;
  for (std::size_t i = 0; i < 5; ++i) open.group.LoseDisk(i);
  for (std::size_t i = 0; i < 5; ++i) open.group.Start(i);
  open.group.Run(seconds(30));
  CHECK_FALSE(open.group.Leader());
}

TEST_CASE("a group of an even number drops a voter that is gone",
          "[open_group]") {
  OpenGroup open(33);
  open.group.AwaitLeader();
  REQUIRE(open.AwaitVoters(5));
  // One is gone for good: five keep five places, since a place less bears no
  // more losses.
  const std::size_t leader = open.group.AwaitLeader();
  const std::size_t gone = leader == 4 ? 3 : 4;
  open.group.Crash(gone);
  open.group.Run(seconds(10));
  CHECK(open.Voters() == 5);
  // A second one is gone: of an even number of places one would be dropped.
  const std::size_t next = open.group.AwaitLeader();
  GroupMembership odd = open.group.at(next).raft().membership();
  const auto& members = odd.members();
  const UnresponsiveVoters unresponsive = {{}, {members.front().node}};
  const GroupMembership even = odd.Without(members.back().node);
  const auto changed = NextDynamicMembership(even, {}, {}, true, unresponsive);
  REQUIRE(changed);
  CHECK(changed->VoterCount() == 3);
  CHECK_FALSE(NextDynamicMembership(odd, {}, {}, true, unresponsive));
}

TEST_CASE("a learner takes the place of a silent voter", "[open_group]") {
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

TEST_CASE("an accepted plan outlives a wiped disk and a loss of all power",
          "[open_group]") {
  const auto seed = GENERATE(range(40, 60));
  OpenGroup open(static_cast<std::uint64_t>(seed));
  open.group.AwaitLeader();
  REQUIRE(open.AwaitVoters(5));
  REQUIRE(open.group.Call(StorePlan{7, "seven"}).result);
  open.has_founders = false;
  for (std::size_t i = 0; i < 5; ++i) open.group.Crash(i);
  open.group.LoseDisk(static_cast<std::size_t>(seed) % 5);
  for (std::size_t i = 0; i < 5; ++i) open.group.Start(i);
  const std::size_t leader = open.group.AwaitLeader();
  CHECK(open.group.at(leader).state().fleet().document() == "seven");
  CHECK(open.AwaitVoters(5));
  CHECK(open.group.violations().empty());
}

}  // namespace
}  // namespace sapphirebank
