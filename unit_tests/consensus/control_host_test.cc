#include "sapphirebank/consensus/control_host.h"

#include <catch2/catch.hpp>

#include "unit_tests/consensus/control_group.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a group of one, three or five hosts forms and accepts commands",
          "[consensus]") {
  for (const std::size_t hosts : {1U, 3U, 5U}) {
    CAPTURE(hosts);
    ControlGroup group(hosts, 7);
    group.AwaitLeader();
    MakeChanges(group, 0, 1);
    const Completion claim = group.Call(ClaimOf("k", "r1"));
    CHECK(ClaimStateOf(claim) == ClaimState::kGranted);
    CHECK(AllHaveRevision(group, 1));
    CHECK(AwaitComplete(group));
    CHECK(group.violations().empty());
  }
}

TEST_CASE("a follower rejects a proposal and names the leader", "[consensus]") {
  ControlGroup group(3, 1);
  const std::size_t leader = group.AwaitLeader();
  group.Run(seconds(1));
  const std::size_t other = (leader + 1) % 3;
  const RequestToken token = group.Propose(other, ChangeOf(0, "c", "x", 1));
  group.Run(milliseconds(20));
  const Completion* completion = group.Find(token);
  REQUIRE(completion != nullptr);
  CHECK(completion->result.error().kind == ErrorKind::kNotLeader);
  CHECK(completion->leader == group.at(leader).leader());
}

TEST_CASE("invalid declarations are rejected before they are proposed",
          "[consensus]") {
  ControlGroup group(1, 1, [](ControlHostSettings& settings) {
    settings.validate = [](const nlohmann::json& document) -> Result<void> {
      if (document.contains("x")) return {};
      return Fail(ErrorKind::kInvalidDeclaration, "no x");
    };
  });
  group.AwaitLeader();
  const Completion refused = group.Call(ChangeOf(0, "a", "y", 1));
  REQUIRE_FALSE(refused.result);
  CHECK(refused.result.error().kind == ErrorKind::kInvalidDeclaration);
  CHECK(group.Call(ChangeOf(0, "b", "x", 1)).result);
}

TEST_CASE(
    "claims over a limit are refused and answers over a limit are not stored",
    "[consensus]") {
  ControlGroup group(1, 1, [](ControlHostSettings& settings) {
    settings.max_claims = 2;
    settings.max_answer_bytes = 4;
    settings.max_total_answer_bytes = 6;
  });
  group.AwaitLeader();
  for (const char* key : {"a", "b"}) {
    REQUIRE(ClaimStateOf(group.Call(ClaimOf(key, "r"))) ==
            ClaimState::kGranted);
  }
  const Completion refused = group.Call(ClaimOf("c", "r"));
  CHECK(refused.result.error().kind == ErrorKind::kIdempotencyUnavailable);
  CHECK(ClaimStateOf(group.Call(ClaimOf("a", "s"))) == ClaimState::kRunning);
  // The second answer would exceed the total limit and is not stored.
  for (const char* key : {"a", "b"}) {
    REQUIRE(group
                .Call(CompletionOf(ClaimOf(key, "r"), ClaimOutcome::kAnswered,
                                   std::string(4, 'x')))
                .result);
  }
  CHECK(ClaimStateOf(group.Call(ClaimOf("a", "s"))) == ClaimState::kAnswered);
  CHECK(ClaimStateOf(group.Call(ClaimOf("b", "s"))) ==
        ClaimState::kAnswerNotKept);
  const std::string long_key(1000, 'k');
  CHECK(group.Call(ClaimOf(long_key, "r")).result.error().kind ==
        ErrorKind::kMalformedRequest);
  CHECK(group.Call(AdvanceClock{}).result.error().kind ==
        ErrorKind::kMalformedRequest);
}

TEST_CASE("one of two concurrent changes on the same base revision is accepted",
          "[consensus]") {
  ControlGroup group(3, 5);
  const std::size_t leader = group.AwaitLeader();
  const RequestToken first = group.Propose(leader, ChangeOf(0, "a", "x", 1));
  const RequestToken second = group.Propose(leader, ChangeOf(0, "b", "x", 2));
  REQUIRE(group.RunUntil([&] { return group.Find(second) != nullptr; }));
  CHECK(group.Find(first)->result == CommandResult(ChangeResult{1}));
  const Completion& loser = *group.Find(second);
  CHECK(loser.result.error().kind == ErrorKind::kRevisionConflict);
  CHECK(loser.revision == 1);
}

TEST_CASE("results are available again after a change of leader and a restart",
          "[consensus]") {
  ControlGroup group(3, 6);
  const std::size_t first = group.AwaitLeader();
  const ApplyChange change = ChangeOf(0, "a", "x", 1);
  const Claim claim = ClaimOf("k", "r1");
  REQUIRE(group.Call(change).result);
  REQUIRE(ClaimStateOf(group.Call(claim)) == ClaimState::kGranted);
  group.Crash(first);
  const std::size_t second = group.AwaitLeader();
  REQUIRE(second != first);
  CHECK(group.Call(change).result == CommandResult(ChangeResult{1}));
  CHECK(ClaimStateOf(group.Call(claim)) == ClaimState::kGranted);
  CHECK(ClaimStateOf(group.Call(ClaimOf("k", "r2"))) == ClaimState::kRunning);
  REQUIRE(
      group.Call(CompletionOf(claim, ClaimOutcome::kAnswered, "body")).result);
  // Restart all hosts.
  group.Start(first);
  for (std::size_t i = 0; i < 3; ++i) group.Crash(i);
  for (std::size_t i = 0; i < 3; ++i) group.Start(i);
  CHECK(group.Call(change).result == CommandResult(ChangeResult{1}));
  CHECK(group.Call(ClaimOf("k", "r3")).result ==
        CommandResult(ClaimResult{ClaimState::kAnswered, "body"}));
  CHECK(group.violations().empty());
}

TEST_CASE(
    "a leader without contact to a majority completes neither reads nor "
    "changes",
    "[consensus]") {
  struct Row {
    const char* name;
    bool receives;
    bool is_received;
  };
  const Row rows[] = {{"cut off in both directions", false, false},
                      {"receives only", true, false},
                      {"sends only", false, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ControlGroup group(3, 8);
    const std::size_t old = group.AwaitLeader();
    MakeChanges(group, 0, 1);
    REQUIRE(AwaitComplete(group));
    for (std::size_t i = 0; i < 3; ++i) {
      if (!row.receives) group.BlockLink(i, old);
      if (!row.is_received) group.BlockLink(old, i);
    }
    group.Run(milliseconds(20));
    const std::size_t stamps = group.stamps().size();
    const RequestToken read = group.Read(old);
    const RequestToken change = group.Propose(old, ChangeOf(1, "lost", "x", 9));
    REQUIRE(group.RunUntil([&] {
      return group.Find(read) != nullptr && group.Find(change) != nullptr;
    }));
    CHECK(group.Find(read)->result.error().kind == ErrorKind::kNoQuorum);
    CHECK(group.Find(change)->result.error().kind == ErrorKind::kNoQuorum);
    CHECK(group.stamps().size() == stamps);
    // The others elect a leader, and the old one does not depose it.
    const std::size_t leader = group.AwaitLeader();
    REQUIRE(leader != old);
    const Term term = group.at(leader).raft().term();
    group.Run(seconds(20));
    CHECK(group.at(leader).IsLeader());
    CHECK(group.at(leader).raft().term() == term);
    group.Heal();
    group.Run(seconds(5));
    CHECK(group.at(leader).raft().term() == term);
    CHECK_FALSE(group.at(old).IsLeader());
    CHECK(group.violations().empty());
  }
}

TEST_CASE("a follower that receives nothing does not depose the leader",
          "[consensus]") {
  ControlGroup group(3, 9);
  const std::size_t leader = group.AwaitLeader();
  REQUIRE(AwaitComplete(group));
  const Term term = group.at(leader).raft().term();
  const std::size_t follower = (leader + 1) % 3;
  group.BlockLink(leader, follower);
  group.Run(seconds(30));
  CHECK(group.at(leader).IsLeader());
  CHECK(group.at(leader).raft().term() == term);
  group.Heal();
  group.Run(seconds(5));
  CHECK(group.at(leader).raft().term() == term);
}

TEST_CASE("leadership is transferred without an election timeout",
          "[consensus]") {
  ControlGroup group(3, 15);
  const std::size_t old = group.AwaitLeader();
  REQUIRE(AwaitComplete(group));
  group.Run(milliseconds(200));
  group.at(old).TransferLeadership(group.now());
  group.Run(milliseconds(200));
  const auto leader = group.Leader();
  REQUIRE(leader);
  CHECK(*leader != old);
  MakeChanges(group, 0, 1);
}

TEST_CASE("freshness stamps increase while a majority follows the leader",
          "[consensus]") {
  ControlGroup group(3, 16);
  group.AwaitLeader();
  MakeChanges(group, 0, 1);
  const std::size_t before = group.stamps().size();
  group.Run(seconds(10));
  group.Crash(*group.Leader());
  group.AwaitLeader();
  group.Run(seconds(10));
  const auto& stamps = group.stamps();
  CHECK(stamps.size() >= before + 18);
  for (std::size_t i = 1; i < stamps.size(); ++i) {
    const FreshnessStamp& a = stamps[i - 1];
    const FreshnessStamp& b = stamps[i];
    CHECK(std::pair(a.term, a.counter) < std::pair(b.term, b.counter));
    CHECK(a.revision <= b.revision);
    CHECK(a.issued_at < b.issued_at);
  }
}

TEST_CASE("a host with a failed disk acknowledges nothing", "[consensus]") {
  ControlGroup group(1, 17);
  group.AwaitLeader();
  MakeChanges(group, 0, 1);
  group.files(0).FailAfter(0);
  ControlHost& host = group.at(0);
  host.Propose(group.now(), ChangeOf(1, "lost", "x", 1), 1000);
  const ControlEffects effects = host.Flush(group.now());
  REQUIRE(effects.failure);
  CHECK(effects.failure->kind == ErrorKind::kStorageFailed);
  CHECK(effects.messages.empty());
  REQUIRE(effects.completions.size() == 1);
  CHECK(effects.completions[0].result.error().kind ==
        ErrorKind::kStorageFailed);
  group.files(0).FailAfter(MemoryFileSystem::kNever);
  host.Read(group.now(), 1001);
  const ControlEffects later = host.Flush(group.now());
  REQUIRE(later.completions.size() == 1);
  CHECK(later.completions[0].result.error().kind == ErrorKind::kStorageFailed);
}

}  // namespace
}  // namespace sapphirebank
