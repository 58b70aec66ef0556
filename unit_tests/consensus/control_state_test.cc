#include "sapphirebank/consensus/control_state.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "unit_tests/consensus/control_group.h"

namespace sapphirebank {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr WallTime kStart{hours(1000)};

AdvanceClock ClockAt(WallTime now) { return {now, hours(24), minutes(10)}; }

// Advances the clock in steps of the permitted size.
void AdvanceTime(ControlState& state, Duration time) {
  const WallTime end = state.claims().now() + time;
  while (state.claims().now() < end) {
    const WallTime next = state.claims().now() + ClaimTable::kMaxClockStep;
    REQUIRE(state.Apply(ClockAt(std::min(next, end))));
  }
}

ClaimState ApplyClaim(ControlState& state, const Claim& claim) {
  return std::get<ClaimResult>(state.Apply(claim).value()).state;
}

// Returns the state as restored from its own snapshot, as after a restart.
ControlState AfterRestart(const ControlState& state) {
  auto restored = ControlState::Restore(state.Snapshot());
  REQUIRE(restored);
  CHECK(restored->Snapshot() == state.Snapshot());
  return std::move(*restored);
}

TEST_CASE("of two changes on the same base revision the first is accepted",
          "[consensus]") {
  ControlState state;
  CHECK(state.Apply(ChangeOf(0, "a", "x", 1)) ==
        CommandResult(ChangeResult{1}));
  const auto second = state.Apply(ChangeOf(0, "b", "x", 2));
  REQUIRE_FALSE(second);
  CHECK(second.error().kind == ErrorKind::kRevisionConflict);
  CHECK_THAT(second.error().detail, Catch::Contains("revision 1"));
  CHECK(*state.declarations().document() == nlohmann::json{{"x", 1}});
}

TEST_CASE("a resent change returns its first result", "[consensus]") {
  ControlState state;
  REQUIRE(state.Apply(ChangeOf(0, "a", "x", 1)));
  REQUIRE_FALSE(state.Apply(ChangeOf(0, "b", "x", 2)));
  REQUIRE(state.Apply(ChangeOf(1, "c", "x", 3)));
  ControlState restarted = AfterRestart(state);
  for (ControlState* each : {&state, &restarted}) {
    CHECK(each->Apply(ChangeOf(0, "a", "x", 1)) ==
          CommandResult(ChangeResult{1}));
    CHECK_THAT(each->Apply(ChangeOf(0, "b", "x", 2)).error().detail,
               Catch::Contains("revision 1"));
    CHECK(each->Apply(ChangeOf(2, "a", "x", 4)).error().kind ==
          ErrorKind::kIdempotencyKeyReused);
    CHECK(each->declarations().revision() == 2);
  }
}

TEST_CASE("the results of the last kMaxResults changes are stored",
          "[consensus]") {
  ControlState state;
  const Revision count = DeclarationStore::kMaxResults + 1;
  for (Revision i = 0; i < count; ++i) {
    REQUIRE(state.Apply(ChangeOf(i, "c" + std::to_string(i), "x", i)));
  }
  CHECK_FALSE(state.declarations().HasResult("c0"));
  CHECK(state.Apply(ChangeOf(1, "c1", "x", 1)) ==
        CommandResult(ChangeResult{2}));
  CHECK(state.declarations().revision() == count);
}

TEST_CASE("a patch that does not apply changes nothing", "[consensus]") {
  ControlState state;
  REQUIRE(state.Apply(ChangeOf(0, "a", "x", 1)));
  const char* const patches[] = {
      R"([{"op": "add", "path": "/y", "value": 1}, {"op": "remove", "path": "/z"}])",
      R"([{"op": "test", "path": "/x", "value": 2}])",
      R"([{"op": "boil", "path": "/x"}])",
      R"({"op": "remove"})",
      R"([1])",
      R"(null)",
  };
  for (const char* patch : patches) {
    CAPTURE(patch);
    const auto answer =
        state.Apply(ApplyChange{1, patch, "o", nlohmann::json::parse(patch)});
    REQUIRE_FALSE(answer);
    CHECK(answer.error().kind == ErrorKind::kInvalidDeclaration);
    CHECK(*state.declarations().document() == nlohmann::json{{"x", 1}});
    CHECK(state.declarations().revision() == 1);
  }
}

TEST_CASE("patches lead from an older revision to the one in force",
          "[consensus]") {
  ControlState state;
  nlohmann::json old;
  const Revision last = DeclarationStore::kMaxPatches + 10;
  for (Revision i = 0; i < last; ++i) {
    if (i == last - 7) old = *state.declarations().document();
    REQUIRE(state.Apply(ChangeOf(i, "c" + std::to_string(i), "x", i)));
  }
  const ControlState restarted = AfterRestart(state);
  const auto patches = restarted.declarations().PatchesSince(last - 7);
  REQUIRE(patches);
  REQUIRE(patches->size() == 7);
  for (const DeclarationPatch& patch : *patches) {
    old.patch_inplace(nlohmann::json::from_cbor(patch.patch));
  }
  CHECK(old == *restarted.declarations().document());
  CHECK(restarted.declarations().PatchesSince(last)->empty());
  CHECK(restarted.declarations().PatchesSince(10));
  CHECK_FALSE(restarted.declarations().PatchesSince(9));
  CHECK_FALSE(restarted.declarations().PatchesSince(last + 1));
}

TEST_CASE("a claim is granted to one request only", "[consensus]") {
  struct Row {
    const char* name;
    std::optional<ClaimOutcome> end;  // Outcome of the first run.
    ClaimState same;                  // State for the same request.
    ClaimState other;                 // State for another request.
  };
  const Row rows[] = {
      {"running", std::nullopt, ClaimState::kGranted, ClaimState::kRunning},
      {"answered", ClaimOutcome::kAnswered, ClaimState::kAnswered,
       ClaimState::kAnswered},
      {"too large", ClaimOutcome::kAnswerTooLarge, ClaimState::kAnswerNotKept,
       ClaimState::kAnswerNotKept},
      {"unknown", ClaimOutcome::kUnknown, ClaimState::kUnknown,
       ClaimState::kUnknown},
  };
  const Claim first = ClaimOf("k", "r1");
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ControlState state;
    REQUIRE(state.Apply(ClockAt(kStart)));
    REQUIRE(ApplyClaim(state, first) == ClaimState::kGranted);
    if (row.end) REQUIRE(state.Apply(CompletionOf(first, *row.end, "body")));
    state = AfterRestart(state);
    CHECK(ApplyClaim(state, ClaimOf("k", "r2", "entry-2")) == row.other);
    CHECK(ApplyClaim(state, first) == row.same);
    Claim other_body = ClaimOf("k", "r3");
    other_body.fingerprint = "another";
    CHECK(ApplyClaim(state, other_body) == ClaimState::kFingerprintMismatch);
  }
}

TEST_CASE("a key whose request did not run can be claimed again",
          "[consensus]") {
  ControlState state;
  const Claim first = ClaimOf("k", "r1");
  const Claim second = ClaimOf("k", "r2");
  REQUIRE(ApplyClaim(state, first) == ClaimState::kGranted);
  REQUIRE(state.Apply(CompletionOf(first, ClaimOutcome::kNotRun)));
  CHECK(ApplyClaim(state, second) == ClaimState::kGranted);
  // A late completion by the first holder does not affect the second.
  for (const ClaimOutcome end :
       {ClaimOutcome::kNotRun, ClaimOutcome::kAnswered}) {
    CHECK(state.Apply(CompletionOf(first, end)).error().kind ==
          ErrorKind::kNotFound);
  }
  CHECK(ApplyClaim(state, ClaimOf("k", "r3")) == ClaimState::kRunning);
}

TEST_CASE(
    "a claim whose holder ended is unknown and not granted until it expires",
    "[consensus]") {
  ControlState state;
  REQUIRE(state.Apply(ClockAt(kStart)));
  const Claim first = ClaimOf("k", "r1", "entry-1", 4);
  REQUIRE(ApplyClaim(state, first) == ClaimState::kGranted);
  const Claim other = ClaimOf("k", "r2", "entry-2");
  SECTION("membership reports the end of the incarnation") {
    REQUIRE(state.Apply(ExpireIncarnations{HostId("entry-1"), 4}));
    CHECK(state.Apply(ClaimOf("l", "r9", "entry-1", 4)).error().kind ==
          ErrorKind::kIdempotencyUnavailable);
  }
  SECTION("a newer incarnation of the host makes a claim") {
    CHECK(ApplyClaim(state, ClaimOf("l", "r3", "entry-1", 5)) ==
          ClaimState::kGranted);
  }
  SECTION("the run exceeds its time limit") { AdvanceTime(state, minutes(10)); }
  state = AfterRestart(state);
  CHECK(ApplyClaim(state, other) == ClaimState::kUnknown);
  AdvanceTime(state, hours(24) - minutes(1));
  CHECK(ApplyClaim(state, other) == ClaimState::kUnknown);
  AdvanceTime(state, minutes(1));
  CHECK(ApplyClaim(state, other) == ClaimState::kGranted);
}

TEST_CASE("an outcome is accepted from a holder that was considered ended",
          "[consensus]") {
  ControlState state;
  const Claim first = ClaimOf("k", "r1");
  REQUIRE(ApplyClaim(state, first) == ClaimState::kGranted);
  REQUIRE(state.Apply(ExpireIncarnations{HostId("entry-1"), 1}));
  REQUIRE(state.Apply(CompletionOf(first, ClaimOutcome::kAnswered, "body")));
  CHECK(state.Apply(ClaimOf("k", "r2", "entry-2")) ==
        CommandResult(ClaimResult{ClaimState::kAnswered, "body"}));
}

TEST_CASE("a wrong clock does not expire claims", "[consensus]") {
  ControlState state;
  // Before the first AdvanceClock the age of a claim is unknown.
  const Claim first = ClaimOf("k", "r1");
  REQUIRE(ApplyClaim(state, first) == ClaimState::kGranted);
  REQUIRE(state.Apply(ClockAt(kStart)));
  REQUIRE(state.Apply(CompletionOf(first, ClaimOutcome::kAnswered, "body")));
  REQUIRE(state.Apply(ClockAt(kStart + hours(9000))));
  REQUIRE(state.Apply(ClockAt(WallTime())));
  CHECK(state.claims().now() == kStart + ClaimTable::kMaxClockStep);
  CHECK(ApplyClaim(state, first) == ClaimState::kAnswered);
}

TEST_CASE("decoding malformed commands, messages and states fails",
          "[consensus]") {
  const std::string command = EncodeCommand(ClaimOf("k", "r"));
  const std::string message = EncodePeerMessage(
      {NodeId("a"), NodeId("b"), 3,
       AppendRequest{{4, 2}, {{{5, 3}, EntryKind::kCommand, "x"}}, 4, 9}});
  const std::string state = ControlState().Snapshot();
  CHECK(DecodeCommand(command) == ControlCommand(ClaimOf("k", "r")));
  CHECK(DecodePeerMessage(message));
  Random random(3);
  for (int i = 0; i < 2000; ++i) {
    for (std::string bytes : {command, message, state}) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
      bytes.resize(bytes.size() - random.Below(2));
      static_cast<void>(DecodeCommand(bytes));
      static_cast<void>(DecodePeerMessage(bytes));
      static_cast<void>(ControlState::Restore(bytes));
    }
  }
  CHECK(DecodeCommand("x").error().kind == ErrorKind::kMalformedRequest);
  CHECK(DecodePeerMessage("").error().kind == ErrorKind::kMalformedRequest);
  CHECK(ControlState::Restore("x").error().kind == ErrorKind::kStorageFailed);
}

}  // namespace
}  // namespace sapphirebank
