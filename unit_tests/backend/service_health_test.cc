#include "sapphirebank/backend/service_health.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "sapphirebank/core/random.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("permit");
constexpr Fingerprint kCrashingRequest = 7;
constexpr Fingerprint kInnocent = 8;
constexpr std::size_t kZones = 4;
constexpr std::size_t kServersPerZone = 5;

// A coordinator that receives reports from one owner per zone, once a second.
struct Fixture {
  Fixture() : health(Settings(), now) {
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      declarations.zones.push_back({Zone(zone), "kerala", true, {}});
    }
    declarations.services.emplace_back().id = kService;
    health.SetPolicy(declarations);
  }

  static ServiceHealthSettings Settings() {
    ServiceHealthSettings settings;
    settings.host = HostId("h");
    settings.service = kService;
    settings.term = 1;
    return settings;
  }

  static ZoneId Zone(std::size_t zone) {
    return ZoneId("z" + std::to_string(zone));
  }

  static BackendKey Key(std::size_t zone) { return {kService, Zone(zone)}; }

  static BackendId Backend(std::size_t zone, std::size_t index) {
    return BackendId("s" + std::to_string(zone) + std::to_string(index));
  }

  // Runs for `length`. `change` modifies the reported window of a server.
  using Change =
      std::function<void(std::size_t zone, std::size_t index, ServerWindow&)>;
  void Run(Duration length, const Change& change = nullptr) {
    for (Duration t{}; t < length; t += seconds(1)) {
      now += seconds(1);
      ++sequence;
      for (std::size_t zone = 0; zone < kZones; ++zone) Report(zone, change);
      for (const auto& decision : health.Decide(now)) {
        decisions.push_back(decision);
      }
    }
  }

  void Report(std::size_t zone, const Change& change) {
    WindowReport report;
    report.owner = owners[zone];
    report.term = owner_term;
    report.key = Key(zone);
    report.sequence = sequence;
    for (std::size_t i = 0; i < kServersPerZone; ++i) {
      ServerWindow window;
      window.backend = Backend(zone, i);
      window.process_id = "1";
      window.state = BackendState::kWarm;
      window.slots = 3;
      window.successes = answers_per_window;
      for (std::uint32_t n = 0; n < answers_per_window; ++n) {
        window.latency.Add(milliseconds(20));
      }
      if (change) change(zone, i, window);
      report.servers.push_back(window);
    }
    if (zone == 1) report.crashes = crashes;
    REQUIRE(health.AddReport(now, report));
  }

  std::size_t Ejections() const { return health.Floor(now).ejected; }

  Declarations declarations;
  Instant now{seconds(1000)};
  ServiceHealth health;
  std::uint64_t sequence = 0;
  std::vector<CrashReport> crashes;  // Reported for zone 1 each time.
  std::uint32_t answers_per_window = 10;
  Term owner_term = 1;
  std::vector<HostId> owners = {HostId("o0"), HostId("o1"), HostId("o2"),
                                HostId("o3")};
  std::vector<HealthDecision> decisions;
};

// Modifies the reports of one server only.
Fixture::Change OneServer(std::function<void(ServerWindow&)> change) {
  return [change = std::move(change)](std::size_t zone, std::size_t index,
                                      ServerWindow& window) {
    if (zone == 1 && index == 2) change(window);
  };
}

// Modifies the reports of the first `count` servers of each zone except the
// first.
Fixture::Change ManyServers(std::size_t count) {
  return [count](std::size_t zone, std::size_t index, ServerWindow& window) {
    if (zone > 0 && index < count) window.http_errors = 10;
  };
}

TEST_CASE("ejection of a server with few requests needs enough evidence",
          "[backend]") {
  struct Row {
    std::string name;
    std::function<void(ServerWindow&)> first_window;
    std::function<void(ServerWindow&)> later_windows;
    bool ejected;
  };
  const auto nothing = [](ServerWindow&) {};
  const auto bad_probe = [](ServerWindow& w) { w.probes_bad = 1; };
  const auto good_probe = [](ServerWindow& w) { w.probes_good = 1; };
  const auto refused = [](ServerWindow& w) { w.refused = 1; };
  const auto error = [](ServerWindow& w) { w.http_errors = 1; };
  const auto old_timeout = [](ServerWindow& w) { w.timeouts_old = 1; };
  const auto stuck = [](ServerWindow& w) {
    w.in_flight = 1;
    w.overdue_old = 1;
    w.probes_bad = 1;
  };
  const Row rows[] = {
      {"probes alone", nothing, bad_probe, false},
      {"one error", error, nothing, false},
      {"one error and bad probes", error, bad_probe, false},
      {"one refused connection", refused, nothing, false},
      {"one refused connection, good probes", refused, good_probe, false},
      {"one refused connection, bad probes", refused, bad_probe, true},
      {"one time-out on an old connection", old_timeout, nothing, false},
      {"one request that does not end, bad probes", nothing, stuck, true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    Fixture fixture;
    fixture.Run(seconds(10));
    fixture.answers_per_window = 0;
    fixture.Run(seconds(1), OneServer(row.first_window));
    fixture.Run(seconds(5), OneServer(row.later_windows));
    CHECK(fixture.Ejections() == (row.ejected ? 1 : 0));
  }
}

TEST_CASE("a dead server with two requests per hour is ejected", "[backend]") {
  Fixture fixture;
  fixture.Run(seconds(10));
  fixture.answers_per_window = 0;
  std::size_t requests = 0;
  while (fixture.Ejections() == 0 && requests < 10) {
    fixture.Run(seconds(1800));
    ++requests;
    fixture.Run(seconds(1),
                OneServer([](ServerWindow& w) { w.timeouts_fresh = 1; }));
  }
  CHECK(fixture.Ejections() == 1);
  CHECK(requests > 3);
}

TEST_CASE("time-outs on old connections count only with failures on new ones",
          "[backend]") {
  for (const bool with_fresh_timeout : {false, true}) {
    Fixture fixture;
    fixture.Run(seconds(10));
    fixture.Run(seconds(5), OneServer([&](ServerWindow& w) {
                  w.successes = 0;
                  w.timeouts_old = 4;
                  w.timeouts_fresh = with_fresh_timeout ? 1 : 0;
                }));
    CHECK(fixture.Ejections() == (with_fresh_timeout ? 1 : 0));
  }
}

TEST_CASE("no server is ejected when the whole service fails", "[backend]") {
  Fixture fixture;
  fixture.Run(seconds(10));
  fixture.Run(seconds(20),
              [](std::size_t zone, std::size_t index, ServerWindow& w) {
                const bool worst = zone == 1 && index == 2;
                w.http_errors = worst ? 10 : 6;
                w.successes = worst ? 0 : 4;
              });
  CHECK(fixture.Ejections() == 0);
}

TEST_CASE("failures common to a service with few requests cause no ejection",
          "[backend]") {
  Fixture fixture;
  fixture.Run(seconds(10));
  fixture.answers_per_window = 0;
  Random random(1);
  for (int request = 0; request < 2000; ++request) {
    const std::size_t chosen = random.Below(kZones * kServersPerZone);
    const bool failed = random.Chance(0.2);
    fixture.Run(seconds(1),
                [&](std::size_t zone, std::size_t index, ServerWindow& w) {
                  if (zone * kServersPerZone + index != chosen) return;
                  ++(failed ? w.http_errors : w.successes);
                });
  }
  CHECK(fixture.decisions.empty());
}

TEST_CASE("slow answers before a cold start are discarded", "[backend]") {
  for (const bool turns_cold : {false, true}) {
    Fixture fixture;
    fixture.Run(seconds(40));
    const auto slow = [](int count) {
      return OneServer([count](ServerWindow& w) {
        w.latency = LatencySketch();
        w.successes = count;
        for (int i = 0; i < count; ++i) w.latency.Add(milliseconds(100));
      });
    };
    fixture.Run(seconds(1), slow(5));
    fixture.Run(seconds(1), OneServer([&](ServerWindow& w) {
                  w.latency = LatencySketch();
                  w.successes = 0;
                  if (turns_cold) w.state = BackendState::kCold;
                }));
    fixture.Run(seconds(1), slow(2));
    CHECK(fixture.Ejections() == (turns_cold ? 0 : 1));
  }
}

TEST_CASE("crashes count as evidence unless a quarantined request caused them",
          "[backend]") {
  for (const bool same_request : {false, true}) {
    Fixture fixture;
    fixture.Run(seconds(10));
    for (Fingerprint i = 1; i <= 5; ++i) {
      fixture.crashes = {
          {Fixture::Backend(1, 2), {same_request ? kCrashingRequest : i}}};
      fixture.Run(seconds(1),
                  OneServer([](ServerWindow& w) { w.crashes = 1; }));
    }
    CHECK(fixture.Ejections() == (same_request ? 0 : 1));
    CHECK(fixture.decisions.empty() == same_request);
  }
}

TEST_CASE("the healthy floor bounds ejections across the fleet", "[backend]") {
  Fixture fixture;
  fixture.Run(seconds(10));
  fixture.Run(seconds(5), ManyServers(3));
  // 20 servers and a floor of 0.7 allow 6 ejections.
  CHECK(fixture.Ejections() == 6);
  const auto limited =
      std::count_if(fixture.decisions.begin(), fixture.decisions.end(),
                    [](const auto& decision) {
                      return decision.kind == HealthDecision::Kind::kLimited;
                    });
  CHECK(limited == 3);
}

TEST_CASE("a zone out of service reduces the permitted ejections",
          "[backend]") {
  Fixture fixture;
  fixture.Run(seconds(10));
  fixture.Run(seconds(5), ManyServers(2));
  REQUIRE(fixture.Ejections() == 6);
  fixture.declarations.zones[0].in_service = false;
  fixture.health.SetPolicy(fixture.declarations);
  fixture.Run(seconds(1), ManyServers(2));
  CHECK(fixture.Ejections() == 1);
}

TEST_CASE("servers of an owner without recent reports count as out of use",
          "[backend]") {
  Fixture fixture;
  fixture.Run(seconds(10));
  fixture.now += seconds(6);
  ++fixture.sequence;
  fixture.Report(1, ManyServers(5));
  fixture.Report(2, ManyServers(5));
  fixture.health.Decide(fixture.now);
  const FloorStatus floor = fixture.health.Floor(fixture.now);
  CHECK(floor.announced == 20);
  CHECK(floor.out_of_use == 10);
  CHECK(floor.ejected == 0);
}

TEST_CASE("a new coordinator inherits ejections and makes none at first",
          "[backend]") {
  Fixture fixture;
  const auto ejected = [](ServerWindow& w) {
    w.state = BackendState::kEjected;
    w.ejection_left = seconds(30);
    w.ejection_level = 2;
  };
  const auto reports = [&](std::size_t zone, std::size_t index,
                           ServerWindow& window) {
    if (zone == 1 && index == 2) ejected(window);
    if (zone == 2) window.http_errors = index < 2 ? 50 : 0;
  };
  fixture.Run(seconds(4), reports);
  CHECK(fixture.Ejections() == 1);
  const auto verdicts =
      fixture.health.VerdictsFor(fixture.now, Fixture::Key(1));
  REQUIRE(verdicts);
  REQUIRE(verdicts->verdicts.size() == 1);
  CHECK(verdicts->verdicts[0].cause == VerdictCause::kInherited);
  CHECK(verdicts->verdicts[0].level == 2);
  fixture.Run(seconds(2), reports);
  CHECK(fixture.Ejections() == 3);
}

TEST_CASE(
    "a new coordinator keeps ejections until all owners may have reported",
    "[backend]") {
  Fixture fixture;
  const auto ejected = [](std::size_t, std::size_t index, ServerWindow& w) {
    if (index >= 3) return;
    w.state = BackendState::kEjected;
    w.ejection_left = seconds(30);
    w.ejection_level = 1;
  };
  fixture.sequence = 1;
  fixture.now += seconds(1);
  fixture.Report(1, ejected);
  fixture.health.Decide(fixture.now);
  CHECK(fixture.Ejections() == 3);
}

TEST_CASE("reports out of order or for another service are rejected",
          "[backend]") {
  Fixture fixture;
  fixture.Run(seconds(3));
  WindowReport report;
  report.owner = fixture.owners[0];
  report.key = Fixture::Key(0);
  report.term = 1;
  report.sequence = 3;
  CHECK(!fixture.health.AddReport(fixture.now, report));
  report.sequence = 4;
  report.term = 0;
  CHECK(!fixture.health.AddReport(fixture.now, report));
  report.term = 2;
  report.sequence = 1;
  CHECK(fixture.health.AddReport(fixture.now, report));
  report.sequence = 2;
  report.key.service = ServiceId("other");
  CHECK(!fixture.health.AddReport(fixture.now, report));
}

TEST_CASE(
    "servers of a suspected owner are not ejected until another owner agrees",
    "[backend]") {
  Fixture fixture;
  const auto all_bad = [](std::size_t zone, std::size_t, ServerWindow& window) {
    if (zone == 0) window.http_errors = 10;
  };
  fixture.Run(seconds(10));
  fixture.Run(seconds(6), all_bad);
  CHECK(fixture.Ejections() == 0);
  CHECK(fixture.health.VerdictsFor(fixture.now, Fixture::Key(0))
            ->owner_suspected);
  fixture.owners[0] = HostId("other");
  fixture.owner_term = 2;
  fixture.Run(seconds(6), all_bad);
  CHECK(fixture.Ejections() == 5);
}

TEST_CASE("a request that runs during two crashes is quarantined",
          "[backend]") {
  ServiceQuarantine quarantine;
  const Instant now{seconds(1)};
  WindowReport report;
  report.crashes = {{BackendId("a"), {kCrashingRequest, kInnocent}}};
  CHECK(quarantine.AddReport(now, report).empty());
  CHECK(quarantine.Suspects().size() == 2);
  report.crashes.clear();
  report.survived = {kInnocent};
  CHECK(quarantine.AddReport(now, report).empty());
  report.survived.clear();
  report.crashes = {{BackendId("b"), {kCrashingRequest, kInnocent}}};
  const std::vector<BackendId> crashed_servers = {BackendId("a"),
                                                  BackendId("b")};
  CHECK(quarantine.AddReport(now, report) == crashed_servers);
  const auto in_force = quarantine.Quarantined(now);
  REQUIRE(in_force.size() == 1);
  CHECK(in_force[0].fingerprint == kCrashingRequest);
  CHECK(quarantine.Quarantined(now + std::chrono::minutes(10)).empty());
}

TEST_CASE("fingerprints depend on each part of a request", "[backend]") {
  const Fingerprint one = FingerprintOf(kService, "GET", "/a", "d");
  CHECK(one == FingerprintOf(kService, "GET", "/a", "d"));
  CHECK(one != FingerprintOf(ServiceId("x"), "GET", "/a", "d"));
  CHECK(one != FingerprintOf(kService, "PUT", "/a", "d"));
  CHECK(one != FingerprintOf(kService, "GET", "/b", "d"));
  CHECK(one != FingerprintOf(kService, "GET", "/a", "e"));
}

}  // namespace
}  // namespace sapphirebank
