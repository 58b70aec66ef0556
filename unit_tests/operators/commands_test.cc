#include <catch2/catch.hpp>
#include <sstream>
#include <string>

#include "sapphirebank/config/declarations_document.h"
#include "sapphirebank/consensus/declaration_store.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/operators/change_commands.h"
#include "sapphirebank/operators/generated_key.h"
#include "sapphirebank/operators/report_commands.h"
#include "sapphirebank/operators/sheet_commands.h"
#include "sapphirebank/operators/text_table.h"
#include "unit_tests/config/config_test_support.h"

namespace sapphirebank {
namespace {

const ZoneId kKochi("kochi");
const WallTime kNow(std::chrono::seconds(1796342400));

// Stands in for the control hosts: applies changes to a local declaration store
// and can lose responses.
class FakeApi : public OperatorApi {
 public:
  Result<DocumentAtRevision> Declarations() override {
    return DocumentAtRevision{store.revision(), *store.document()};
  }
  Result<ChangeResult> Apply(const ApplyChange& change) override {
    if (before_apply) before_apply();
    auto result = store.Apply(change);
    if (lost_responses-- > 0) return Fail(ErrorKind::kNoQuorum, "lost");
    return result;
  }
  Result<FleetStatus> Status() override { return status; }
  Result<std::vector<BackendStatus>> Backends() override { return backends; }
  Result<DayReport> Totals(const std::string& day) override {
    return DayReport{day, 0, {}};
  }

  DeclarationStore store;
  FleetStatus status;
  std::vector<BackendStatus> backends;
  std::function<void()> before_apply;
  int lost_responses = 0;
};

// Captures the output of a command.
struct Console {
  std::ostringstream out;
  std::ostringstream progress;

  CommandOutput Output(bool json = false) { return {out, progress, json}; }
};

// Returns an API with SmallDeclarations in force as revision 1.
FakeApi ApiWithExample() {
  FakeApi api;
  Console console;
  const auto change =
      PrepareChange(api, SmallDeclarations(), 0, "first", console.Output());
  REQUIRE(change);
  REQUIRE(SendChange(api, **change, console.Output()));
  return api;
}

Declarations InForce(FakeApi& api) {
  return ReadDeclarations(api).value().declarations;
}

bool ZoneInService(FakeApi& api) { return InForce(api).zones[0].in_service; }

TEST_CASE("applying the declarations in force changes nothing", "[operators]") {
  FakeApi api = ApiWithExample();
  Console console;
  const auto change =
      PrepareChange(api, SmallDeclarations(), {}, "again", console.Output());
  REQUIRE(change);
  CHECK_FALSE(*change);
  CHECK(api.store.revision() == 1);
  CHECK_THAT(console.out.str(), Catch::Contains("revision 1 is in force"));
  CHECK(DiffWithFleet(api, SmallDeclarations(), console.Output()) ==
        ExitCode::kDone);
}

TEST_CASE("a base revision that is not in force is refused with the difference",
          "[operators]") {
  FakeApi api = ApiWithExample();
  Console console;
  Declarations wanted = SmallDeclarations();
  wanted.workspaces[0].rate = 25;
  const auto change = PrepareChange(api, wanted, 7, "c", console.Output());
  REQUIRE_FALSE(change);
  CHECK(ExitCodeFor(change.error().kind) == ExitCode::kConflict);
  CHECK_THAT(change.error().detail,
             Catch::Contains("revision 1 is in force, not 7") &&
                 Catch::Contains("rate: 20/s -> 25/s"));
  CHECK(DiffWithFleet(api, wanted, console.Output()) == ExitCode::kDifferent);
}

TEST_CASE("a change whose response was lost is applied once when sent again",
          "[operators]") {
  FakeApi api = ApiWithExample();
  Console console;
  Declarations wanted = SmallDeclarations();
  wanted.workspaces[0].rate = 25;
  const auto change = PrepareChange(api, wanted, {}, "c", console.Output());
  REQUIRE(change);
  api.lost_responses = 1;
  const auto lost = SendChange(api, **change, console.Output());
  REQUIRE_FALSE(lost);
  CHECK(ExitCodeFor(lost.error().kind) == ExitCode::kNoAnswer);
  CHECK_THAT(console.progress.str(), Catch::Contains("again is safe"));
  const auto kept = ChangeFromBody(ChangeBody(**change).dump());
  REQUIRE(kept);
  CHECK(SendChange(api, *kept, console.Output()) == ExitCode::kDone);
  CHECK(api.store.revision() == 2);
  CHECK(InForce(api) == wanted);
}

TEST_CASE("an edit is retried, a limited number of times, after a conflict",
          "[operators]") {
  FakeApi api = ApiWithExample();
  Console console;
  int conflicts_left = 2;
  api.before_apply = [&] {
    if (conflicts_left-- <= 0) return;
    const auto patch =
        nlohmann::json::array({{{"op", "replace"},
                                {"path", "/workspaces/panchayat-north/burst"},
                                {"value", 60 + conflicts_left}}});
    REQUIRE(api.store.Apply({api.store.revision(),
                             "other" + std::to_string(conflicts_left), "x",
                             patch}));
  };
  CHECK(ChangeZoneState(api, kKochi, false, kNow, "z", console.Output()) ==
        ExitCode::kDone);
  CHECK(api.store.revision() == 4);
  CHECK_FALSE(ZoneInService(api));
  CHECK(InForce(api).workspaces[0].burst == 60);
  conflicts_left = 100;
  const auto failed =
      ChangeZoneState(api, kKochi, true, kNow, "y", console.Output());
  REQUIRE_FALSE(failed);
  CHECK(failed.error().kind == ErrorKind::kRevisionConflict);
  CHECK_FALSE(ZoneInService(api));
}

TEST_CASE("keys are granted and withdrawn by id", "[operators]") {
  FakeApi api = ApiWithExample();
  Console console;
  const KeyDeclaration key{"k", WorkspaceId("panchayat-north"),
                           std::string(64, 'a')};
  CHECK(GrantKey(api, key, "g1", console.Output()) == ExitCode::kDone);
  CHECK(GrantKey(api, key, "g2", console.Output()) == ExitCode::kDone);
  CHECK(api.store.revision() == 2);
  KeyDeclaration other = key;
  other.sha256 = std::string(64, 'b');
  CHECK(GrantKey(api, other, "g3", console.Output()).error().kind ==
        ErrorKind::kInvalidDeclaration);
  other = {"k2", WorkspaceId("nobody"), std::string(64, 'c')};
  CHECK_THAT(GrantKey(api, other, "g4", console.Output()).error().detail,
             Catch::Contains("/keys/k2/workspace: names \"nobody\""));
  CHECK(WithdrawKey(api, "k", "w1", console.Output()) == ExitCode::kDone);
  CHECK(InForce(api) == SmallDeclarations());
  CHECK(WithdrawKey(api, "k", "w2", console.Output()).error().kind ==
        ErrorKind::kNotFound);
  CHECK(ChangeZoneState(api, ZoneId("x"), true, kNow, "z", console.Output())
            .error()
            .kind == ErrorKind::kNotFound);
}

TEST_CASE("a sheet is applied completely, or not at all if a row is invalid",
          "[operators]") {
  FakeApi api = ApiWithExample();
  Console console;
  const std::string text = ReadRepositoryFile("examples/sheet.csv");
  CHECK(DiffSheet(api, {text, "s"}, console.Output()) == ExitCode::kDifferent);
  CHECK(api.store.revision() == 1);
  const std::string faulty = text + "zone,nowhere,,,,,,,,in\r\n";
  const auto refused = ApplySheet(api, {faulty, "s"}, "c1", console.Output());
  REQUIRE_FALSE(refused);
  CHECK(ExitCodeFor(refused.error().kind) == ExitCode::kInvalid);
  CHECK(InForce(api) == SmallDeclarations());
  CHECK(ApplySheet(api, {text, "s"}, "c2", console.Output()) ==
        ExitCode::kDone);
  CHECK(api.store.revision() == 2);
  Console exported;
  CHECK(PrintSheet(api, 19800, exported.Output()) == ExitCode::kDone);
  CHECK(exported.out.str() == text);
}

TEST_CASE("a sheet does not overwrite a concurrent change", "[operators]") {
  FakeApi api = ApiWithExample();
  Console console;
  api.before_apply = [&] {
    api.before_apply = nullptr;
    REQUIRE(WithdrawKey(api, "north-2026", "w", console.Output()));
  };
  const std::string text = ReadRepositoryFile("examples/sheet.csv");
  const auto refused = ApplySheet(api, {text, "s"}, "c", console.Output());
  REQUIRE_FALSE(refused);
  CHECK(refused.error().kind == ErrorKind::kRevisionConflict);
  CHECK(InForce(api).keys.size() == 1);
}

TEST_CASE("of concurrent changes on the same revision only one is applied",
          "[operators]") {
  Random random(9);
  for (int round = 0; round < 100; ++round) {
    FakeApi api = ApiWithExample();
    Console console;
    std::vector<ApplyChange> changes;
    for (int i = 0; i < 4; ++i) {
      Declarations wanted = SmallDeclarations();
      wanted.workspaces[0].burst = 100 + i;
      changes.push_back(
          *PrepareChange(api, wanted, {}, std::to_string(i), console.Output())
               .value());
    }
    std::vector<std::optional<Revision>> applied(changes.size());
    for (int send = 0; send < 20; ++send) {
      const std::size_t i = random.Below(changes.size());
      api.lost_responses = random.Chance(0.3) ? 1 : 0;
      const auto result = api.Apply(changes[i]);
      if (result) applied[i] = result->revision;
      if (!result && result.error().kind == ErrorKind::kRevisionConflict) {
        CHECK_FALSE(applied[i]);
      }
    }
    CHECK(api.store.revision() == 2);
    CHECK(std::count_if(applied.begin(), applied.end(),
                        [](const auto& w) { return w.has_value(); }) <= 1);
  }
}

TEST_CASE("status prints how many hosts have the revision in force",
          "[operators]") {
  FakeApi api;
  api.status = {4,
                HostId("control-1"),
                2,
                {{HostId("entry-1"), "entry", kKochi, "alive", 4},
                 {HostId("entry-2"), "entry", kKochi, "alive", 3}},
                {{"rate:1", HostId("entry-1"), 9}}};
  Console console;
  CHECK(PrintStatus(api, console.Output()) == ExitCode::kDone);
  CHECK_THAT(console.out.str(),
             Catch::Contains("revision 4 is in force on 1 of 2 hosts\n"
                             "leader control-1, term 2") &&
                 Catch::Contains("rate:1"));
  Console json;
  CHECK(PrintStatus(api, json.Output(true)) == ExitCode::kDone);
  CHECK(nlohmann::json::parse(json.out.str()).get<FleetStatus>() == api.status);
}

TEST_CASE("long cells are truncated so that a table fits 80 columns",
          "[operators]") {
  const std::string table = FormatTable(
      {"A", "B", "C"},
      {{std::string(70, 'x'), std::string(70, 'y'), "c"}, {"1", "2", "3"}});
  std::istringstream lines(table);
  std::string line;
  int count = 0;
  while (std::getline(lines, line)) {
    ++count;
    CHECK(line.size() <= kTableWidth);
  }
  CHECK(count == 3);
  CHECK_THAT(table, Catch::Contains("xxx~  y"));
  CHECK(FormatTable({"HOST", "Z"}, {{"e", "k"}}) == "HOST  Z\ne     k\n");
}

TEST_CASE("explain prints the log lines of a request in chronological order",
          "[operators]") {
  std::istringstream log(
      "{\"time\":\"t2\",\"host\":\"b\",\"event\":\"answered\","
      "\"request_id\":\"r1\"}\n"
      "not a line\n"
      "{\"time\":\"t1\",\"host\":\"a\",\"event\":\"placed\","
      "\"request_id\":\"r1\",\"reason\":\"own slot\",\"candidates\":[\"b1\"]}\n"
      "{\"time\":\"t0\",\"host\":\"a\",\"event\":\"placed\","
      "\"request_id\":\"r2\"}\n");
  Console console;
  CHECK(ExplainRequest(log, RequestId("r1"), console.Output()) ==
        ExitCode::kDone);
  CHECK(console.out.str() ==
        "t1 a placed\n    candidates: [\"b1\"]\n    reason: own slot\n"
        "t2 b answered\n");
  CHECK(console.progress.str() ==
        "skipped 1 lines that are not JSON objects\n");
  std::istringstream empty("");
  CHECK(ExplainRequest(empty, RequestId("r1"), console.Output()).error().kind ==
        ErrorKind::kNotFound);
}

TEST_CASE("a generated key has 256 random bits and a digest", "[operators]") {
  const auto first = GenerateKey(SystemSecureRandom());
  const auto second = GenerateKey(SystemSecureRandom());
  REQUIRE(first);
  REQUIRE(second);
  CHECK(first->key.size() == 4 + 64);
  CHECK(first->key != second->key);
  CHECK(first->sha256 != second->sha256);
  CHECK(first->sha256.size() == 64);
  CHECK_FALSE(GenerateKey([](std::span<unsigned char>) { return false; }));
}

TEST_CASE("check counts the entries of each section of a file", "[operators]") {
  Console console;
  const std::string text = ReadRepositoryFile("examples/declarations.jsonc");
  CHECK(CheckFile(text, "f", console.Output(true)) == ExitCode::kDone);
  CHECK(nlohmann::json::parse(console.out.str()).at("routes") == 4);
  const auto faulty = CheckFile("{\"zonez\": {}}", "f", console.Output());
  REQUIRE_FALSE(faulty);
  CHECK(ExitCodeFor(faulty.error().kind) == ExitCode::kInvalid);
}

}  // namespace
}  // namespace sapphirebank
