#include "sapphirebank/membership/member_table.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

using std::chrono::seconds;

const HostId kSubject("s");
const SuspicionLimits kLimits = {seconds(2), seconds(12), 3};

MemberUpdate Update(MemberState state, Incarnation incarnation,
                    const char* text = "") {
  MemberUpdate update;
  update.state = state;
  update.id = kSubject;
  update.incarnation = incarnation;
  if (state == MemberState::kAlive) {
    update.details = {7, ZoneId("z"), "a", text};
  } else {
    update.reporter = HostId(text);
  }
  return update;
}

MemberTable MakeTable() { return *MemberTable::Create(); }

TEST_CASE("each pair of updates leaves the member in the expected state",
          "[membership]") {
  using S = MemberState;
  struct Row {
    MemberUpdate first;
    MemberUpdate second;
    UpdateOutcome outcome;
    MemberState state;
  };
  const auto applied = UpdateOutcome::kApplied;
  const auto stale = UpdateOutcome::kStale;
  const auto no_change = UpdateOutcome::kNoChange;
  const Row rows[] = {
      {Update(S::kAlive, 5), Update(S::kAlive, 5), no_change, S::kAlive},
      {Update(S::kAlive, 5), Update(S::kAlive, 6), applied, S::kAlive},
      {Update(S::kAlive, 5), Update(S::kAlive, 4), stale, S::kAlive},
      {Update(S::kAlive, 5), Update(S::kSuspect, 4), stale, S::kAlive},
      {Update(S::kAlive, 5), Update(S::kSuspect, 5), applied, S::kSuspect},
      {Update(S::kAlive, 5), Update(S::kFailed, 5), applied, S::kSuspect},
      {Update(S::kAlive, 5), Update(S::kLeft, 4), stale, S::kAlive},
      {Update(S::kAlive, 5), Update(S::kLeft, 5), applied, S::kLeft},
      {Update(S::kSuspect, 5), Update(S::kAlive, 5), no_change, S::kSuspect},
      {Update(S::kSuspect, 5), Update(S::kAlive, 6), applied, S::kAlive},
      {Update(S::kSuspect, 5), Update(S::kSuspect, 5), no_change, S::kSuspect},
      {Update(S::kSuspect, 5), Update(S::kSuspect, 6), applied, S::kSuspect},
      {Update(S::kSuspect, 5, "a"), Update(S::kSuspect, 5, "b"), applied,
       S::kSuspect},
      {Update(S::kSuspect, 5, "a"), Update(S::kFailed, 5, "b"), applied,
       S::kSuspect},
      {Update(S::kSuspect, 5), Update(S::kLeft, 5), applied, S::kLeft},
      {Update(S::kLeft, 5), Update(S::kAlive, 5), stale, S::kLeft},
      {Update(S::kLeft, 5), Update(S::kSuspect, 5), no_change, S::kLeft},
      {Update(S::kLeft, 5), Update(S::kAlive, 6), applied, S::kAlive},
  };
  int index = 0;
  for (const Row& row : rows) {
    INFO("row " << index++);
    MemberTable table = MakeTable();
    std::vector<MemberEvent> events;
    table.Apply(Update(S::kAlive, 5), Instant(), kLimits, events);
    table.Apply(row.first, Instant(), kLimits, events);
    const auto outcome = table.Apply(row.second, Instant(), kLimits, events);
    CHECK(outcome == row.outcome);
    CHECK(table.Find(kSubject)->state == row.state);
  }
}

TEST_CASE("updates without details about an unknown member are ignored",
          "[membership]") {
  MemberTable table = MakeTable();
  std::vector<MemberEvent> events;
  for (const auto state :
       {MemberState::kSuspect, MemberState::kFailed, MemberState::kLeft}) {
    table.Apply(Update(state, 9), Instant(), kLimits, events);
  }
  CHECK(table.Find(kSubject) == nullptr);
  CHECK(events.empty());
}

TEST_CASE(
    "details that arrive after a suspicion of their incarnation are applied",
    "[membership]") {
  MemberTable received_suspicion_first = MakeTable();
  MemberTable received_details_first = MakeTable();
  std::vector<MemberEvent> events;
  const auto apply = [&](MemberTable& table, const MemberUpdate& update) {
    table.Apply(update, Instant(), kLimits, events);
  };
  for (MemberTable* table :
       {&received_suspicion_first, &received_details_first}) {
    apply(*table, Update(MemberState::kAlive, 5, "old"));
  }
  apply(received_details_first, Update(MemberState::kAlive, 6, "new"));
  for (MemberTable* table :
       {&received_suspicion_first, &received_details_first}) {
    apply(*table, Update(MemberState::kSuspect, 6, "x"));
  }
  const std::size_t bucket = MemberTable::BucketOf(kSubject);
  CHECK(received_suspicion_first.digests()[bucket] !=
        received_details_first.digests()[bucket]);
  std::vector<MemberUpdate> updates;
  received_details_first.AppendUpdates(kSubject, HostId("e"), updates);
  for (const MemberUpdate& update : updates)
    apply(received_suspicion_first, update);
  CHECK(received_suspicion_first.Find(kSubject)->details.metadata == "new");
  CHECK(received_suspicion_first.Find(kSubject)->state ==
        MemberState::kSuspect);
  CHECK(received_suspicion_first.digests()[bucket] ==
        received_details_first.digests()[bucket]);
}

TEST_CASE("more reporters shorten a suspicion down to its minimum duration",
          "[membership]") {
  const Instant start(seconds(100));
  Suspicion suspicion(start, kLimits, HostId("a"));
  CHECK(suspicion.deadline() == start + seconds(12));
  CHECK_FALSE(suspicion.Confirm(HostId("a")));
  CHECK(suspicion.Confirm(HostId("b")));
  CHECK(suspicion.deadline() == start + seconds(7));
  CHECK(suspicion.Confirm(HostId("c")));
  CHECK(suspicion.Confirm(HostId("d")));
  CHECK(suspicion.deadline() == start + seconds(2));
  CHECK_FALSE(suspicion.Confirm(HostId("e")));
  CHECK(
      Suspicion(start, {seconds(2), seconds(12), 0}, HostId("a")).deadline() ==
      start + seconds(2));
}

TEST_CASE("failed members are removed after their retention time",
          "[membership]") {
  MemberTable table = MakeTable();
  std::vector<MemberEvent> events;
  table.Apply(Update(MemberState::kAlive, 5), Instant(), kLimits, events);
  table.Apply(Update(MemberState::kSuspect, 5), Instant(), kLimits, events);
  std::vector<MemberUpdate> updates;
  table.ExpireSuspicions(Instant(seconds(11)), HostId("e"), updates, events);
  CHECK(updates.empty());
  table.ExpireSuspicions(Instant(seconds(12)), HostId("e"), updates, events);
  REQUIRE(updates.size() == 1);
  CHECK(updates[0].state == MemberState::kFailed);
  CHECK(events.back().kind == MemberEventKind::kFailed);
  table.RemoveDeparted(Instant(seconds(12)), Instant());
  CHECK(table.Find(kSubject) != nullptr);
  table.RemoveDeparted(Instant(seconds(13)), Instant());
  CHECK(table.Find(kSubject) == nullptr);
  CHECK(table.failed().empty());
}

}  // namespace
}  // namespace sapphirebank
