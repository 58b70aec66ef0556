#include <catch2/catch.hpp>

#include "unit_tests/backend/fake_fleet.h"

namespace sapphirebank::fake {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 40;
constexpr Duration kLength = seconds(150);

// Injects a random change into the fleet.
void InjectRandomFault(Fleet& fleet) {
  // A calm period follows, in which the floor must hold again.
  const bool calm = fleet.elapsed() % seconds(20) > seconds(5);
  if (calm || !fleet.random.Chance(0.4)) return;
  const std::size_t index = fleet.random.Below(fleet.servers.size());
  Server& server = fleet.servers[index];
  const std::size_t zone = fleet.random.Below(fleet.owner_of.size());
  switch (fleet.random.Below(10)) {
    case 0:
      server.errors = 0.5 - server.errors;
      break;
    case 1:
      server.slow = server.slow > 1 ? 1 : 30;
      break;
    case 2:
      server.hangs = !server.hangs;
      break;
    case 3:
      if (!server.refuses) fleet.Crash(index, seconds(2));
      break;
    case 4:
      server.draining = !server.draining;
      break;
    case 5:
      server.silent = !server.silent;
      break;
    case 6:
      fleet.SetZoneInService(zone, !fleet.declarations.zones[zone].in_service);
      break;
    case 7:
      fleet.HandOver(zone, fleet.random.Chance(0.5));
      break;
    case 8:
      fleet.StartCoordinator();
      break;
    case 9:
      server.cold_answers = 30;
      break;
  }
}

void CheckPlacement(Fleet& fleet, std::size_t index) {
  const Server& server = fleet.servers[index];
  const ServerStatus status = fleet.StatusOf(index);
  REQUIRE(AcceptsRequests(status.state));
  REQUIRE(fleet.declarations.zones[server.zone].in_service);
  REQUIRE(status.taken <= status.slot_limit);
  // The server has not received this request yet.
  REQUIRE(server.running.size() + 1 <= fleet.settings.slots);
}

TEST_CASE("slot limits, states and the healthy floor hold under random faults",
          "[backend][invariants]") {
  std::size_t placed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    FleetSettings settings;
    settings.seed = seed;
    settings.servers = 12;
    settings.requests_per_second = 200;
    settings.deadline = seconds(5);
    Fleet fleet(settings);
    fleet.on_tick = InjectRandomFault;
    fleet.on_place = CheckPlacement;
    fleet.RunUntil(kLength);
    CHECK(fleet.floor_violations == 0);
    placed += fleet.finished;
  }
  CHECK(placed > kSeeds * 1000);
}

}  // namespace
}  // namespace sapphirebank::fake
