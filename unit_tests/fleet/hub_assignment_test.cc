#include "sapphirebank/fleet/hub_assignment.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/server_dispatcher.h"
#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

constexpr Instant kStart{std::chrono::seconds(1000)};

std::vector<HubHost> MakeHubs(int zones, int hubs_per_zone) {
  std::vector<HubHost> hubs;
  for (int zone = 0; zone < zones; ++zone) {
    for (int hub = 0; hub < hubs_per_zone; ++hub) {
      hubs.push_back(
          {"10.0." + std::to_string(zone) + "." + std::to_string(hub) + ":7",
           ZoneId("zone-" + std::to_string(zone))});
    }
  }
  return hubs;
}

TEST_CASE("a zone uses as many hubs as its entry hosts require", "[fleet]") {
  const auto hubs = MakeHubs(6, 3);
  const ZoneId zone("zone-2");
  CHECK(ActiveHubs(hubs, zone, 0).size() == 1);
  CHECK(ActiveHubs(hubs, zone, 6 * kMaxEntryHostsPerHub).size() == 1);
  CHECK(ActiveHubs(hubs, zone, 6 * kMaxEntryHostsPerHub + 1).size() == 2);
  CHECK(ActiveHubs(hubs, zone, 422).size() == 3);
  CHECK(ActiveHubs(hubs, zone, 5'000).size() == 3);
  CHECK(ActiveHubs(hubs, ZoneId("elsewhere"), 422).empty());
  CHECK(AssignedHub({}, "entry-1").empty());
}

TEST_CASE("a lost hub's members move to the others, which keep theirs",
          "[fleet]") {
  const auto hubs = ActiveHubs(MakeHubs(6, 3), ZoneId("zone-2"), 422);
  const std::vector<std::string> rest(hubs.begin() + 1, hubs.end());
  std::map<std::string, int> members;
  for (int i = 0; i < 300; ++i) {
    const std::string member = "entry-" + std::to_string(i);
    const std::string hub = AssignedHub(hubs, member);
    ++members[hub];
    if (hub != hubs.front()) CHECK(AssignedHub(rest, member) == hub);
  }
  for (const auto& [hub, count] : members) {
    CHECK(count > 60);
    CHECK(count < 140);
  }
}

// Partitioned load balancing: each hub knows exactly what its own servers have
// in flight, and uses the others only when these are full.
TEST_CASE("the hubs of a zone do not overload each other's servers",
          "[fleet]") {
  constexpr std::size_t kHubs = 3;
  constexpr int kServers = 74;
  constexpr int kSlots = 3;
  const auto hubs = ActiveHubs(MakeHubs(6, 3), ZoneId("zone-0"), 422);
  REQUIRE(hubs.size() == kHubs);
  const auto plan = MakePlan(MakePlanParts());
  FleetRecord record;
  ServerRegistry registry{ServerRegistrySettings()};
  for (int i = 0; i < kServers; ++i) {
    ServerAnnouncement server = MakeServer("s" + std::to_string(i), "zone-0");
    server.endpoint.port = static_cast<std::uint16_t>(1000 + i);
    server.slots = kSlots;
    registry.ApplyHeartbeat(kStart, server, record);
  }
  std::vector<ServerDispatcher> dispatchers;
  for (std::size_t i = 0; i < kHubs; ++i) {
    dispatchers.emplace_back(ServerDispatcherSettings(), ZoneId("zone-0"),
                             Random(i + 1));
    dispatchers.back().SetZoneHubs(hubs, hubs[i]);
  }
  // Half of the zone's slots are in use; requests come to any hub.
  Random random(7);
  std::map<BackendId, int> in_flight;
  int above_slots = 0;
  for (std::uint64_t number = 1; number <= kServers * kSlots / 2; ++number) {
    DispatchQuery query;
    query.service = ServiceId("desk");
    query.zone = ZoneId("zone-0");
    const auto choice = dispatchers[random.Below(kHubs)].Assign(
        kStart, {HostId("entry"), number}, query, registry, {}, *plan);
    REQUIRE(choice);
    CHECK_FALSE(choice->is_busy);
    if (++in_flight[choice->server] > kSlots) ++above_slots;
  }
  CHECK(above_slots == 0);
}

TEST_CASE("hosts leave a partitioned hub in time to apply an accepted plan",
          "[fleet]") {
  // The platform's time from the acknowledgement of a plan until it is in
  // force.
  constexpr Duration kTimeToApply = std::chrono::seconds(2);
  // To connect to another hub, which sends the plan with its first update.
  constexpr Duration kTimeToReconnect = std::chrono::milliseconds(300);
  CHECK(kMaxHubUpdateAge + kReportPeriod + kTimeToReconnect <= kTimeToApply);
}

}  // namespace
}  // namespace sapphirebank
