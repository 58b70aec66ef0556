#include "sapphirebank/consensus/log_storage.h"

#include <catch2/catch.hpp>
#include <functional>

#include "unit_tests/consensus/memory_file_system.h"

namespace sapphirebank {
namespace {

const HostId kHost("control-0");
const NodeId kNode("node-0");
constexpr SegmentLogSettings kSmallSegments{300};

// The state that a data folder is expected to hold.
struct ExpectedState {
  HardState hard_state;
  LogPosition snapshot;
  std::vector<LogEntry> entries;  // After the snapshot.

  friend bool operator==(const ExpectedState&, const ExpectedState&) = default;
};

struct Step {
  std::function<Result<void>(LogStorage&)> store;
  std::function<void(ExpectedState&)> expect;
};

LogEntry EntryAt(LogIndex index, Term term) {
  return {{index, term}, EntryKind::kCommand, std::string(20, 'x')};
}

Step AppendStep(LogIndex from, LogIndex to, Term term) {
  std::vector<LogEntry> entries;
  for (LogIndex i = from; i <= to; ++i) entries.push_back(EntryAt(i, term));
  return {[=](LogStorage& storage) { return storage.Append(entries); },
          [=](ExpectedState& model) {
            std::erase_if(model.entries, [&](const LogEntry& entry) {
              return entry.position.index >= from;
            });
            for (const LogEntry& entry : entries) {
              model.entries.push_back(entry);
            }
          }};
}

Step HardStateStep(Term term) {
  const HardState state{term, NodeId("node-1")};
  return {[=](LogStorage& storage) { return storage.SaveHardState(state); },
          [=](ExpectedState& model) { model.hard_state = state; }};
}

Step SnapshotStep(LogPosition last, bool drop_log) {
  return {[=](LogStorage& storage) {
            const Snapshot snapshot{
                last, GroupMembership({{kHost, kNode, true}}),
                std::make_shared<const std::string>(100, 's')};
            return storage.SaveSnapshot(snapshot, drop_log);
          },
          [=](ExpectedState& model) {
            model.snapshot = last;
            std::erase_if(model.entries, [&](const LogEntry& entry) {
              return drop_log || entry.position.index <= last.index;
            });
          }};
}

Step DropStep(LogIndex through) {
  return {[=](LogStorage& storage) { return storage.DropThrough(through); },
          [](ExpectedState&) {}};
}

std::vector<Step> StorageSteps() {
  return {HardStateStep(1),
          AppendStep(1, 3, 1),
          AppendStep(4, 8, 1),
          HardStateStep(2),
          AppendStep(6, 12, 2),  // Replaces 6 to 8.
          AppendStep(13, 20, 2),
          SnapshotStep({11, 2}, false),
          DropStep(9),
          AppendStep(21, 24, 2),
          SnapshotStep(
              {22, 3},
              true),  // Received from a leader; conflicts with the stored log.
          AppendStep(23, 30, 3),
          HardStateStep(4),
          SnapshotStep({30, 3}, false),
          DropStep(30),
          AppendStep(31, 33, 4)};
}

Result<LogStorage> OpenFolder(MemoryFileSystem& files) {
  return LogStorage::Open(files, kHost, kNode, kSmallSegments);
}

ExpectedState TakeRecoveredState(LogStorage& storage) {
  const RaftState state = storage.TakeRecovered();
  ExpectedState model{state.hard_state, state.snapshot.last, state.entries};
  std::erase_if(model.entries, [&](const LogEntry& entry) {
    return entry.position.index <= model.snapshot.index;
  });
  return model;
}

// Runs the steps until one fails. Returns the state that must be recovered, and
// the one that may be recovered instead.
std::pair<ExpectedState, ExpectedState> RunSteps(MemoryFileSystem& files) {
  ExpectedState durable;
  ExpectedState possibly_durable;
  auto storage = OpenFolder(files);
  if (!storage) return {durable, possibly_durable};
  for (const Step& step : StorageSteps()) {
    step.expect(possibly_durable);
    if (!step.store(*storage)) break;
    durable = possibly_durable;
  }
  return {durable, possibly_durable};
}

TEST_CASE("a crash at any write keeps what was durable", "[consensus]") {
  MemoryFileSystem reference;
  RunSteps(reference);
  const std::uint64_t operations = reference.operations();
  REQUIRE(operations > 40);
  for (std::uint64_t at = 0; at <= operations; ++at) {
    for (std::uint64_t seed = 0; seed < 12; ++seed) {
      CAPTURE(at, seed);
      Random random(seed);
      MemoryFileSystem files;
      files.FailAfter(at);
      const auto [durable, possibly_durable] = RunSteps(files);
      files.Crash(random);
      // The next start may crash as well.
      files.FailAfter(seed);
      static_cast<void>(OpenFolder(files));
      files.Crash(random);
      auto storage = OpenFolder(files);
      if (!storage) FAIL(storage.error().detail);
      const ExpectedState recovered = TakeRecoveredState(*storage);
      CHECK((recovered == durable || recovered == possibly_durable));
      CHECK(storage->Append(std::vector{EntryAt(
          recovered.snapshot.index + recovered.entries.size() + 1, 9)}));
    }
  }
}

// Guards against data that a failed sync left in the page cache only and that
// is taken for durable when the folder is opened again.
TEST_CASE("what is read after a failed write or sync survives a crash",
          "[consensus]") {
  MemoryFileSystem reference;
  RunSteps(reference);
  for (std::uint64_t at = 0; at <= reference.operations(); ++at) {
    for (std::uint64_t seed = 0; seed < 12; ++seed) {
      CAPTURE(at, seed);
      Random random(seed);
      MemoryFileSystem files;
      files.FailFor(at, 1);
      RunSteps(files);
      files.EndFailure();
      auto reopened = OpenFolder(files);
      REQUIRE(reopened);
      const ExpectedState read = TakeRecoveredState(*reopened);
      files.Crash(random);
      auto storage = OpenFolder(files);
      if (!storage) FAIL(storage.error().detail);
      CHECK(TakeRecoveredState(*storage) == read);
    }
  }
}

TEST_CASE("a damaged folder is rejected, naming file and offset",
          "[consensus]") {
  struct Row {
    const char* cause;
    std::function<void(MemoryFileSystem&)> damage;
  };
  const auto flip = [](const char* name, std::size_t offset) {
    return
        [=](MemoryFileSystem& files) { files.Content(name).at(offset) ^= 1; };
  };
  const Row rows[] = {
      {"log-000000000001 at offset 0", flip("log-000000000001", 30)},
      {"log-000000000001 at offset 0", flip("log-000000000001", 1)},
      {"log-000000000001 at offset 0", flip("log-000000000001", 5)},
      // Only the last file can be torn.
      {"log-000000000001 at offset",
       [](MemoryFileSystem& files) {
         files.Content("log-000000000001").pop_back();
       }},
      {"are missing",
       [](MemoryFileSystem& files) {
         REQUIRE(files.Remove("log-000000000002"));
       }},
      {"hard-state at offset 0", flip("hard-state", 20)},
      {"snapshot at offset 0", flip("snapshot", 20)},
      {"identity at offset 0", flip("identity", 20)},
      {"hard-state",
       [](MemoryFileSystem& files) { REQUIRE(files.Remove("hard-state")); }},
      {"identity is missing",
       [](MemoryFileSystem& files) { REQUIRE(files.Remove("identity")); }},
      {"cannot read log-000000000002",
       [](MemoryFileSystem& files) { files.FailReadsOf("log-000000000002"); }},
      {"cannot read snapshot",
       [](MemoryFileSystem& files) { files.FailReadsOf("snapshot"); }},
  };
  for (const Row& row : rows) {
    CAPTURE(row.cause);
    MemoryFileSystem files;
    auto storage = OpenFolder(files);
    REQUIRE(storage);
    REQUIRE(SnapshotStep({2, 1}, false).store(*storage));
    for (LogIndex i = 1; i < 20; i += 2) {
      REQUIRE(AppendStep(i, i + 1, 1).store(*storage));
    }
    row.damage(files);
    const auto opened = OpenFolder(files);
    REQUIRE_FALSE(opened);
    CHECK(opened.error().kind == ErrorKind::kStorageFailed);
    CHECK_THAT(opened.error().detail, Catch::Contains(row.cause));
  }
}

TEST_CASE("an incomplete last record is truncated", "[consensus]") {
  MemoryFileSystem files;
  auto storage = OpenFolder(files);
  REQUIRE(AppendStep(1, 2, 1).store(*storage));
  const std::size_t reference = files.Content("log-000000000001").size();
  REQUIRE(AppendStep(3, 4, 1).store(*storage));
  for (std::size_t size = files.Content("log-000000000001").size() - 1;
       size >= reference; --size) {
    files.Content("log-000000000001").resize(size);
    auto opened = OpenFolder(files);
    REQUIRE(opened);
    CHECK(opened->TakeRecovered().entries.size() == 2);
    CHECK(files.Content("log-000000000001").size() == reference);
    files.Content("log-000000000001")
        .resize(size > reference ? size - 1 : reference);
  }
}

TEST_CASE("a data folder is rejected for another host", "[consensus]") {
  MemoryFileSystem files;
  REQUIRE(OpenFolder(files));
  const auto other =
      LogStorage::Open(files, HostId("control-1"), kNode, kSmallSegments);
  REQUIRE_FALSE(other);
  CHECK(other.error().kind == ErrorKind::kInvalidSettings);
  CHECK(OpenFolder(files)->node() == kNode);
}

TEST_CASE(
    "after a failed write every operation fails until the folder is reopened",
    "[consensus]") {
  MemoryFileSystem files;
  auto storage = OpenFolder(files);
  files.FailAfter(0);
  CHECK_FALSE(AppendStep(1, 2, 1).store(*storage));
  files.FailAfter(MemoryFileSystem::kNever);
  CHECK_FALSE(AppendStep(1, 2, 1).store(*storage));
  CHECK_FALSE(storage->SaveHardState({}));
  auto opened = OpenFolder(files);
  REQUIRE(opened);
  CHECK(AppendStep(1, 2, 1).store(*opened));
}

TEST_CASE("large entries of one write are stored in several records",
          "[consensus]") {
  MemoryFileSystem files;
  auto storage = OpenFolder(files);
  REQUIRE(storage);
  constexpr std::size_t kEntryBytes = 700'000;
  std::vector<LogEntry> entries;
  for (LogIndex i = 1; i <= 5; ++i) {
    entries.push_back(
        {{i, 1}, EntryKind::kCommand, std::string(kEntryBytes, 'x')});
  }
  REQUIRE(storage->Append(entries));
  // A file begins with a record, so that each of these has one.
  for (int number = 1; number <= 5; ++number) {
    const std::string name = "log-00000000000" + std::to_string(number);
    CHECK(files.Content(name).size() < 2 * kEntryBytes);
  }
  auto reopened = OpenFolder(files);
  REQUIRE(reopened);
  CHECK(reopened->TakeRecovered().entries == entries);
}

}  // namespace
}  // namespace sapphirebank
