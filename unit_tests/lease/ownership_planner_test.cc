#include "sapphirebank/lease/ownership_planner.h"

#include <catch2/catch.hpp>
#include <map>

#include "sapphirebank/core/random.h"

namespace sapphirebank {
namespace {

using std::chrono::seconds;

std::vector<LiveHost> Hosts(std::size_t count, Instant since) {
  std::vector<LiveHost> hosts;
  for (std::size_t i = 0; i < count; ++i) {
    hosts.push_back({HostId("host-" + std::to_string(i)),
                     ZoneId(i % 2 == 0 ? "kochi" : "thrissur"), since});
  }
  return hosts;
}

std::vector<std::string> Keys(std::size_t count) {
  std::vector<std::string> keys;
  for (std::size_t i = 0; i < count; ++i) {
    keys.push_back("rate:" + std::to_string(i));
  }
  keys.emplace_back("backend:permit:kochi");
  return keys;
}

// Returns the hosts that plan to hold each key, over the plans of all hosts.
std::map<std::string, std::vector<std::string>> PlannedHolders(
    Instant now, const std::vector<LiveHost>& hosts,
    const std::vector<std::string>& keys, const OwnerDirectory& owners) {
  std::map<std::string, std::vector<std::string>> planned_holders;
  for (const LiveHost& host : hosts) {
    OwnershipPlanner planner(host.id, seconds(10));
    planner.SetHosts(now, hosts);
    planner.SetKeys(now, keys);
    for (const std::string& key : planner.DesiredKeys(now, owners)) {
      planned_holders[key].push_back(host.id.value());
    }
  }
  return planned_holders;
}

TEST_CASE("each key is planned for one host, a backend key for one in its zone",
          "[lease]") {
  const Instant now = Instant() + seconds(100);
  const auto planned_holders = PlannedHolders(
      now, Hosts(9, Instant()), Keys(50), OwnerDirectory(seconds(9)));
  CHECK(planned_holders.size() == 51);
  for (const auto& [key, hosts] : planned_holders) CHECK(hosts.size() == 1);
  const std::string& owner = planned_holders.at("backend:permit:kochi").front();
  CHECK((owner.back() - '0') % 2 == 0);
}

TEST_CASE("incremental changes lead to the same plan as a new planner",
          "[lease]") {
  Random random(3);
  const HostId self("host-0");
  OwnershipPlanner incremental(self, seconds(10));
  const auto keys = Keys(200);
  const OwnerDirectory owners(seconds(9));
  std::vector<LiveHost> all = Hosts(20, Instant());
  for (int step = 0; step < 50; ++step) {
    const Instant now = Instant() + seconds(100 + step);
    std::vector<LiveHost> live = {all[0]};
    for (std::size_t i = 1; i < all.size(); ++i) {
      if (!random.Chance(0.7)) continue;
      if (random.Chance(0.2)) all[i].live_since = now;
      live.push_back(all[i]);
    }
    incremental.SetHosts(now, live);
    incremental.SetKeys(now, keys);
    OwnershipPlanner fresh(self, seconds(10));
    fresh.SetHosts(now, live);
    fresh.SetKeys(now, keys);
    CHECK(incremental.DesiredKeys(now, owners) ==
          fresh.DesiredKeys(now, owners));
  }
}

TEST_CASE(
    "a holder keeps its key until a higher-ranked host is live long enough",
    "[lease]") {
  const auto keys = std::vector<std::string>{"rate:1"};
  std::vector<LiveHost> hosts = Hosts(4, Instant());
  OwnershipPlanner reference(HostId("host-0"), seconds(10));
  reference.SetHosts(Instant(), hosts);
  reference.SetKeys(Instant(), keys);
  const HostId best = reference.BestHostFor("rate:1");
  std::vector<LiveHost> others = hosts;
  std::erase_if(others, [&](const LiveHost& host) { return host.id == best; });
  reference.SetHosts(Instant(), others);
  const HostId holder = reference.BestHostFor("rate:1");
  const Instant returned = Instant() + seconds(100);
  for (LiveHost& host : hosts) {
    if (host.id == best) host.live_since = returned;
  }
  OwnerDirectory owners(seconds(30));
  owners.Update(returned, "rate:1", Owner{holder, 5});
  const auto early = PlannedHolders(returned + seconds(9), hosts, keys, owners);
  CHECK(early.at("rate:1") == std::vector{holder.value()});
  const auto later =
      PlannedHolders(returned + seconds(10), hosts, keys, owners);
  CHECK(later.at("rate:1") == std::vector{best.value()});
}

TEST_CASE("the directory keeps the larger term and expires entries",
          "[lease]") {
  const Instant start;
  OwnerDirectory owners(seconds(9));
  owners.Update(start, {HostId("b"), {{"rate:1", 5}}, {}});
  owners.Update(start, {HostId("a"), {{"rate:1", 4}}, {}});
  CHECK(owners.OwnerOf(start, "rate:1") == Owner{HostId("b"), 5});
  owners.Update(start, {HostId("a"), {}, {{"rate:1", 4}}});
  CHECK(owners.OwnerOf(start, "rate:1"));
  CHECK_FALSE(owners.OwnerOf(start + seconds(9), "rate:1"));
  // An expired entry is replaced even by a smaller term, as after a restart of
  // all voters.
  owners.Update(start + seconds(9), "rate:1", Owner{HostId("a"), 1});
  CHECK(owners.OwnerOf(start + seconds(9), "rate:1") == Owner{HostId("a"), 1});
  owners.Update(start + seconds(9), {HostId("a"), {}, {{"rate:1", 1}}});
  CHECK(owners.size() == 0);
}

}  // namespace
}  // namespace sapphirebank
