#include "sapphirebank/fleet/server_health_tracker.h"

#include <catch2/catch.hpp>

#include "sapphirebank/core/random.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

TEST_CASE("a hard failure marks a server down, probation restores it",
          "[fleet]") {
  const ServerHealthSettings settings;
  ServerHealthTracker server;
  for (int i = 0; i < 5; ++i) server.Add(kStart, {1, 0, 0}, settings);
  CHECK(server.health() == ServerHealth::kUp);
  CHECK(server.Add(kStart, {0, 0, 1}, settings));
  CHECK(server.health() == ServerHealth::kDown);
  CHECK_FALSE(server.Tick(kStart + settings.initial_down_time / 2, settings));
  const Instant probation_start =
      kStart + settings.initial_down_time + milliseconds(1);
  CHECK(server.Tick(probation_start, settings));
  CHECK(server.health() == ServerHealth::kProbation);
  server.Add(probation_start, {1, 0, 0}, settings);
  CHECK(server.health() == ServerHealth::kProbation);
  server.Add(probation_start, {1, 0, 0}, settings);
  CHECK(server.health() == ServerHealth::kUp);
}

TEST_CASE("down times grow up to their maximum", "[fleet]") {
  const ServerHealthSettings settings;
  CHECK(settings.max_down_time < seconds(2));
  ServerHealthTracker server;
  Instant now = kStart;
  server.Add(now, {0, 0, 1}, settings);
  for (int failed = 0; failed < 6; ++failed) {
    const Instant down_at = now;
    while (server.health() == ServerHealth::kDown) {
      now += milliseconds(10);
      server.Tick(now, settings);
    }
    CHECK(now - down_at <= settings.max_down_time + milliseconds(10));
    server.Add(now, {0, 1, 0}, settings);
    CHECK(server.health() == ServerHealth::kDown);
  }
}

TEST_CASE("a healthy server's few errors rarely mark it down", "[fleet]") {
  // 1.2 % of errors at 4.5 requests a second for an hour.
  const ServerHealthSettings settings;
  ServerHealthTracker server;
  Random random(7);
  int rests = 0;
  for (int request = 0; request < 16'200; ++request) {
    const Instant now = kStart + request * milliseconds(222);
    server.Tick(now, settings);
    const bool fails = random.Chance(0.012);
    const bool was_up = server.health() == ServerHealth::kUp;
    server.Add(now, {fails ? 0U : 1U, fails ? 1U : 0U, 0}, settings);
    if (was_up && server.health() == ServerHealth::kDown) ++rests;
  }
  CHECK(rests < 16);  // Below one false detection in a thousand requests.
}

TEST_CASE("a probation without requests ends after its maximum time",
          "[fleet]") {
  const ServerHealthSettings settings;
  ServerHealthTracker server;
  server.Add(kStart, {0, 0, 1}, settings);
  const Instant probation_start = kStart + settings.initial_down_time;
  server.Tick(probation_start, settings);
  REQUIRE(server.health() == ServerHealth::kProbation);
  server.Tick(probation_start + settings.max_probation_time, settings);
  CHECK(server.health() == ServerHealth::kUp);
}

}  // namespace
}  // namespace sapphirebank
