#include "sapphirebank/fleet/server_dispatcher.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <vector>

#include "unit_tests/fleet/fleet_fixtures.h"
#include "unit_tests/fleet/rollout_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

struct DispatcherFixture {
  ServerRegistry registry{ServerRegistrySettings()};
  FleetRecord record;
  std::shared_ptr<const TrafficPlan> plan = MakePlan(MakePlanParts());
  std::set<ZoneId> zones_out;
  ServerDispatcher dispatcher{ServerDispatcherSettings(), ZoneId("kochi"),
                              Random(3)};
  std::uint64_t next = 1;
  ZoneId zone{"kochi"};  // Of the asking host.
  bool is_retry = false;
  std::uint64_t body_bytes = 0;

  std::string Assign(Instant now, bool repeatable = false,
                     std::set<BackendId> excluded = {}) {
    DispatchQuery query;
    query.service = ServiceId("desk");
    query.zone = zone;
    query.repeatable = repeatable;
    query.is_retry = is_retry;
    query.excluded = std::move(excluded);
    query.body_bytes = body_bytes;
    const auto choice = dispatcher.Assign(now, {HostId("entry"), next++}, query,
                                          registry, zones_out, *plan);
    return choice ? choice->server.value() : "";
  }
};

TEST_CASE("requests go to the server with the fewest requests in flight",
          "[fleet]") {
  DispatcherFixture fixture;
  for (const char* id : {"a", "b", "c"}) {
    fixture.registry.ApplyHeartbeat(kStart, MakeServer(id), fixture.record);
  }
  std::map<std::string, int> counts;
  for (int i = 0; i < 6; ++i) ++counts[fixture.Assign(kStart)];
  for (const auto& [id, count] : counts) CHECK(count == 2);
  // Ending an assignment frees its slot; ending it twice has no effect.
  fixture.dispatcher.EndAssignment(kStart, {HostId("entry"), 1},
                                   AssignmentOutcome::kInconclusive);
  fixture.dispatcher.EndAssignment(kStart, {HostId("entry"), 1},
                                   AssignmentOutcome::kInconclusive);
  const auto first = fixture.Assign(kStart);
  CHECK_FALSE(first.empty());
  // All assignments of a disconnected host end.
  fixture.dispatcher.EndAssignmentsOf(HostId("entry"));
  counts.clear();
  for (int i = 0; i < 3; ++i) ++counts[fixture.Assign(kStart)];
  CHECK(counts.size() == 3);
}

TEST_CASE("another zone is used when the host's zone is full or out of service",
          "[fleet]") {
  DispatcherFixture fixture;
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("near", "kochi"),
                                  fixture.record);
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("far", "fann"),
                                  fixture.record);
  // Two slots and two queued requests.
  for (int i = 0; i < 4; ++i) CHECK(fixture.Assign(kStart) == "near");
  CHECK(fixture.Assign(kStart) == "far");
  fixture.dispatcher.EndAssignmentsOf(HostId("entry"));
  CHECK(fixture.Assign(kStart, false, {BackendId("near")}) == "far");
  fixture.zones_out = {ZoneId("kochi")};
  CHECK(fixture.Assign(kStart) == "far");
  fixture.zones_out = {ZoneId("kochi"), ZoneId("fann")};
  CHECK(fixture.Assign(kStart).empty());
}

TEST_CASE("a stand-in hub uses the servers of the host's zone", "[fleet]") {
  DispatcherFixture fixture;
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("kochi", "kochi"),
                                  fixture.record);
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("fann", "fann"),
                                  fixture.record);
  fixture.zone = ZoneId("fann");
  for (int i = 0; i < 4; ++i) CHECK(fixture.Assign(kStart) == "fann");
  CHECK(fixture.Assign(kStart) == "kochi");
}

TEST_CASE("only repeatable requests probe a server on probation", "[fleet]") {
  DispatcherFixture fixture;
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi"),
                                  fixture.record);
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("b", "kochi"),
                                  fixture.record);
  fixture.registry.AddOutcomes(kStart, BackendId("a"), {0, 0, 1});
  for (int i = 0; i < 3; ++i) CHECK(fixture.Assign(kStart, true) == "b");
  fixture.registry.Tick(kStart + seconds(1));
  fixture.dispatcher.EndAssignmentsOf(HostId("entry"));
  for (int i = 0; i < 3; ++i) CHECK(fixture.Assign(kStart, false) == "b");
  CHECK(fixture.Assign(kStart, true) == "a");
}

TEST_CASE(
    "a server with a hard failure gets no requests for the suspicion time",
    "[fleet]") {
  DispatcherFixture fixture;
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi"),
                                  fixture.record);
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("b", "kochi"),
                                  fixture.record);
  fixture.dispatcher.RecordHardFailure(kStart, BackendId("a"));
  for (int i = 0; i < 3; ++i) CHECK(fixture.Assign(kStart) == "b");
  CHECK(fixture.Assign(kStart + seconds(1)) == "a");
}

TEST_CASE("non-repeatable requests go to the most recently confirmed server",
          "[fleet]") {
  DispatcherFixture fixture;
  for (const char* id : {"a", "b", "c", "d"}) {
    fixture.registry.ApplyHeartbeat(kStart, MakeServer(id), fixture.record);
  }
  const std::string confirmed = fixture.Assign(kStart, true);
  const Instant later = kStart + milliseconds(100);
  CHECK(fixture.Assign(later) == confirmed);
  // The next repeatable request confirms another server.
  const std::string next = fixture.Assign(later, true);
  CHECK(next != confirmed);
  CHECK(fixture.Assign(later + milliseconds(100)) == next);
}

TEST_CASE("a retry does not go to a server on probation", "[fleet]") {
  DispatcherFixture fixture;
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("a"), fixture.record);
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("b"), fixture.record);
  fixture.registry.AddOutcomes(kStart, BackendId("a"), {0, 0, 1});
  fixture.registry.Tick(kStart + seconds(1));
  REQUIRE(fixture.registry.entries().at(BackendId("a")).state.health ==
          ServerHealth::kProbation);
  fixture.is_retry = true;
  CHECK(fixture.Assign(kStart + seconds(1), true) == "b");
  fixture.is_retry = false;
  CHECK(fixture.Assign(kStart + seconds(1), true) == "a");
}

TEST_CASE("repeatable requests detect most failing servers first", "[fleet]") {
  // 20 servers, of which one at a time breaks off all requests for a second.
  DispatcherFixture fixture;
  constexpr int kServers = 20;
  for (int i = 0; i < kServers; ++i) {
    fixture.registry.ApplyHeartbeat(kStart, MakeServer("s" + std::to_string(i)),
                                    fixture.record);
  }
  int lost = 0;
  int once = 0;
  for (int step = 0; step < 6'000; ++step) {
    const Instant now = kStart + step * milliseconds(5);
    const std::string bad = "s" + std::to_string(step / 200 % kServers);
    const bool repeatable = step % 5 < 2;
    const AssignmentId id = {HostId("entry"), fixture.next};
    const std::string server = fixture.Assign(now, repeatable);
    REQUIRE_FALSE(server.empty());
    if (!repeatable) ++once;
    if (server != bad) {
      fixture.dispatcher.EndAssignment(now, id, AssignmentOutcome::kServed);
      continue;
    }
    if (!repeatable) ++lost;
    fixture.dispatcher.EndAssignment(now, id, AssignmentOutcome::kFailed);
    fixture.dispatcher.RecordHardFailure(now, BackendId(bad));
  }
  // Choosing by load alone loses two or more requests in each of the 30
  // episodes.
  CHECK(lost <= 10);
  CHECK(once == 3'600);
}

TEST_CASE("a cold server gets no more than its warm-up rate in any second",
          "[fleet]") {
  DispatcherFixture fixture;
  ServerAnnouncement cold = MakeServer("cold");
  cold.warm_up_left = seconds(10);
  fixture.registry.ApplyHeartbeat(kStart, cold, fixture.record);
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("warm"), fixture.record);
  // The platform's limit in any second: rate x 1.5 + 5.
  const double bound = 6 * 1.5 + 5;
  std::deque<Instant> sent;
  std::size_t most = 0;
  for (int i = 0; i < 5000; ++i) {
    const Instant now = kStart + i * milliseconds(2);
    if (fixture.Assign(now) == "cold") sent.push_back(now);
    fixture.dispatcher.EndAssignmentsOf(HostId("entry"));
    while (!sent.empty() && now - sent.front() >= seconds(1)) sent.pop_front();
    most = std::max(most, sent.size());
  }
  CHECK(most > 0);
  CHECK(static_cast<double>(most) <= bound);
}

TEST_CASE(
    "all hubs of a zone together stay within a cold server's warm-up rate",
    "[fleet]") {
  // Limit at the larger sites, of which hosts that choose servers themselves
  // and hubs of other zones need a fraction.
  constexpr double kRate = 3.9;
  constexpr double kBound = kRate * 1.5 + 8;
  constexpr double kPartOfOthers = 0.25;
  const auto hub_count = GENERATE(std::size_t{1}, 2, 3);
  TrafficPlanParts parts = MakePlanParts();
  parts.services[0].warm_up_rate = kRate;
  std::vector<std::unique_ptr<DispatcherFixture>> hubs;
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < hub_count; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i) + ":7");
  }
  for (std::size_t i = 0; i < hub_count; ++i) {
    hubs.push_back(std::make_unique<DispatcherFixture>());
    DispatcherFixture& hub = *hubs.back();
    hub.plan = MakePlan(parts);
    hub.dispatcher.SetZoneHubs(addresses, addresses[i]);
    ServerAnnouncement cold = MakeServer("cold");
    cold.warm_up_left = seconds(30);
    hub.registry.ApplyHeartbeat(kStart, cold, hub.record);
    hub.registry.ApplyHeartbeat(kStart, MakeServer("warm"), hub.record);
  }
  std::deque<Instant> sent;
  std::size_t most = 0;
  for (int i = 0; i < 6000; ++i) {
    const Instant now = kStart + i * milliseconds(2);
    DispatcherFixture& hub = *hubs[static_cast<std::size_t>(i) % hub_count];
    if (hub.Assign(now) == "cold") sent.push_back(now);
    hub.dispatcher.EndAssignmentsOf(HostId("entry"));
    while (!sent.empty() && now - sent.front() >= seconds(1)) sent.pop_front();
    most = std::max(most, sent.size());
  }
  CHECK(most > 0);
  CHECK(static_cast<double>(most) <= kBound * (1 - kPartOfOthers));
}

TEST_CASE("assignments expire when their end is not reported", "[fleet]") {
  DispatcherFixture fixture;
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("near", "kochi"),
                                  fixture.record);
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("far", "fann"),
                                  fixture.record);
  for (int i = 0; i < 5; ++i) fixture.Assign(kStart);
  fixture.dispatcher.Tick(kStart + DispatchQuery().time_left +
                          ServerDispatcherSettings().end_report_slack);
  CHECK(fixture.Assign(kStart) == "near");
}

// Floor of healthy capacity in use: what must run once prefers servers that
// were confirmed last, which would leave the others without any request.
TEST_CASE("requests that must run once leave no healthy server unused for 2 s",
          "[fleet]") {
  DispatcherFixture fixture;
  constexpr int kServers = 30;
  for (int i = 0; i < kServers; ++i) {
    ServerAnnouncement server = MakeServer("s" + std::to_string(i));
    server.endpoint.port = static_cast<std::uint16_t>(1000 + i);
    server.slots = 4;
    fixture.registry.ApplyHeartbeat(kStart, server, fixture.record);
  }
  std::map<std::string, Instant> last;
  std::deque<std::pair<Instant, AssignmentId>> running;
  for (int step = 0; step < 2'000; ++step) {
    const Instant now = kStart + step * milliseconds(8);
    while (!running.empty() && running.front().first <= now) {
      fixture.dispatcher.EndAssignment(now, running.front().second,
                                       AssignmentOutcome::kServed);
      running.pop_front();
    }
    const AssignmentId id = {HostId("entry"), fixture.next};
    last[fixture.Assign(now)] = now;
    running.emplace_back(now + milliseconds(250), id);
    if (now - kStart < seconds(2)) continue;
    REQUIRE(last.size() == kServers);
    for (const auto& [server, at] : last) REQUIRE(now - at <= seconds(2));
  }
}

TEST_CASE("a server with an overdue request is avoided while others have room",
          "[fleet]") {
  DispatcherFixture fixture;
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("a"), fixture.record);
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("b"), fixture.record);
  const std::string hanging = fixture.Assign(kStart);
  // The first request is overdue after 0.6 of the objective of a second.
  const Instant later = kStart + milliseconds(650);
  for (int i = 0; i < 4; ++i) {
    const AssignmentId id = {HostId("entry"), fixture.next};
    CHECK(fixture.Assign(later + i * milliseconds(10)) != hanging);
    fixture.dispatcher.EndAssignment(later + i * milliseconds(10), id,
                                     AssignmentOutcome::kServed);
  }
  // It is tried again after about the length of an episode.
  CHECK(fixture.Assign(later + seconds(2)) == hanging);
}

// Servers of an old and a new version, at a hub of a zone with two hubs.
struct TrialFixture : DispatcherFixture {
  TrialFixture() { dispatcher.SetZoneHubs({"hub"}, "hub"); }

  void Add(const std::string& id, const std::string& version,
           const std::string& in_zone = "kochi", Duration warm_up = {}) {
    ServerAnnouncement server =
        MakeVersionedServer(id, version, version == "v1" ? 1 : 2, in_zone);
    server.warm_up_left = warm_up;
    registry.ApplyHeartbeat(kStart, server, record);
  }
  void SetPhase(RolloutPhase phase) {
    dispatcher.SetVersions(MakeVersions(MakeRollout(phase)));
  }
  std::string AssignTrial(Instant now, std::set<BackendId> excluded = {}) {
    DispatchQuery query;
    query.service = ServiceId("desk");
    query.zone = zone;
    query.excluded = std::move(excluded);
    const auto choice = dispatcher.AssignTrial(
        now, {HostId("entry"), next++}, query, registry, zones_out, *plan);
    return choice ? choice->server.value() : "";
  }
  std::set<std::string> AssignMany() {
    std::set<std::string> used;
    for (int i = 0; i < 12; ++i) {
      used.insert(Assign(kStart));
      dispatcher.EndAssignmentsOf(HostId("entry"));
    }
    return used;
  }
};

TEST_CASE("a hub's own choices follow the phase of a rollout", "[fleet]") {
  using Used = std::set<std::string>;
  TrialFixture fixture;
  fixture.Add("old", "v1");
  fixture.Add("new", "v2");
  CHECK(fixture.AssignMany() == Used{"new", "old"});
  fixture.dispatcher.SetVersions(VersionRecord());
  CHECK(fixture.AssignMany() == Used{"old"});
  fixture.SetPhase(RolloutPhase::kTrial);
  CHECK(fixture.AssignMany() == Used{"old"});
  CHECK(fixture.AssignTrial(kStart) == "new");
  fixture.SetPhase(RolloutPhase::kSwitch);
  CHECK(fixture.AssignMany() == Used{"new"});
  CHECK(fixture.AssignTrial(kStart).empty());
  fixture.SetPhase(RolloutPhase::kRolledBack);
  CHECK(fixture.AssignMany() == Used{"old"});
  CHECK(fixture.AssignTrial(kStart).empty());
}

TEST_CASE("a trial uses all free servers of the hub's zone that are in service",
          "[fleet]") {
  TrialFixture fixture;
  fixture.Add("old", "v1");
  for (const char* id : {"a", "b", "c"}) fixture.Add(id, "v2");
  fixture.Add("far", "v2", "fann");
  fixture.SetPhase(RolloutPhase::kTrial);
  std::map<std::string, int> counts;
  for (int i = 0; i < 6; ++i) ++counts[fixture.AssignTrial(kStart)];
  CHECK(counts == std::map<std::string, int>{{"a", 2}, {"b", 2}, {"c", 2}});
  // All slots are taken; none waits in the queue of a server.
  CHECK(fixture.AssignTrial(kStart).empty());
  fixture.dispatcher.EndAssignmentsOf(HostId("entry"));
  CHECK(fixture.AssignTrial(kStart, {BackendId("a"), BackendId("b")}) == "c");
  fixture.zones_out = {ZoneId("kochi")};
  CHECK(fixture.AssignTrial(kStart) == "far");
  fixture.zones_out = {ZoneId("kochi"), ZoneId("fann")};
  CHECK(fixture.AssignTrial(kStart).empty());
}

// Guards against new servers, which start cold, that get more than they bear.
TEST_CASE("a trial keeps to the warm-up limits", "[fleet]") {
  TrialFixture fixture;
  fixture.Add("old", "v1");
  fixture.Add("cold", "v2", "kochi", seconds(3));
  fixture.SetPhase(RolloutPhase::kTrial);
  int assigned = 0;
  for (Instant now = kStart; now < kStart + seconds(2);
       now += milliseconds(5)) {
    if (!fixture.AssignTrial(now).empty()) ++assigned;
    fixture.dispatcher.EndAssignmentsOf(HostId("entry"));
  }
  // 0.8 of 6 a second, and one at once.
  CHECK(assigned >= 8);
  CHECK(assigned <= 11);
  // Another hub, which does not know what it gets, leaves it out.
  fixture.dispatcher.SetZoneHubs({"other"}, "hub");
  CHECK(fixture.AssignTrial(kStart + seconds(2)).empty());
}

// Guards against a verdict by the first servers of the list, which could bear
// all of the share.
TEST_CASE("a trial uses cold servers in turn", "[fleet]") {
  TrialFixture fixture;
  fixture.Add("old", "v1");
  for (const char* id : {"a", "b", "c"}) {
    fixture.Add(id, "v2", "kochi", seconds(3));
  }
  fixture.SetPhase(RolloutPhase::kTrial);
  std::map<std::string, int> counts;
  for (int i = 0; i < 18; ++i) {
    ++counts[fixture.AssignTrial(kStart + i * milliseconds(125))];
    fixture.dispatcher.EndAssignmentsOf(HostId("entry"));
  }
  for (const char* id : {"a", "b", "c"}) {
    INFO(id << " got " << counts[id]);
    CHECK(counts[id] >= 5);
  }
}

// Guards against a trial that sees nothing more of a version once its servers
// are out of use.
TEST_CASE("a version whose servers all fail goes on being tried", "[fleet]") {
  TrialFixture fixture;
  fixture.Add("old", "v1");
  fixture.Add("a", "v2");
  fixture.SetPhase(RolloutPhase::kTrial);
  fixture.dispatcher.RecordHardFailure(kStart, BackendId("a"));
  CHECK(fixture.AssignTrial(kStart) == "a");
}

// Demand and servers in other proportions per zone: what crosses is small.
TEST_CASE("a large body waits longer in its zone than a small one", "[fleet]") {
  DispatcherFixture fixture;
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("near", "kochi"),
                                  fixture.record);
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("far", "fann"),
                                  fixture.record);
  for (int i = 0; i < 4; ++i) CHECK(fixture.Assign(kStart) == "near");
  fixture.body_bytes = 2'000'000;
  CHECK(fixture.Assign(kStart) == "near");
  fixture.body_bytes = 1'000;
  CHECK(fixture.Assign(kStart) == "far");
}

// Half of a service's servers shed load for some seconds.
TEST_CASE("a server that rejects requests gets fewer while it does",
          "[fleet]") {
  DispatcherFixture fixture;
  for (const char* id : {"a", "b"}) {
    ServerAnnouncement server = MakeServer(id);
    server.slots = 8;
    fixture.registry.ApplyHeartbeat(kStart, server, fixture.record);
  }
  std::map<std::string, int> counts;
  std::deque<std::pair<Instant, AssignmentId>> running;
  // As many requests as the other server has slots for, or twice as many.
  const bool is_crowded = GENERATE(false, true);
  for (int i = 0; i < 800; ++i) {
    const Instant now = kStart + i * milliseconds(is_crowded ? 12 : 25);
    while (!running.empty() && running.front().first <= now) {
      fixture.dispatcher.EndAssignment(now, running.front().second,
                                       AssignmentOutcome::kServed);
      running.pop_front();
    }
    const AssignmentId id = {HostId("entry"), fixture.next};
    const std::string server = fixture.Assign(now);
    ++counts[server];
    if (server == "a" && i % 2 == 0) {
      fixture.dispatcher.EndAssignment(now, id, AssignmentOutcome::kRejected);
    } else {
      running.emplace_back(now + milliseconds(200), id);
    }
  }
  if (is_crowded) {
    // It is not taken out: what the other has no slots for goes there.
    CHECK(counts["a"] > 160);
    CHECK(counts["a"] < counts["b"]);
  } else {
    CHECK(counts["a"] * 3 < counts["b"] * 2);
  }
}

TEST_CASE("the forecast tells slots, the wait and the work", "[fleet]") {
  DispatcherFixture fixture;
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("near", "kochi"),
                                  fixture.record);
  fixture.registry.ApplyHeartbeat(kStart, MakeServer("far", "fann"),
                                  fixture.record);
  DispatchQuery query;
  query.service = ServiceId("desk");
  query.zone = fixture.zone;
  const auto forecast = [&](Instant now) {
    return fixture.dispatcher.Forecast(now, query, fixture.registry,
                                       fixture.zones_out);
  };
  CHECK(forecast(kStart).slots == 4);
  CHECK(forecast(kStart).shortest_wait == Duration::zero());
  CHECK(ToSeconds(forecast(kStart).work) == Approx(0.24));
  for (int i = 0; i < 6; ++i) fixture.Assign(kStart);
  CHECK(forecast(kStart).busy == 4);
  CHECK(ToSeconds(forecast(kStart).shortest_wait) == Approx(0.24));
  const Instant later = kStart + milliseconds(40);
  CHECK(ToSeconds(forecast(later).shortest_wait) == Approx(0.2));
  fixture.zones_out = {ZoneId("fann")};
  CHECK(forecast(kStart).slots == 2);
  fixture.zones_out = {ZoneId("fann"), ZoneId("kochi")};
  CHECK(forecast(kStart).slots == 0);
  CHECK(forecast(kStart).shortest_wait == Duration::max());
}

}  // namespace
}  // namespace sapphirebank
