#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sapphirebank/fleet/hub_selector.h"

// How an entry host that knows the seeds only finds its hub.
namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Duration kUnknownAge = std::chrono::hours(1);
constexpr int kZones = 6;

std::string HubAddress(int hub) {
  return "10.0.0." + std::to_string(hub) + ":7";
}

ZoneId ZoneOf(int hub) {
  return ZoneId("zone-" + std::to_string(hub % kZones));
}

// Hub i is in zone i mod 6; the first three are the seeds.
std::vector<HubHost> Hubs(int count) {
  std::vector<HubHost> hubs;
  hubs.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) hubs.push_back({HubAddress(i), ZoneOf(i)});
  return hubs;
}

// An entry host that starts, and the control hosts that it probes.
class StartingHost {
 public:
  StartingHost(int zone, int number)
      : selector_(
            HubSelectorSettings(), ZoneOf(zone),
            "entry-" + std::to_string(number),
            [] {
              return std::vector<std::string>{HubAddress(0), HubAddress(1),
                                              HubAddress(2)};
            },
            Random(static_cast<std::uint64_t>(number) + 1)) {}

  // Runs until a hub is chosen, for `limit` at most.
  void Search(Duration limit) {
    for (; now < kStart + limit && selector_.hub().empty();
         now += milliseconds(10)) {
      while (const auto address = selector_.NextProbe(now, kUnknownAge)) {
        ++probes[*address];
        answers_.emplace(
            now + (silent.contains(*address) ? selector_.ProbeTimeout()
                                             : Duration(milliseconds(20))),
            *address);
      }
      while (!answers_.empty() && answers_.begin()->first <= now) {
        const std::string address = answers_.begin()->second;
        answers_.erase(answers_.begin());
        if (silent.contains(address)) {
          selector_.RecordProbeFailure(now, address);
          continue;
        }
        HubState state = {milliseconds(100), false};
        state.is_member = !outside.contains(address);
        state.hubs = listed;
        state.entry_hosts = entry_hosts;
        if (selector_.RecordProbe(now, address, state, kUnknownAge)) return;
      }
    }
  }

  const std::string& hub() const { return selector_.hub(); }

  Instant now = kStart;
  std::vector<HubHost> listed = Hubs(19);
  std::uint32_t entry_hosts = 0;
  std::set<std::string> silent;
  std::set<std::string> outside;  // Control hosts that are not in the group.
  std::map<std::string, int> probes;

 private:
  HubSelector selector_;
  std::multimap<Instant, std::string> answers_;
};

ZoneId ZoneOfAddress(const std::string& address) {
  for (const HubHost& hub : Hubs(19)) {
    if (hub.address == address) return hub.zone;
  }
  return ZoneId();
}

// Guards against a start at which three seeds serve hundreds of hosts, so that
// the one which leads is late for its own elections.
TEST_CASE("hosts that start together spread over the hubs of their zones",
          "[fleet]") {
  constexpr int kHosts = 422;
  std::map<std::string, int> hosts_of_hub;
  for (int i = 0; i < kHosts; ++i) {
    StartingHost host(i % kZones, i);
    host.Search(milliseconds(500));
    REQUIRE(ZoneOfAddress(host.hub()) == ZoneOf(i % kZones));
    ++hosts_of_hub[host.hub()];
    int seed_probes = 0;
    for (int seed = 0; seed < 3; ++seed) {
      seed_probes += host.probes[HubAddress(seed)];
    }
    // The first answer suffices.
    CHECK(seed_probes <= 2);
  }
  CHECK(hosts_of_hub.size() == 19);
  for (const auto& [hub, hosts] : hosts_of_hub) {
    CAPTURE(hub);
    CHECK(hosts <= 2 * kHosts / 19);
  }
}

TEST_CASE("a host is sent to the hub that it belongs to", "[fleet]") {
  StartingHost host(4, 7);
  host.entry_hosts = 422;
  host.Search(seconds(1));
  const auto listed = Hubs(19);
  CHECK(host.hub() ==
        AssignedHub(ActiveHubs(listed, ZoneOf(4), 422), "entry-7"));
}

TEST_CASE("a host whose zone has no hub left takes another one in time",
          "[fleet]") {
  StartingHost host(4, 7);
  for (int hub : {4, 10, 16}) host.silent.insert(HubAddress(hub));
  // Longer than a timeout of a probe and the pause after a search in vain.
  host.Search(milliseconds(1000));
  CHECK_FALSE(host.hub().empty());
}

// Guards against entry hosts that report to a control host which no leader has
// admitted.
TEST_CASE("a control host outside the group is no hub and names those inside",
          "[fleet]") {
  StartingHost host(4, 7);
  for (int seed = 0; seed < 3; ++seed) host.outside.insert(HubAddress(seed));
  host.listed = Hubs(8);
  host.listed.erase(host.listed.begin(), host.listed.begin() + 3);
  host.Search(seconds(1));
  CHECK(std::find(host.listed.begin(), host.listed.end(),
                  HubHost{host.hub(), ZoneOfAddress(host.hub())}) !=
        host.listed.end());
}

TEST_CASE("a host waits while all control hosts are outside the group",
          "[fleet]") {
  StartingHost host(4, 7);
  host.listed.clear();
  for (int seed = 0; seed < 3; ++seed) host.outside.insert(HubAddress(seed));
  host.Search(seconds(5));
  CHECK(host.hub().empty());
}

TEST_CASE("a host finds its hub although two of three seeds are silent",
          "[fleet]") {
  StartingHost host(4, 7);
  host.silent = {HubAddress(0), HubAddress(1)};
  host.Search(seconds(1));
  CHECK(ZoneOfAddress(host.hub()) == ZoneOf(4));
}

}  // namespace
}  // namespace sapphirebank
