#include "sapphirebank/consensus/log_retention.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "unit_tests/consensus/control_group.h"

namespace sapphirebank {
namespace {

std::vector<LogEntry> EntriesOf(LogIndex count, std::size_t bytes) {
  std::vector<LogEntry> entries;
  for (LogIndex i = 1; i <= count; ++i) {
    entries.push_back({{i, 1}, EntryKind::kCommand, std::string(bytes, 'x')});
  }
  return entries;
}

TEST_CASE("a snapshot leaves as many entries as both limits allow",
          "[consensus]") {
  struct Row {
    LogIndex entries;
    std::size_t entry_bytes;
    std::uint64_t trailing_entries;
    std::size_t trailing_bytes;
    LogIndex kept;
  };
  const std::vector<Row> rows = {{2000, 10, 1024, 1 << 20, 1024},
                                 {2000, 1000, 1024, 16000, 16},
                                 {2000, 1000, 8, 16000, 8},
                                 {10, 1000, 1024, 999, 0},
                                 {10, 1000, 1024, 1000, 1},
                                 {10, 1000, 1024, 1 << 20, 10},
                                 {10, 0, 4, 0, 4},
                                 {0, 0, 4, 100, 0}};
  for (const Row& row : rows) {
    CAPTURE(row.entries, row.entry_bytes, row.trailing_entries,
            row.trailing_bytes);
    RaftLog log({}, EntriesOf(row.entries, row.entry_bytes));
    const LogRetention retention({.trailing_entries = row.trailing_entries,
                                  .trailing_bytes = row.trailing_bytes});
    CHECK(retention.DiscardThrough(log, row.entries) == row.entries - row.kept);
  }
}

TEST_CASE("a snapshot is due by the size of the log and of the last one",
          "[consensus]") {
  LogRetention retention({.snapshot_log_bytes = 100});
  retention.RecordApplied(99);
  CHECK_FALSE(retention.IsSnapshotDue(0));
  retention.RecordApplied(1);
  CHECK(retention.IsSnapshotDue(0));
  CHECK_FALSE(retention.IsSnapshotDue(101));
  retention.RecordSnapshot();
  CHECK_FALSE(retention.IsSnapshotDue(0));
}

// Returns the bytes of the log's files in the folder of `host`.
std::size_t LogFileBytes(ControlGroup& group, std::size_t host) {
  std::size_t bytes = 0;
  const auto names = group.files(host).List();
  for (const std::string& name : *names) {
    if (SegmentLog::IsSegmentName(name)) {
      bytes += group.files(host).Content(name).size();
    }
  }
  return bytes;
}

// Stores `count` plans of `bytes` each with a document of its own.
void StorePlans(ControlGroup& group, PlanVersion from, PlanVersion count,
                std::size_t bytes) {
  for (PlanVersion version = from; version < from + count; ++version) {
    REQUIRE(group.Call(StorePlan{version, std::string(bytes, 'p')}).result);
  }
}

bool AllHavePlan(ControlGroup& group, PlanVersion version) {
  return group.RunUntil([&] {
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (!group.IsUp(i)) continue;
      if (group.at(i).state().fleet().version() != version) return false;
    }
    return true;
  });
}

// Guards against control hosts whose memory grows with each change of a large
// configuration, until the system ends all of them (review/11).
TEST_CASE("the log stays within its bytes while plans of any size come",
          "[consensus]") {
  struct Row {
    std::size_t plan_bytes;
    PlanVersion plans;
    std::size_t trailing_bytes;
  };
  constexpr std::size_t kSnapshotLogBytes = 4000;
  constexpr std::size_t kSegmentBytes = 4000;
  for (const Row& row : std::vector<Row>{{100, 300, 4000},
                                         {1000, 120, 16000},
                                         {3000, 60, 16000},
                                         {3000, 60, 1000},
                                         {12000, 30, 16000}}) {
    CAPTURE(row.plan_bytes, row.trailing_bytes);
    ControlGroup group(3, 21, [&](ControlHostSettings& settings) {
      settings.retention.snapshot_log_bytes = kSnapshotLogBytes;
      settings.retention.trailing_bytes = row.trailing_bytes;
      settings.segment_bytes = kSegmentBytes;
      settings.raft.snapshot_chunk_bytes = 2000;
    });
    const std::size_t leader = group.AwaitLeader();
    REQUIRE(AwaitComplete(group));
    // One host lags, and comes back while the plans go on.
    const std::size_t away = (leader + 1) % group.size();
    StorePlans(group, 1, row.plans / 3, row.plan_bytes);
    group.Crash(away);
    StorePlans(group, 1 + row.plans / 3, row.plans / 3, row.plan_bytes);
    group.Start(away);
    StorePlans(group, 1 + row.plans / 3 * 2, row.plans / 3, row.plan_bytes);
    CHECK(AllHavePlan(group, row.plans / 3 * 3));
    // Framing of an entry, and what is written before a snapshot is due.
    const std::size_t entry_bytes = row.plan_bytes + 200;
    const std::size_t max_log =
        row.trailing_bytes +
        std::max(kSnapshotLogBytes, row.plan_bytes + 2000) + entry_bytes;
    const std::size_t max_files = max_log + kSegmentBytes + 2 * entry_bytes;
    for (std::size_t i = 0; i < group.size(); ++i) {
      CAPTURE(i);
      CHECK(group.at(i).raft().log().bytes() <= max_log);
      CHECK(LogFileBytes(group, i) <= max_files + max_files / 4);
    }
    CHECK(group.violations().empty());
  }
}

// Guards against control hosts that end at each start with a folder that a
// build without the limit has written, so that a roll-out ends the group.
TEST_CASE("a folder with too long a log is read within the limit and cut",
          "[consensus]") {
  std::size_t trailing_bytes = std::size_t{1} << 30U;
  constexpr std::size_t kLimit = 16000;
  constexpr std::size_t kPlanBytes = 1000;
  ControlGroup group(3, 22, [&](ControlHostSettings& settings) {
    settings.retention.snapshot_log_bytes = 4000;
    settings.retention.trailing_bytes = trailing_bytes;
    settings.segment_bytes = 4000;
  });
  group.AwaitLeader();
  REQUIRE(AwaitComplete(group));
  constexpr PlanVersion kPlans = 300;
  StorePlans(group, 1, kPlans, kPlanBytes);
  REQUIRE(AllHavePlan(group, kPlans));
  REQUIRE(group.at(0).raft().log().bytes() > kPlans * kPlanBytes);
  REQUIRE(LogFileBytes(group, 0) > kPlans * kPlanBytes);
  trailing_bytes = kLimit;
  for (std::size_t i = 0; i < group.size(); ++i) group.Crash(i);
  for (std::size_t i = 0; i < group.size(); ++i) {
    CAPTURE(i);
    group.Start(i);
    REQUIRE(group.IsUp(i));
    CHECK(group.at(i).raft().log().bytes() <= kLimit + kPlanBytes);
    CHECK(LogFileBytes(group, i) <= 2 * kLimit);
  }
  group.AwaitLeader();
  CHECK(AllHavePlan(group, kPlans));
  StorePlans(group, kPlans + 1, 10, kPlanBytes);
  CHECK(AllHavePlan(group, kPlans + 10));
  // A second start reads what the first one left.
  for (std::size_t i = 0; i < group.size(); ++i) group.Crash(i);
  for (std::size_t i = 0; i < group.size(); ++i) group.Start(i);
  group.AwaitLeader();
  CHECK(AllHavePlan(group, kPlans + 10));
  CHECK(group.violations().empty());
}

}  // namespace
}  // namespace sapphirebank
