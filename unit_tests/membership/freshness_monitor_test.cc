#include "sapphirebank/membership/freshness_monitor.h"

#include <catch2/catch.hpp>
#include <functional>

#include "unit_tests/membership/freshness_fleet.h"

namespace sapphirebank {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kHosts = FreshnessFleet::kHosts;
constexpr int kControl = FreshnessFleet::kControl;
// Longer than the report time, so that all witnesses recovered.
constexpr Duration kSettleTime = seconds(20);

TEST_CASE("hosts admit keys through hours without control", "[freshness]") {
  FreshnessFleet fleet(1);
  fleet.Run(kSettleTime);
  fleet.StopControl();
  for (int minute = 0; minute < 180; ++minute) {
    CHECK(fleet.Run(minutes(1)) == 0);
    for (int i = 0; i < kHosts; ++i) CHECK(fleet.Admits(i));
  }
}

TEST_CASE("each cut ends in the stated admissions", "[freshness]") {
  struct Row {
    const char* fault;
    std::function<void(FreshnessFleet&)> begin;
    std::vector<int> refusing;
  };
  const Row rows[] = {
      {"control down", [](auto& fleet) { fleet.StopControl(); }, {}},
      {"one host cut off", [](auto& fleet) { fleet.Partition({6}); }, {6}},
      {"one witness cut off", [](auto& fleet) { fleet.Partition({2}); }, {2}},
      {"two witnesses and one other cut off",
       [](auto& fleet) {
         fleet.Partition({0, 1, 6});
       },
       {0, 1, 6}},
      {"control alone", [](auto& fleet) { fleet.Partition({kControl}); }, {}},
      {"control with a minority",
       [](auto& fleet) {
         fleet.Partition({kControl, 0, 6});
       },
       {}},
      {"one host hears nothing",
       [](auto& fleet) {
         for (int i = 0; i <= kControl; ++i) fleet.CutLink(i, 6);
       },
       {6}},
      {"one host sends nothing",
       [](auto& fleet) {
         for (int i = 0; i <= kControl; ++i) fleet.CutLink(6, i);
       },
       {6}},
      {"control down, most witnesses restarted",
       [](auto& fleet) {
         fleet.StopControl();
         for (int i = 0; i < 3; ++i) fleet.Restart(i);
       },
       {0, 1, 2, 3, 4, 5, 6}},
      {"control down, two witnesses restarted",
       [](auto& fleet) {
         fleet.StopControl();
         for (int i = 0; i < 2; ++i) fleet.Restart(i);
       },
       {}},
  };
  for (const Row& row : rows) {
    INFO(row.fault);
    FreshnessFleet fleet(2);
    fleet.Run(kSettleTime);
    row.begin(fleet);
    CHECK(fleet.Run(minutes(2)) == 0);
    for (int i = 0; i < kHosts; ++i) {
      INFO("host " << i);
      const bool refuses =
          std::count(row.refusing.begin(), row.refusing.end(), i) > 0;
      CHECK(fleet.Admits(i) != refuses);
    }
    fleet.HealLinks();
    fleet.RestartControl();
    fleet.Run(kSettleTime);
    for (int i = 0; i < kHosts; ++i) CHECK(fleet.Admits(i));
  }
}

TEST_CASE("a withdrawal is in force only with a majority of witnesses",
          "[freshness]") {
  FreshnessFleet fleet(3);
  fleet.Run(kSettleTime);
  fleet.Partition({kControl, 0, 1, 6});
  const Revision withdrawn = fleet.Withdraw();
  CHECK(fleet.Run(minutes(5)) == 0);
  CHECK_FALSE(fleet.IsInForce(withdrawn));
  // The other side serves on, with what was in force.
  CHECK(fleet.Admits(3));
  CHECK(fleet.RevisionOf(3) < withdrawn);
  CHECK(fleet.RevisionOf(6) == withdrawn);
  fleet.HealLinks();
  CHECK(fleet.Run(kSettleTime) == 0);
  CHECK(fleet.IsInForce(withdrawn));
  CHECK(fleet.RevisionOf(3) == withdrawn);
}

TEST_CASE("a witness that forgot a withdrawal cannot help to miss it",
          "[freshness]") {
  FreshnessFleet fleet(4);
  fleet.Run(kSettleTime);
  fleet.Partition({3, 4, 6});
  const Revision withdrawn = fleet.Withdraw();
  fleet.Run(seconds(3));
  REQUIRE(fleet.IsInForce(withdrawn));
  // Witness 2 restarts on the other side, where nobody knows of it.
  fleet.HealLinks();
  fleet.Partition({2, 3, 4, 6});
  fleet.Restart(2);
  CHECK(fleet.Run(minutes(5)) == 0);
  CHECK_FALSE(fleet.Admits(6));
}

TEST_CASE("a report of an earlier life of a witness stops counting",
          "[freshness]") {
  FreshnessFleet fleet(5);
  fleet.Run(kSettleTime);
  fleet.Partition({kControl, 0});
  const Revision withdrawn = fleet.Withdraw();
  fleet.Run(seconds(3));
  REQUIRE(fleet.RevisionOf(0) == withdrawn);
  fleet.HealLinks();
  fleet.Partition({kControl});
  fleet.Restart(0);
  fleet.Run(minutes(1));
  REQUIRE(fleet.RevisionOf(0) < withdrawn);
  fleet.HealLinks();
  fleet.Partition({kControl, 1, 2});
  CHECK(fleet.Run(minutes(1)) == 0);
  CHECK(fleet.RevisionOf(2) == withdrawn);
  CHECK_FALSE(fleet.IsInForce(withdrawn));
  CHECK(fleet.Admits(6));
}

TEST_CASE("the tracker names the witnesses that lack a revision",
          "[freshness]") {
  auto tracker = *InForceTracker::Create(
      {HostId("a"), HostId("b"), HostId("c")}, seconds(5));
  const Instant start(seconds(100));
  tracker.Report(HostId("a"), 7, start);
  tracker.Report(HostId("x"), 7, start);
  CHECK(tracker.RevisionInForce(start) == 0);
  tracker.Report(HostId("b"), 8, start + seconds(4));
  CHECK(tracker.RevisionInForce(start + seconds(4)) == 7);
  CHECK(tracker.LaggingHosts(8, start + seconds(4)) ==
        std::vector{HostId("a"), HostId("c")});
  // A later report of an earlier question does not replace a newer one.
  tracker.Report(HostId("b"), 6, start + seconds(3));
  CHECK(tracker.LaggingHosts(8, start + seconds(4)).size() == 2);
  CHECK(tracker.LaggingHosts(7, start + seconds(6)) ==
        std::vector{HostId("a"), HostId("c")});
  CHECK(tracker.RevisionInForce(start + seconds(60)) == 7);
}

TEST_CASE("no host admits a withdrawn key later than the bound",
          "[freshness]") {
  int in_force = 0;
  int admitting = 0;
  for (std::uint64_t seed = 0; seed < 150; ++seed) {
    INFO("seed " << seed);
    FreshnessFleet fleet(seed);
    Random& random = fleet.random();
    fleet.Run(kSettleTime);
    Revision last = 0;
    int violations = 0;
    for (int step = 0; step < 60; ++step) {
      const auto host = static_cast<int>(random.Below(kHosts));
      switch (random.Below(12)) {
        case 0:
          fleet.Restart(host);
          break;
        case 1:
          fleet.Suspend(host);
          break;
        case 2:
          for (int i = 0; i < kHosts; ++i) fleet.Resume(i);
          break;
        case 3:
          fleet.StopControl();
          break;
        case 4:
          fleet.RestartControl();
          break;
        case 5: {
          std::vector<int> side;
          for (int i = 0; i <= kControl; ++i) {
            if (random.Chance(0.5)) side.push_back(i);
          }
          fleet.Partition(side);
          break;
        }
        case 6:
          for (int i = 0; i < 20; ++i) {
            fleet.CutLink(static_cast<int>(random.Below(kHosts + 1)),
                          static_cast<int>(random.Below(kHosts + 1)));
          }
          break;
        case 7:
          fleet.set_max_delay(milliseconds(random.Below(4000)));
          break;
        case 8:
        case 9:
          fleet.HealLinks();
          break;
        default:
          last = fleet.Withdraw();
      }
      violations += fleet.Run(milliseconds(random.Below(8000)));
      in_force += fleet.IsInForce(last) ? 1 : 0;
      admitting += fleet.Admits(host) ? 1 : 0;
    }
    CHECK(violations == 0);
  }
  // The schedules do bring withdrawals into force and keep hosts serving.
  CHECK(in_force > 100);
  CHECK(admitting > 100);
}

TEST_CASE("faulty freshness settings are refused by name", "[freshness]") {
  struct Row {
    const char* cause;
    std::function<void(FreshnessSettings&)> fault;
  };
  const Row rows[] = {
      {"host", [](auto& s) { s.self = HostId(); }},
      {"no witnesses", [](auto& s) { s.witnesses.clear(); }},
      {"twice", [](auto& s) { s.witnesses[1] = s.witnesses[0]; }},
      {"query period", [](auto& s) { s.query_period = Duration(); }},
      {"maximum stamp age", [](auto& s) { s.max_stamp_age = seconds(1); }},
      {"maximum report age", [](auto& s) { s.max_report_age = Duration(); }},
  };
  for (const Row& row : rows) {
    FreshnessSettings settings = FreshnessFleet::SettingsOf(0);
    REQUIRE(FreshnessMonitor::Create(settings, Instant()));
    row.fault(settings);
    const auto made = FreshnessMonitor::Create(settings, Instant());
    INFO(row.cause);
    REQUIRE_FALSE(made);
    CHECK(made.error().detail.find(row.cause) != std::string::npos);
  }
  CHECK_FALSE(InForceTracker::Create({}, seconds(5)));
}

TEST_CASE("freshness messages survive their encoding, malformed ones fail",
          "[freshness]") {
  const WitnessQuery query{7, HostId("a")};
  CHECK(WitnessQueryFromJson(WitnessQueryToJson(query)) == query);
  for (const std::optional<RevisionStamp>& stamp :
       {std::optional<RevisionStamp>(), {RevisionStamp{4, seconds(2)}}}) {
    const WitnessResponse response{7, HostId("a"), 9, stamp};
    CHECK(WitnessResponseFromJson(WitnessResponseToJson(response)) == response);
  }
  const char* rows[] = {"7",
                        "[]",
                        "[-1, \"a\"]",
                        "[1, \"\"]",
                        "[1, \"a\", 1]",
                        "[1, \"a\", 1, [1]]",
                        "[1, \"a\", 1, [1, -1]]",
                        "[1, \"a\", 1, [1, 18446744073709551615]]"};
  for (const char* row : rows) {
    INFO(row);
    const auto json = nlohmann::json::parse(row);
    CHECK_FALSE(WitnessQueryFromJson(json));
    CHECK_FALSE(WitnessResponseFromJson(json));
  }
}

}  // namespace
}  // namespace sapphirebank
