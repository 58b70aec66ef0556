#include "sapphirebank/fleet/server_registry.h"

#include <catch2/catch.hpp>

#include "unit_tests/fleet/fleet_fixtures.h"
#include "unit_tests/fleet/rollout_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

const ServerState& StateOf(const ServerRegistry& registry,
                           const std::string& id) {
  return registry.entries().at(BackendId(id)).state;
}

TEST_CASE("late and duplicate heartbeats change nothing", "[fleet]") {
  ServerRegistry registry{ServerRegistrySettings()};
  const FleetRecord record;
  CHECK(
      registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi", 5, 3), record));
  const auto changes = registry.changes();
  CHECK_FALSE(
      registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi", 5, 3), record));
  CHECK_FALSE(
      registry.ApplyHeartbeat(kStart, MakeServer("a", "fann", 5, 2), record));
  CHECK_FALSE(
      registry.ApplyHeartbeat(kStart, MakeServer("a", "fann", 4, 99), record));
  CHECK(registry.changes() == changes);
  // A regular next heartbeat is accepted but changes nothing.
  CHECK(
      registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi", 5, 4), record));
  CHECK(registry.changes() == changes);
  // A new incarnation under the same id is a change, and its sequence restarts.
  CHECK(
      registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi", 6, 1), record));
  CHECK(registry.changes() > changes);
}

TEST_CASE("an endpoint belongs to the latest incarnation that announced it",
          "[fleet]") {
  ServerRegistry registry{ServerRegistrySettings()};
  const FleetRecord record;
  ServerAnnouncement old = MakeServer("old", "kochi", 5);
  ServerAnnouncement next = MakeServer("next", "kochi", 8);
  next.service = ServiceId("artwork");
  next.endpoint = old.endpoint;
  REQUIRE(registry.ApplyHeartbeat(kStart, old, record));
  REQUIRE(registry.ApplyHeartbeat(kStart, next, record));
  CHECK(StateOf(registry, "old").retired);
  CHECK_FALSE(StateOf(registry, "next").retired);
  // A heartbeat of the old incarnation was delayed by a partition.
  old.sequence = 9;
  CHECK_FALSE(registry.ApplyHeartbeat(kStart, old, record));
  CHECK_FALSE(StateOf(registry, "next").retired);
}

TEST_CASE("a retired incarnation stays retired", "[fleet]") {
  ServerRegistry registry{ServerRegistrySettings()};
  FleetRecord record;
  REQUIRE(
      registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi", 5, 1), record));
  record.Apply(RetireBackend{BackendId("a"), 5});
  registry.ApplyRetirements(record);
  CHECK(StateOf(registry, "a").retired);
  // It keeps announcing that it is ready.
  registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi", 5, 2), record);
  CHECK(StateOf(registry, "a").retired);
  registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi", 6, 1), record);
  CHECK_FALSE(StateOf(registry, "a").retired);
}

TEST_CASE("repeated announcement of a warm-up is no change", "[fleet]") {
  ServerRegistry registry{ServerRegistrySettings()};
  const FleetRecord record;
  ServerAnnouncement server = MakeServer("a");
  server.warm_up_left = seconds(3);
  registry.ApplyHeartbeat(kStart, server, record);
  CHECK(StateOf(registry, "a").cold_until == kStart + seconds(3));
  const auto changes = registry.changes();
  server.sequence = 2;
  server.warm_up_left = milliseconds(1500);
  registry.ApplyHeartbeat(kStart + milliseconds(1500), server, record);
  CHECK(registry.changes() == changes);
  // It is cold again.
  server.sequence = 3;
  server.warm_up_left = seconds(3);
  registry.ApplyHeartbeat(kStart + seconds(10), server, record);
  CHECK(StateOf(registry, "a").cold_until == kStart + seconds(13));
  CHECK(registry.changes() > changes);
}

TEST_CASE("servers of a zone that returns are marked cold", "[fleet]") {
  ServerRegistry registry{ServerRegistrySettings()};
  const FleetRecord record;
  registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi"), record);
  registry.ApplyHeartbeat(kStart, MakeServer("b", "fann"), record);
  registry.MarkZoneCold(kStart, ZoneId("kochi"), seconds(3));
  CHECK(StateOf(registry, "a").cold_until == kStart + seconds(3));
  CHECK(StateOf(registry, "b").cold_until <= kStart);
}

TEST_CASE("a silent server is retired only if its requests fail", "[fleet]") {
  ServerRegistrySettings settings;
  ServerRegistry registry(settings);
  const FleetRecord record;
  for (const char* id : {"a", "b", "c", "d"}) {
    registry.ApplyHeartbeat(kStart, MakeServer(id), record);
  }
  for (int step = 0; step < 200; ++step) {
    const Instant now = kStart + step * milliseconds(50);
    registry.AddOutcomes(now, BackendId("a"), {1, 0, 0});
    registry.AddOutcomes(now, BackendId("b"), {0, 0, 1});
    registry.Tick(now);
  }
  CHECK_FALSE(StateOf(registry, "a").retired);
  CHECK(StateOf(registry, "b").retired);
}

TEST_CASE("at most half of a service's servers are marked down", "[fleet]") {
  ServerRegistry registry{ServerRegistrySettings()};
  const FleetRecord record;
  for (int i = 0; i < 10; ++i) {
    registry.ApplyHeartbeat(kStart, MakeServer("s" + std::to_string(i)),
                            record);
  }
  for (int i = 0; i < 10; ++i) {
    registry.AddOutcomes(kStart, BackendId("s" + std::to_string(i)), {0, 0, 5});
  }
  int down = 0;
  for (const auto& [id, entry] : registry.entries()) {
    if (entry.state.health == ServerHealth::kDown) ++down;
  }
  CHECK(down == 5);
}

TEST_CASE("successes are counted while half of a service is down", "[fleet]") {
  const ServerRegistrySettings settings;
  ServerRegistry registry{settings};
  const FleetRecord record;
  for (const char* id : {"a", "b", "c", "d"}) {
    registry.ApplyHeartbeat(kStart, MakeServer(id), record);
  }
  for (const char* id : {"a", "b"}) {
    registry.AddOutcomes(kStart, BackendId(id), {0, 0, 1});
  }
  REQUIRE(StateOf(registry, "b").health == ServerHealth::kDown);
  registry.AddOutcomes(kStart, BackendId("c"), {20, 0, 0});
  const Instant probation_start =
      kStart + settings.health_tracker.initial_down_time;
  registry.Tick(probation_start);
  registry.AddOutcomes(probation_start, BackendId("a"), {2, 0, 0});
  REQUIRE(StateOf(registry, "a").health == ServerHealth::kUp);
  // One hard failure among twenty successes is no gray failure.
  registry.AddOutcomes(probation_start, BackendId("c"), {0, 0, 1});
  CHECK(StateOf(registry, "c").health == ServerHealth::kUp);
}

TEST_CASE(
    "a relay applies the leader's state except for an earlier incarnation",
    "[fleet]") {
  ServerRegistry registry{ServerRegistrySettings()};
  const FleetRecord record;
  registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi", 5), record);
  ServerUpdate update;
  update.announcement = MakeServer("a", "kochi", 5);
  update.health = ServerHealth::kDown;
  registry.ApplyServerUpdate(kStart, update, record);
  CHECK(StateOf(registry, "a").health == ServerHealth::kDown);
  const auto changes = registry.changes();
  registry.ApplyServerUpdate(kStart, update, record);
  CHECK(registry.changes() == changes);
  update.announcement.incarnation = 4;
  update.retired = true;
  registry.ApplyServerUpdate(kStart, update, record);
  CHECK_FALSE(StateOf(registry, "a").retired);
}

// Guards against a server that is ready again after it left: an update that the
// leader sent before arrived after the departure, by another link.
TEST_CASE("an update of the leader does not take back a departure", "[fleet]") {
  ServerRegistry registry{ServerRegistrySettings()};
  FleetRecord record;
  registry.ApplyHeartbeat(kStart, MakeServer("a", "kochi", 5), record);
  record.Apply(RetireBackend{BackendId("a"), 5});
  registry.ApplyRetirements(record);
  REQUIRE(StateOf(registry, "a").retired);
  const auto changes = registry.changes();
  ServerUpdate update;
  update.announcement = MakeServer("a", "kochi", 5);
  registry.ApplyServerUpdate(kStart, update, record);
  CHECK(StateOf(registry, "a").retired);
  CHECK(registry.changes() == changes);
  // The same for a server that this host hears of for the first time.
  ServerRegistry restarted{ServerRegistrySettings()};
  restarted.ApplyServerUpdate(kStart, update, record);
  CHECK(StateOf(restarted, "a").retired);
  update.announcement.incarnation = 6;
  registry.ApplyServerUpdate(kStart, update, record);
  CHECK_FALSE(StateOf(registry, "a").retired);
}

// Guards against a bad new version that uses up the servers that may go down,
// so that a failing old one stays in use.
TEST_CASE("the servers of a new version are judged apart from the others",
          "[fleet]") {
  for (const bool apart : {true, false}) {
    ServerRegistrySettings settings;
    settings.judges_versions_apart = apart;
    ServerRegistry registry(settings);
    const FleetRecord record;
    for (const char* id : {"a1", "a2", "a3"}) {
      registry.ApplyHeartbeat(kStart, MakeVersionedServer(id, "v1", 1), record);
    }
    for (const char* id : {"b1", "b2", "b3"}) {
      registry.ApplyHeartbeat(kStart, MakeVersionedServer(id, "v2", 2), record);
    }
    for (const char* id : {"b1", "b2", "b3", "a1"}) {
      registry.AddOutcomes(kStart, BackendId(id), {0, 0, 3});
    }
    const auto is_down = [&](const char* id) {
      return registry.entries().at(BackendId(id)).state.health ==
             ServerHealth::kDown;
    };
    CHECK(is_down("a1") == apart);
    CHECK(is_down("b1"));
    CHECK(is_down("b2") != apart);
  }
}

}  // namespace
}  // namespace sapphirebank
