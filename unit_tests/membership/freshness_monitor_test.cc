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
// Longer than the maximum report age, so that all witnesses have recovered.
constexpr Duration kSettleTime = seconds(20);

TEST_CASE("hosts keep admitting keys during hours without control",
          "[freshness]") {
  FreshnessFleet fleet(1);
  fleet.Run(kSettleTime);
  fleet.StopControl();
  for (int minute = 0; minute < 180; ++minute) {
    CHECK(fleet.Run(minutes(1)) == 0);
    for (int i = 0; i < kHosts; ++i) CHECK(fleet.Admits(i));
  }
}

TEST_CASE("each fault leaves exactly the expected hosts admitting keys",
          "[freshness]") {
  struct Row {
    const char* fault;
    std::function<void(FreshnessFleet&)> begin;
    std::vector<int> rejecting_hosts;
  };
  const Row rows[] = {
      {"control down", [](auto& fleet) { fleet.StopControl(); }, {}},
      {"one host partitioned", [](auto& fleet) { fleet.Partition({6}); }, {6}},
      {"one witness partitioned",
       [](auto& fleet) { fleet.Partition({2}); },
       {2}},
      {"two witnesses and another host partitioned",
       [](auto& fleet) {
         fleet.Partition({0, 1, 6});
       },
       {0, 1, 6}},
      {"control partitioned",
       [](auto& fleet) { fleet.Partition({kControl}); },
       {}},
      {"control partitioned with a minority",
       [](auto& fleet) {
         fleet.Partition({kControl, 0, 6});
       },
       {}},
      {"one host receives nothing",
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
      const bool rejects = std::count(row.rejecting_hosts.begin(),
                                      row.rejecting_hosts.end(), i) > 0;
      CHECK(fleet.Admits(i) != rejects);
    }
    fleet.HealLinks();
    fleet.RestartControl();
    fleet.Run(kSettleTime);
    for (int i = 0; i < kHosts; ++i) CHECK(fleet.Admits(i));
  }
}

TEST_CASE("a withdrawal is in force only when a majority of witnesses holds it",
          "[freshness]") {
  FreshnessFleet fleet(3);
  fleet.Run(kSettleTime);
  fleet.Partition({kControl, 0, 1, 6});
  const Revision withdrawn = fleet.Withdraw();
  CHECK(fleet.Run(minutes(5)) == 0);
  CHECK_FALSE(fleet.IsInForce(withdrawn));
  // The majority side keeps admitting keys at the revision in force.
  CHECK(fleet.Admits(3));
  CHECK(fleet.RevisionOf(3) < withdrawn);
  CHECK(fleet.RevisionOf(6) == withdrawn);
  fleet.HealLinks();
  CHECK(fleet.Run(kSettleTime) == 0);
  CHECK(fleet.IsInForce(withdrawn));
  CHECK(fleet.RevisionOf(3) == withdrawn);
}

TEST_CASE(
    "a restarted witness that lost a withdrawal lets no host admit the key",
    "[freshness]") {
  FreshnessFleet fleet(4);
  fleet.Run(kSettleTime);
  fleet.Partition({3, 4, 6});
  const Revision withdrawn = fleet.Withdraw();
  fleet.Run(seconds(3));
  REQUIRE(fleet.IsInForce(withdrawn));
  // Witness 2 restarts on the other side of a partition, where no host has the
  // withdrawal.
  fleet.HealLinks();
  fleet.Partition({2, 3, 4, 6});
  fleet.Restart(2);
  CHECK(fleet.Run(minutes(5)) == 0);
  CHECK_FALSE(fleet.Admits(6));
}

TEST_CASE("a report of a witness's previous process does not count for long",
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

TEST_CASE("the in-force tracker lists the witnesses that lack a revision",
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
  // A report of an earlier request does not replace that of a later one.
  tracker.Report(HostId("b"), 6, start + seconds(3));
  CHECK(tracker.LaggingHosts(8, start + seconds(4)).size() == 2);
  CHECK(tracker.LaggingHosts(7, start + seconds(6)) ==
        std::vector{HostId("a"), HostId("c")});
  CHECK(tracker.RevisionInForce(start + seconds(60)) == 7);
}

TEST_CASE(
    "no host admits a withdrawn key after the maximum stamp age in any "
    "schedule",
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
  // Checks that the schedules bring withdrawals into force and keep hosts
  // admitting keys.
  CHECK(in_force > 100);
  CHECK(admitting > 100);
}

TEST_CASE("invalid freshness settings are rejected with the cause",
          "[freshness]") {
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
    const auto created = FreshnessMonitor::Create(settings, Instant());
    INFO(row.cause);
    REQUIRE_FALSE(created);
    CHECK(created.error().detail.find(row.cause) != std::string::npos);
  }
  CHECK_FALSE(InForceTracker::Create({}, seconds(5)));
}

TEST_CASE("freshness messages round-trip and malformed ones are rejected",
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
