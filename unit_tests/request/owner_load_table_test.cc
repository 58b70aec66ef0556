#include "sapphirebank/request/owner_load_table.h"

#include <catch2/catch.hpp>
#include <set>

#include "sapphirebank/request/lookup.h"

namespace sapphirebank {
namespace {

using std::chrono::seconds;

const ServiceId kService("permits");

OwnerLoad Load(const char* host, const char* zone, std::uint32_t free,
               std::uint32_t usable) {
  OwnerLoad load;
  load.host = HostId(host);
  load.service = kService;
  load.zone = ZoneId(zone);
  load.free_slots = free;
  load.usable_slots = usable;
  return load;
}

TEST_CASE("an owner with free slots is chosen, preferably in the same zone",
          "[request]") {
  OwnerLoadTable table({.zone = ZoneId("a")});
  Random random(1);
  const Instant now;
  table.Update(now, Load("near", "a", 1, 4));
  table.Update(now, Load("far", "b", 4, 4));
  CHECK(table.Choose(now, kService, {}, random)->host == HostId("near"));
  // The slot of the first owner counts as taken until its next load.
  CHECK(table.Choose(now, kService, {}, random)->host == HostId("far"));
  const HostId far("far");
  CHECK(table.Choose(now, kService, {&far, 1}, random)->host == HostId("near"));
}

TEST_CASE(
    "outdated loads, owners without usable slots and removed hosts are not "
    "chosen",
    "[request]") {
  OwnerLoadTable table({.zone = ZoneId("a")});
  Random random(1);
  const Instant now;
  table.Update(now, Load("idle", "a", 0, 0));
  CHECK_FALSE(table.Choose(now, kService, {}, random));
  table.Update(now, Load("gone", "b", 4, 4));
  CHECK_FALSE(table.Choose(now + seconds(4), kService, {}, random));
  table.ForgetHost(HostId("gone"));
  CHECK_FALSE(table.Choose(now, kService, {}, random));
}

TEST_CASE("a load of a new owner replaces that of the zone's previous owner",
          "[request]") {
  OwnerLoadTable table({.zone = ZoneId("a")});
  const Instant now;
  table.Update(now, Load("old", "a", 4, 4));
  table.Update(now, Load("new", "a", 4, 4));
  REQUIRE(table.OwnersOf(now, kService).size() == 1);
  CHECK(table.OwnersOf(now, kService).front().host == HostId("new"));
}

TEST_CASE("a lookup returns owners first and alternates between zones",
          "[request]") {
  std::vector<LookupHost> hosts;
  for (int i = 0; i < 12; ++i) {
    const std::string zone = "z" + std::to_string(i % 4);
    hosts.push_back({HostId("h" + std::to_string(i)),
                     ZoneId(zone),
                     {"127.0.0.1", static_cast<std::uint16_t>(i + 1)}});
  }
  const std::vector<OwnerLoad> owners = {Load("h4", "z0", 2, 4),
                                         Load("h5", "z1", 0, 4)};
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    Random random(seed);
    const auto addresses = ChooseAddresses(hosts, owners, 4, random);
    REQUIRE(addresses.size() == 4);
    CHECK(addresses.front().port == 5);
    std::set<int> zones;
    std::set<int> ports;
    for (const Endpoint& address : addresses) {
      zones.insert((address.port - 1) % 4);
      ports.insert(address.port);
    }
    CHECK(zones.size() == 4);
    CHECK(ports.contains(6));
  }
}

}  // namespace
}  // namespace sapphirebank
