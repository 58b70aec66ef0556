#include "sapphirebank/fleet/change_chain.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "unit_tests/fleet/change_chain_simulation.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The limit of an acknowledgement.
constexpr Duration kLimit = seconds(4);

// Simulated time advances by this.
constexpr Duration kStep = milliseconds(10);

TEST_CASE("the limits of all hops fit into that of an acknowledgement",
          "[chain]") {
  for (const Duration plan : {milliseconds(2000), milliseconds(2500)}) {
    ChangeLimits limits;
    limits.plan = limits.departure = plan;
    limits.acknowledgement = kLimit;
    for (const std::size_t hubs : {3U, 5U, 11U, 19U}) {
      CHECK(LongestAcknowledgement(MakeViewLeaseSettings(limits), hubs) <=
            kLimit);
    }
  }
}

TEST_CASE("every hop has a limit and something that enforces it", "[chain]") {
  const auto limits = ChangeHopLimits(ViewLeaseSettings(), 19);
  REQUIRE(limits.size() == 8);
  for (std::size_t i = 0; i < limits.size(); ++i) {
    CHECK(static_cast<std::size_t>(limits[i].hop) == i);
    CHECK(limits[i].limit > Duration::zero());
    CHECK_FALSE(limits[i].enforced_by.empty());
  }
}

void CheckRun(ChainTrouble trouble, std::uint64_t seed) {
  CAPTURE(static_cast<int>(trouble), seed);
  ChainSettings settings;
  settings.trouble = trouble;
  const auto outcome = ChangeChainSimulation(settings, seed).Run();
  CHECK(outcome.changes >= 10);
  CHECK(outcome.answered == outcome.changes);
  CHECK(outcome.overdue == 0);
  CHECK(outcome.longest_order <= kLimit);
  for (const auto& limit : ChangeHopLimits(settings.lease, settings.hubs)) {
    CAPTURE(std::string(limit.name));
    const auto found = outcome.longest_hops.find(limit.hop);
    if (found == outcome.longest_hops.end()) continue;
    CHECK(found->second <= limit.limit + kStep);
  }
}

constexpr ChainTrouble kTroubles[] = {
    ChainTrouble::kNone,         ChainTrouble::kLeaderDisk,
    ChainTrouble::kFollowerDisk, ChainTrouble::kSlowLeader,
    ChainTrouble::kEntryHosts,   ChainTrouble::kLoad,
    ChainTrouble::kLostAnswers};

// Guards against a change that is answered late although each hop is in time.
TEST_CASE("a change is answered in time whatever goes wrong in calm",
          "[chain]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 6));
  for (const ChainTrouble trouble : kTroubles) CheckRun(trouble, seed);
}

// The simulation has to notice a leader that counts from its own election.
TEST_CASE("leases counted from an election break the limit of their hop",
          "[chain]") {
  ChainSettings settings;
  settings.trouble = ChainTrouble::kLeaderDisk;
  settings.uses_former_rounds_end = false;
  const auto limits = ChangeHopLimits(settings.lease, settings.hubs);
  const Duration limit =
      limits[static_cast<std::size_t>(ChangeHop::kFormerLeader)].limit;
  int broken = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const auto outcome = ChangeChainSimulation(settings, seed).Run();
    const auto longest = outcome.longest_hops.find(ChangeHop::kFormerLeader);
    if (longest != outcome.longest_hops.end() &&
        longest->second > limit + kStep) {
      ++broken;
    }
  }
  CHECK(broken > 0);
}

ChangeChainSimulation::Outcome RunDepartures(std::uint64_t seed,
                                             ChainSettings settings = {}) {
  settings.trouble = ChainTrouble::kEnds;
  settings.has_departures = true;
  settings.hosts = 12;
  return ChangeChainSimulation(settings, seed).Run();
}

void CheckDepartures(std::uint64_t seed) {
  CAPTURE(seed);
  ChainSettings settings;
  settings.has_old_host = seed % 4 == 0;
  const auto outcome = RunDepartures(seed, settings);
  CHECK(outcome.arrived > 100);
  CHECK(outcome.answered > 0);
  CHECK(outcome.late == 0);
}

// Guards against requests that reach a server later than the limit after its
// departure was acknowledged, by whatever way, while leaderships, control hosts
// and entry hosts end at any moment.
TEST_CASE("no request reaches a server long after its departure", "[chain]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 31));
  CheckDepartures(seed);
}

// The simulation has to notice the lack of each guard.
TEST_CASE("without one of the guards requests reach servers that left",
          "[chain]") {
  struct Row {
    const char* guard;
    std::function<void(ChainSettings&)> remove;
  };
  const Row rows[] = {
      {"acknowledgements wait for leases",
       [](ChainSettings& s) { s.holds_acknowledgements = false; }},
      {"a departure without a start covers starts that the leader does not "
       "know",
       [](ChainSettings& s) { s.covers_unknown_starts = false; }},
      {"bytes on their way are cut off with the lease",
       [](ChainSettings& s) { s.guards.cuts_with_lease = false; }},
      {"bytes on their way are cut off after a departure",
       [](ChainSettings& s) { s.guards.cuts_after_departure = false; }},
      {"the lease is checked before the first byte, or cuts off what is sent",
       [](ChainSettings& s) {
         s.guards.checks_lease = s.guards.cuts_with_lease = false;
       }},
      {"the server is checked before the first byte, or its departure cuts off "
       "what is sent",
       [](ChainSettings& s) {
         s.guards.checks_server = s.guards.cuts_after_departure = false;
       }},
  };
  for (const Row& row : rows) {
    INFO(row.guard);
    ChainSettings settings;
    row.remove(settings);
    int late = 0;
    for (std::uint64_t seed = 1; seed <= 40 && late == 0; ++seed) {
      late += RunDepartures(seed, settings).late;
    }
    CHECK(late > 0);
  }
}

// The same over many seeds; run by hand: unit_tests "[chain_seeds]".
TEST_CASE("no request reaches a server long after its departure, 1,000 seeds",
          "[.chain_seeds]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 1001));
  CheckDepartures(seed);
}

// The same over many seeds; run by hand: unit_tests "[chain_seeds]".
TEST_CASE("a change is answered in time over 1,000 seeds", "[.chain_seeds]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 1001));
  CheckRun(kTroubles[seed % std::size(kTroubles)], seed);
}

}  // namespace
}  // namespace sapphirebank
