#include "sapphirebank/fleet/detour_hosts.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "unit_tests/fleet/leader_and_relay.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
const ZoneId kZone("kochi");

// Hosts of a zone, of which the first `lost` have lost their path.
std::vector<ReadyHost> MakeHosts(const std::string& zone, int count, int lost) {
  std::vector<ReadyHost> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    hosts.push_back(
        {fmt::format("{}-{}:80", zone, i), ZoneId(zone), i >= lost});
  }
  return hosts;
}

bool IsIn(const std::string& host, const std::string& zone) {
  return host.starts_with(zone + "-");
}

// Guards against bodies that cross zones although a host nearby has a path.
TEST_CASE("detours go to hosts of the same zone that have a path", "[fleet]") {
  std::vector<ReadyHost> hosts = MakeHosts("kochi", 10, 6);
  const auto others = MakeHosts("thrissur", 10, 0);
  hosts.insert(hosts.end(), others.begin(), others.end());
  const auto chosen = ChooseDetourHosts(hosts, hosts.front(), 3);
  REQUIRE(chosen.size() == 3);
  for (const std::string& host : chosen) {
    CHECK(IsIn(host, "kochi"));
    CHECK(std::stoi(host.substr(6)) >= 6);
  }
}

// Guards against a few hosts of a zone that get the requests of all others.
TEST_CASE("the hosts of a zone that is mostly cut off take detours elsewhere",
          "[fleet]") {
  std::vector<ReadyHost> hosts = MakeHosts("kochi", 40, 39);
  const auto others = MakeHosts("thrissur", 40, 0);
  hosts.insert(hosts.end(), others.begin(), others.end());
  std::map<std::string, int> requests;
  for (int i = 0; i < 39; ++i) {
    const ReadyHost& self = hosts[static_cast<std::size_t>(i)];
    ++requests[ChooseDetourHosts(hosts, self, 3).front()];
  }
  for (const auto& [host, count] : requests) {
    INFO(host);
    CHECK(count <= 5);
  }
  CHECK(requests.size() >= 20);
  CHECK(ChooseDetourHosts(MakeHosts("kochi", 4, 4), hosts[0], 3).empty());
}

// Guards against requests that go round between hosts without a path, or run
// twice.
TEST_CASE("a request takes a detour of one hop if it may be sent again",
          "[fleet]") {
  DetourQuery query;
  CHECK_FALSE(TakesDetour(query));
  query.unreachable_attempts = 2;
  CHECK(TakesDetour(query));
  query.unreachable_attempts = 0;
  query.path_is_lost = true;
  CHECK(TakesDetour(query));
  query.detours_tried = kMaxDetours;
  CHECK_FALSE(TakesDetour(query));
  query.detours_tried = 0;
  query.must_not_run_again = true;
  CHECK_FALSE(TakesDetour(query));
  query.must_not_run_again = false;
  query.came_by_detour = true;
  CHECK_FALSE(TakesDetour(query));
}

TEST_CASE("a host that could not help is avoided for a while", "[fleet]") {
  DetourHosts hosts;
  CHECK_FALSE(hosts.HasOne(kStart, {}));
  CHECK(hosts.Take(kStart, {}).empty());
  hosts.Set({"a", "b"});
  const std::string first = hosts.Take(kStart, {});
  CHECK(hosts.Take(kStart, {}) != first);
  const std::vector<std::string> tried = {"a"};
  CHECK(hosts.Take(kStart, tried) == "b");
  hosts.RecordFailure(kStart, "a");
  for (int i = 0; i < 3; ++i) {
    CHECK(hosts.Take(kStart + milliseconds(900), {}) == "b");
  }
  const std::vector<std::string> other = {"b"};
  CHECK_FALSE(hosts.HasOne(kStart + milliseconds(900), other));
  CHECK(hosts.HasOne(kStart + seconds(1), other));
}

// Guards against callers that are all sent to the few hosts with a path.
TEST_CASE("callers are sent to hosts with a path while those are enough",
          "[fleet]") {
  CHECK(HostsForCallers(MakeHosts("kochi", 8, 0)).size() == 8);
  CHECK(HostsForCallers(MakeHosts("kochi", 8, 6)).size() == 2);
  CHECK(HostsForCallers(MakeHosts("kochi", 8, 7)).size() == 8);
  CHECK(HostsForCallers({}).empty());
}

// Guards against hosts that go on sending requests to one that has lost its
// path too.
TEST_CASE("entry hosts are told at once which hosts have lost their path",
          "[fleet]") {
  LeaderAndRelay hubs;
  EntryReport report = hubs.MakeReport();
  report.ready_hosts = {{"kochi-9:80", kZone}};
  hubs.relay.SetFleetHosts(MakeHosts("kochi", 3, 0));
  FleetUpdate update =
      hubs.relay.HandleReport(hubs.now, kEntry, false, report, hubs.record);
  CHECK(update.detour_hosts.size() == 3);
  CHECK_FALSE(hubs.relay.HasPendingUpdate(hubs.now, kEntry));
  hubs.relay.SetFleetHosts(MakeHosts("kochi", 3, 1));
  REQUIRE(hubs.relay.HasPendingUpdate(hubs.now, kEntry));
  update = hubs.relay.BuildUpdate(hubs.now, kEntry, hubs.record);
  CHECK(update.detour_hosts.size() == 2);
  // What the host itself reports reaches the list for callers and hosts.
  report.ready_hosts->front().reaches_servers = false;
  hubs.relay.HandleReport(hubs.now, kEntry, false, report, hubs.record);
  const auto ready = hubs.relay.ReadyHosts(hubs.now);
  CHECK(std::count_if(ready.begin(), ready.end(), [](const ReadyHost& host) {
          return host.reaches_servers;
        }) == 0);
}

}  // namespace
}  // namespace sapphirebank
