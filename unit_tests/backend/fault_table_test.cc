#include <catch2/catch.hpp>
#include <string>

#include "unit_tests/backend/fault_script.h"

namespace sapphirebank::fake {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 3;
// Largest share of failed requests in a healthy fleet.
constexpr double kBaselineFailureShare = 0.005;

// Expected outcome of one fault.
struct Row {
  std::string_view fault;
  // Time within which the faulty server gets no more requests; zero if it must
  // never be taken out of use.
  Duration out_of_use_within;
  // Largest share of failed requests after the start of the fault.
  double failed_share;
  // Further checks.
  std::function<void(const Fleet&)> check = nullptr;
};

std::size_t CountDecisions(const Fleet& fleet, HealthDecision::Kind kind) {
  return std::count_if(
      fleet.decisions.begin(), fleet.decisions.end(),
      [&](const HealthDecision& decision) { return decision.kind == kind; });
}

std::size_t CountEjections(const Fleet& fleet, bool faulty) {
  return std::count_if(fleet.changes.begin(), fleet.changes.end(),
                       [&](const Change& change) {
                         return change.ejected && change.faulty == faulty;
                       });
}

void CheckEjectionTimesGrow(const Fleet& fleet) {
  std::vector<Duration> lengths;
  Duration began = Duration::zero();
  for (const Change& change : fleet.changes) {
    if (change.ejected) began = change.at;
    if (!change.ejected) lengths.push_back(change.at - began);
  }
  REQUIRE(lengths.size() >= 2);
  for (std::size_t i = 1; i < lengths.size(); ++i) {
    CHECK(lengths[i] >= lengths[i - 1] * 3 / 2);
  }
}

void CheckOwnerChange(const Fleet& fleet) {
  CHECK(CountDecisions(fleet, HealthDecision::Kind::kOwnerSuspected) == 1);
  CHECK(fleet.handovers == 1);
}

void CheckQuarantine(const Fleet& fleet) {
  CHECK(fleet.crashing_request_runs >= 2);
  CHECK(fleet.crashing_request_runs <= 4);
  CHECK(fleet.refused_quarantine > 0);
}

void CheckLimited(const Fleet& fleet) {
  CHECK(CountDecisions(fleet, HealthDecision::Kind::kLimited) > 0);
}

void CheckFaultyServerAvoided(const Fleet& fleet) {
  CHECK(fleet.servers[kFaultyServer].peak_running <= 1);
  CHECK((fleet.StatusOf(kFaultyServer).probe_failed ||
         fleet.StateOf(kFaultyServer) == BackendState::kEjected));
}

const Row kTable[] = {
    {"none", {}, kBaselineFailureShare},
    {"slow_3x", seconds(20), kBaselineFailureShare},
    {"slow_30x", seconds(10), kBaselineFailureShare},
    {"errors_20", seconds(20), 0.01},
    {"hang", seconds(10), 0.01},
    {"health_good", seconds(10), 0.01},
    {"health_bad", {}, kBaselineFailureShare},
    {"flapping", seconds(10), 0.01, CheckEjectionTimesGrow},
    {"one_way_cut", seconds(10), 0.01},
    {"service_slow", {}, kBaselineFailureShare},
    {"owner_is_cause", {}, 0.01, CheckOwnerChange},
    {"cold_again", {}, kBaselineFailureShare},
    {"crashing_request", {}, 0.01, CheckQuarantine},
    {"old_connections_silent", {}, 0.01},
    {"many_bad", seconds(10), 0.15, CheckLimited},
    {"zone_out", {}, 0.15, CheckLimited},
    {"coordinator_lost", seconds(10), kBaselineFailureShare},
    {"few_requests", {}, 0.1},
    {"few_requests_hang", {}, 0.1, CheckFaultyServerAvoided},
    {"few_requests_refused", {}, 0.1, CheckFaultyServerAvoided},
};

const FaultScript& ScriptOf(std::string_view name) {
  for (const FaultScript& script : FaultScripts()) {
    if (script.name == name) return script;
  }
  FAIL("no such fault");
  return FaultScripts().front();
}

TEST_CASE("each injected fault has its expected outcome", "[backend][faults]") {
  for (const Row& row : kTable) {
    const FaultScript& script = ScriptOf(row.fault);
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      INFO("fault " << row.fault << ", seed " << seed);
      FleetSettings settings;
      settings.seed = seed;
      Fleet fleet(settings);
      Install(fleet, script);
      fleet.RunUntil(kFaultStart);
      const auto failed = fleet.failed;
      const auto finished = fleet.finished;
      fleet.RunUntil(kFaultStart + script.length);

      CHECK(fleet.floor_violations == 0);
      CHECK(CountEjections(fleet, false) == 0);
      CHECK(fleet.detected.has_value() ==
            (row.out_of_use_within > Duration::zero()));
      if (fleet.detected) {
        CHECK(*fleet.detected - kFaultStart <= row.out_of_use_within);
      }
      CHECK(static_cast<double>(fleet.failed - failed) <=
            row.failed_share * static_cast<double>(fleet.finished - finished));
      if (row.check) row.check(fleet);
    }
  }
}

TEST_CASE("every fault script has a row of expectations", "[backend][faults]") {
  REQUIRE(std::size(kTable) == FaultScripts().size());
  for (std::size_t i = 0; i < std::size(kTable); ++i) {
    CHECK(kTable[i].fault == FaultScripts()[i].name);
  }
}

TEST_CASE("an owner detects a cold start that was not announced",
          "[backend][faults]") {
  FleetSettings settings;
  Fleet fleet(settings);
  Install(fleet, ScriptOf("cold_again"));
  fleet.RunUntil(kFaultStart);
  REQUIRE(fleet.StateOf(kFaultyServer) == BackendState::kWarm);
  bool was_cold = false;
  for (int i = 1; i <= 50; ++i) {
    fleet.RunUntil(kFaultStart + std::chrono::milliseconds(100 * i));
    was_cold = was_cold || fleet.StateOf(kFaultyServer) == BackendState::kCold;
  }
  CHECK(was_cold);
  fleet.RunUntil(kFaultStart + seconds(120));
  CHECK(fleet.StateOf(kFaultyServer) == BackendState::kWarm);
}

TEST_CASE("ejections end after the coordinator is lost", "[backend][faults]") {
  Fleet fleet{FleetSettings()};
  Install(fleet, ScriptOf("errors_20"));
  fleet.RunUntil(kFaultStart + seconds(20));
  REQUIRE(fleet.detected);
  fleet.StopCoordinator();
  fleet.RunUntil(kFaultStart + seconds(26));
  CHECK(fleet.CountEjected() == 0);
}

TEST_CASE("a new coordinator keeps ejections and the healthy floor",
          "[backend][faults]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    FleetSettings settings;
    settings.seed = seed;
    Fleet fleet(settings);
    Install(fleet, ScriptOf("many_bad"));
    fleet.RunUntil(kFaultStart + seconds(6));
    const std::size_t before = fleet.CountEjected();
    REQUIRE(before > 0);
    // The ejections last for 10 s, longer than both replacements take.
    for (int replaced = 0; replaced < 2; ++replaced) {
      fleet.StartCoordinator();
      fleet.RunUntil(fleet.elapsed() + seconds(2));
      CHECK(fleet.floor_violations == 0);
    }
    CHECK(fleet.CountEjected() == before);
  }
}

}  // namespace
}  // namespace sapphirebank::fake
