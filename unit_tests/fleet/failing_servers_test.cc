#include <catch2/catch.hpp>

#include "unit_tests/fleet/failing_servers_simulation.h"

namespace sapphirebank {
namespace {

using Simulation = FailingServersSimulation;

// Requests that must run once and were lost, over a few seeds.
struct Losses {
  int with_dispatcher = 0;
  int at_random = 0;
};

Losses Play(FailureMode mode) {
  Losses losses;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Simulation::Settings settings;
    settings.mode = mode;
    settings.seed = seed;
    losses.with_dispatcher += Simulation(settings).RunDispatcher().lost;
    losses.at_random += Simulation(settings).RunRandom().lost;
  }
  return losses;
}

// Failure detection with adaptive timeouts: where servers hang, a request
// without an answer must not count as a sign of life.
TEST_CASE("servers that hang lose at most half of what a random choice does",
          "[fleet]") {
  const Losses losses = Play(FailureMode::kHang);
  CHECK(losses.with_dispatcher * 2 <= losses.at_random);
}

// Outlier detection by failures on arrival.
TEST_CASE("servers that reset lose at most half of what a random choice does",
          "[fleet]") {
  const Losses losses = Play(FailureMode::kReset);
  CHECK(losses.with_dispatcher * 2 <= losses.at_random);
}

TEST_CASE(
    "servers that reset or hang lose at most half of what a random choice does",
    "[fleet]") {
  const Losses losses = Play(FailureMode::kMixed);
  CHECK(losses.with_dispatcher * 2 <= losses.at_random);
}

}  // namespace
}  // namespace sapphirebank
