#include <catch2/catch.hpp>

#include "unit_tests/fleet/failing_servers_simulation.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Simulation = FailingServersSimulation;

struct Totals {
  int sent = 0;
  int late = 0;
  double wait_seconds = 0;
};

Totals Play(Simulation::Settings settings, bool by_work) {
  settings.dispatcher.place_by_work = by_work;
  settings.failing_fraction = 0;
  Totals totals;
  for (settings.seed = 1; settings.seed <= 4; ++settings.seed) {
    const Simulation::Result result = Simulation(settings).RunDispatcher();
    totals.sent += result.sent;
    totals.late += result.late;
    totals.wait_seconds += result.wait_seconds;
  }
  UNSCOPED_INFO((by_work ? "by work: " : "by number: ")
                << totals.late << " late of " << totals.sent << ", waited "
                << totals.wait_seconds << " s");
  return totals;
}

// Two routes of one service, of 0.06 s and 1.9 s, at 0.8 of its slots.
Simulation::Settings BimodalLoad() {
  Simulation::Settings settings;
  settings.servers = 12;
  settings.requests_per_second = 90;
  settings.deadline = seconds(10);
  settings.length = seconds(60);
  settings.routes = {{"lookup", 0.8, milliseconds(60), milliseconds(300)},
                     {"export", 0.2, milliseconds(1900), seconds(4)}};
  return settings;
}

// Requests that look alike and cost servers very different amounts of work.
TEST_CASE("short and long requests wait less when placed by work", "[fleet]") {
  const Totals by_number = Play(BimodalLoad(), false);
  const Totals by_work = Play(BimodalLoad(), true);
  CHECK(by_work.wait_seconds < by_number.wait_seconds);
  CHECK(by_work.late < by_number.late);
}

// A part of the servers turns slow, unseen by health checks, and recovers.
TEST_CASE("slow servers delay at most half as many requests by work",
          "[fleet]") {
  Simulation::Settings settings;
  settings.servers = 20;
  settings.requests_per_second = 90;
  settings.deadline = seconds(4);
  settings.length = seconds(60);
  settings.routes = {{"capture", 1, milliseconds(330), milliseconds(1500)}};
  settings.slow_fraction = 0.4;
  settings.slow_from = seconds(15);
  settings.slow_until = seconds(30);
  const Totals by_number = Play(settings, false);
  const Totals by_work = Play(settings, true);
  CHECK(by_work.late * 2 <= by_number.late);
}

// The size of the body tells work that the route does not.
TEST_CASE("requests with large bodies wait less when placed by work",
          "[fleet]") {
  Simulation::Settings settings;
  settings.servers = 12;
  settings.requests_per_second = 50;
  settings.deadline = seconds(10);
  settings.length = seconds(60);
  SimulatedRoute upload{"upload", 1, milliseconds(40), seconds(3)};
  upload.max_body_bytes = 2'000'000;
  upload.work_per_megabyte = milliseconds(750);
  settings.routes = {upload};
  const Totals by_number = Play(settings, false);
  const Totals by_work = Play(settings, true);
  CHECK(by_work.wait_seconds < by_number.wait_seconds);
}

// A route, a part of the servers and all that the hub has learned are new.
TEST_CASE("placement by work is no worse from its prior on", "[fleet]") {
  Simulation::Settings settings = BimodalLoad();
  SECTION("a new route") { settings.routes[1].from = seconds(30); }
  SECTION("new servers") {
    settings.added_servers = 2;
    settings.added_at = seconds(30);
  }
  SECTION("a hub that restarts") { settings.hub_restart_at = seconds(30); }
  const Totals by_number = Play(settings, false);
  const Totals by_work = Play(settings, true);
  CHECK(by_work.late <= by_number.late);
}

TEST_CASE("servers that are added get their part of the requests", "[fleet]") {
  Simulation::Settings settings = BimodalLoad();
  settings.failing_fraction = 0;
  settings.added_servers = 2;
  settings.added_at = seconds(30);
  const Simulation::Result result = Simulation(settings).RunDispatcher();
  // Half of a server's that was there from the start, and not more than its
  // time allows.
  for (const char* server : {"s12", "s13"}) {
    const double part =
        result.sent_by_server.at(server) * 2.0 / result.sent_by_server.at("s0");
    CHECK(part > 0.5);
    CHECK(part < 2);
  }
}

}  // namespace
}  // namespace sapphirebank
