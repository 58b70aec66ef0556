#include <catch2/catch.hpp>

#include "sapphirebank/consensus/control_host.h"
#include "unit_tests/consensus/control_group.h"

// Restarts, lost disks and membership changes.
namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("all of 1,000 changes are present after a restart", "[consensus]") {
  for (const std::size_t hosts : {1U, 3U}) {
    ControlGroup group(hosts, 10, UseSmallLogs);
    group.AwaitLeader();
    MakeChanges(group, 0, 1000);
    for (std::size_t i = 0; i < hosts; ++i) group.Crash(i);
    for (std::size_t i = 0; i < hosts; ++i) group.Start(i);
    group.AwaitLeader();
    CHECK(AllHaveRevision(group, 1000));
    MakeChanges(group, 1000, 1);
    CHECK(group.at(0).raft().snapshot().last.index > 0);
    CHECK(group.violations().empty());
  }
}

TEST_CASE("a host that lags receives a snapshot in parts over a faulty network",
          "[consensus]") {
  ControlGroup group(3, 11, UseSmallLogs);
  const std::size_t leader = group.AwaitLeader();
  REQUIRE(AwaitComplete(group));
  const std::size_t away = (leader + 1) % 3;
  group.Crash(away);
  MakeChanges(group, 0, 200);
  group.set_network({0.1, 0.1, milliseconds(100)});
  group.Start(away);
  CHECK(AllHaveRevision(group, 200));
  CHECK(group.violations().empty());
}

TEST_CASE("a host that lost its disk has no vote until it is admitted again",
          "[consensus]") {
  ControlGroup group(3, 12);
  const std::size_t leader = group.AwaitLeader();
  MakeChanges(group, 0, 3);
  REQUIRE(AwaitComplete(group));
  const std::size_t lost = (leader + 1) % 3;
  const std::size_t other = (leader + 2) % 3;
  REQUIRE(AllHaveRevision(group, 3));
  const NodeId old = group.at(lost).raft().self();
  group.LoseDisk(lost);
  group.Crash(leader);
  group.Start(lost);
  // One voter of three is up: no leader, no admission, no new group.
  group.Run(seconds(60));
  CHECK_FALSE(group.Leader());
  CHECK(group.at(lost).raft().self() != old);
  CHECK(group.at(lost).raft().IsEmpty());
  CHECK(group.at(other).state().declarations().revision() == 3);
  group.Start(leader);
  CHECK(AwaitComplete(group));
  CHECK(AllHaveRevision(group, 3));
  CHECK(group.violations().empty());
}

TEST_CASE("a second host may fail right after a lost disk was replaced",
          "[consensus]") {
  for (const bool for_good : {false, true}) {
    CAPTURE(for_good);
    ControlGroup group(3, 13, UseSmallLogs);
    const std::size_t leader = group.AwaitLeader();
    MakeChanges(group, 0, 60);
    REQUIRE(AwaitComplete(group));
    const std::size_t first = (leader + 1) % 3;
    const std::size_t second = (leader + 2) % 3;
    group.LoseDisk(first);
    MakeChanges(group, 60, 60);
    group.Start(first);
    REQUIRE(AwaitComplete(group));
    if (for_good) {
      group.LoseDisk(leader);
    } else {
      group.Crash(second);
    }
    MakeChanges(group, 120, 10);
    group.Start(for_good ? leader : second);
    CHECK(AwaitComplete(group));
    CHECK(AllHaveRevision(group, 130));
    CHECK(group.violations().empty());
  }
}

TEST_CASE(
    "a group that lost all disks forms again and accepts restored declarations",
    "[consensus]") {
  for (const std::size_t hosts : {1U, 3U}) {
    ControlGroup group(hosts, 14);
    group.AwaitLeader();
    MakeChanges(group, 0, 2);
    REQUIRE(AllHaveRevision(group, 2));
    group.Run(seconds(2));
    const auto copy = group.at(0).state().declarations().document();
    const FreshnessStamp old = group.stamps().back();
    for (std::size_t i = 0; i < hosts; ++i) group.LoseDisk(i);
    for (std::size_t i = 0; i < hosts; ++i) group.Start(i);
    group.AwaitLeader();
    CHECK(group.at(0).state().declarations().revision() == 0);
    const RestoreDeclarations restore{2, *copy};
    for (int i = 0; i < 2; ++i) {
      CHECK(group.Call(restore).result == CommandResult(ChangeResult{2}));
    }
    MakeChanges(group, 2, 1);
    CHECK(group.Call(RestoreDeclarations{9, {}}).result.error().kind ==
          ErrorKind::kRevisionConflict);
    group.Run(seconds(2));
    CHECK(group.stamps().back().term > old.term);
    CHECK(AllHaveRevision(group, 3));
  }
}

TEST_CASE("a removed host is admitted again when it sends a Hello",
          "[consensus]") {
  ControlGroup group(3, 18);
  const std::size_t leader = group.AwaitLeader();
  REQUIRE(AwaitComplete(group));
  MakeChanges(group, 0, 2);
  const std::size_t gone = (leader + 1) % 3;
  group.Crash(gone);
  const HostId name("control-" + std::to_string(gone));
  group.at(leader).RemoveHost(group.now(), name, 5000);
  REQUIRE(group.RunUntil([&] { return group.Find(5000) != nullptr; }));
  CHECK(group.Find(5000)->result);
  CHECK(group.at(leader).raft().membership().VoterCount() == 2);
  group.Start(gone);
  CHECK(AwaitComplete(group));
  CHECK(AllHaveRevision(group, 2));
}

TEST_CASE("a group of one host grows to three", "[consensus]") {
  // At first its settings do not list the other hosts.
  bool is_alone = true;
  ControlGroup group(3, 19, [&](ControlHostSettings& settings) {
    if (is_alone) settings.control_hosts = {settings.host};
  });
  group.Crash(1);
  group.Crash(2);
  group.LoseDisk(1);
  group.LoseDisk(2);
  group.AwaitLeader();
  MakeChanges(group, 0, 2);
  is_alone = false;
  group.Crash(0);
  for (std::size_t i = 0; i < 3; ++i) group.Start(i);
  CHECK(AwaitComplete(group));
  CHECK(AllHaveRevision(group, 2));
  CHECK(group.violations().empty());
}

// Guards against control hosts that stay out of the group for good after their
// disks were full for a while, until no majority is left.
TEST_CASE("hosts whose disks were full in turn return to the group",
          "[consensus]") {
  for (const bool leader_first : {true, false}) {
    CAPTURE(leader_first);
    ControlGroup group(5, 11);
    group.KeepHostsWithFailedDisks();
    group.AwaitLeader();
    REQUIRE(AwaitComplete(group));
    Revision revision = 0;
    for (std::size_t turn = 0; turn < group.size(); ++turn) {
      const std::size_t leader = group.AwaitLeader();
      const std::size_t host =
          leader_first ? leader : (leader + 1 + turn % 4) % group.size();
      group.files(host).FailAfter(0);
      MakeChanges(group, revision, 3);
      group.Run(seconds(2));
      group.files(host).EndFailure();
      MakeChanges(group, revision + 3, 3);
      revision += 6;
      group.Run(2 * ControlHostSettings().max_reopen_delay);
      CHECK_FALSE(group.at(host).HasFailed());
      CHECK(AwaitComplete(group));
    }
    CHECK(AllHaveRevision(group, revision));
    CHECK(group.violations().empty());
  }
}

// Guards against a host that votes and acknowledges with a folder from which
// durable entries have disappeared.
TEST_CASE("a host whose folder lost synced entries stays out of the group",
          "[consensus]") {
  ControlGroup group(3, 5);
  group.KeepHostsWithFailedDisks();
  const std::size_t host = (group.AwaitLeader() + 1) % group.size();
  REQUIRE(AwaitComplete(group));
  MakeChanges(group, 0, 3);
  REQUIRE(AllHaveRevision(group, 3));
  group.files(host).FailAfter(0);
  MakeChanges(group, 3, 1);
  group.files(host).EndFailure();
  group.files(host).Content("log-000000000001").clear();
  MakeChanges(group, 4, 3);
  group.Run(seconds(5));
  CHECK(group.at(host).HasFailed());
  CHECK(group.violations().empty());
}

// Guards against an election timeout without a leader while the one that cannot
// write any more keeps its followers waiting.
TEST_CASE("a leader whose disk is full hands over at once", "[consensus]") {
  // Followers that get no message wait for one to two election timeouts.
  const Duration hand_over_time = RaftSettings().election_timeout / 2;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    ControlGroup group(3, seed);
    group.KeepHostsWithFailedDisks();
    const std::size_t leader = group.AwaitLeader();
    REQUIRE(AwaitComplete(group));
    group.files(leader).FailAfter(0);
    static_cast<void>(group.Propose(leader, ChangeOf(0, "c", "x", 1)));
    const Instant failed_at = group.now();
    REQUIRE(group.RunUntil([&] {
      const auto next = group.Leader();
      return next && *next != leader;
    }));
    CHECK(group.now() - failed_at <= hand_over_time);
    CHECK_FALSE(group.at(leader).IsLeader());
    CHECK(group.violations().empty());
  }
}

}  // namespace
}  // namespace sapphirebank
