#include "sapphirebank/fleet/server_evidence.h"

#include <catch2/catch.hpp>

#include "sapphirebank/core/random.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

TEST_CASE("a break puts a server to rest, probes bring it back", "[fleet]") {
  const EvidenceSettings settings;
  ServerEvidence server;
  for (int i = 0; i < 5; ++i) server.Add(kStart, {1, 0, 0}, settings);
  CHECK(server.standing() == Standing::kUp);
  CHECK(server.Add(kStart, {0, 0, 1}, settings));
  CHECK(server.standing() == Standing::kDown);
  CHECK_FALSE(server.Tick(kStart + settings.first_rest / 2, settings));
  const Instant probed = kStart + settings.first_rest + milliseconds(1);
  CHECK(server.Tick(probed, settings));
  CHECK(server.standing() == Standing::kProbation);
  server.Add(probed, {1, 0, 0}, settings);
  CHECK(server.standing() == Standing::kProbation);
  server.Add(probed, {1, 0, 0}, settings);
  CHECK(server.standing() == Standing::kUp);
}

TEST_CASE("rests grow up to the time in which a server must be used again",
          "[fleet]") {
  const EvidenceSettings settings;
  CHECK(settings.longest_rest < seconds(2));
  ServerEvidence server;
  Instant now = kStart;
  server.Add(now, {0, 0, 1}, settings);
  for (int failed = 0; failed < 6; ++failed) {
    const Instant down_at = now;
    while (server.standing() == Standing::kDown) {
      now += milliseconds(10);
      server.Tick(now, settings);
    }
    CHECK(now - down_at <= settings.longest_rest + milliseconds(10));
    server.Add(now, {0, 1, 0}, settings);
    CHECK(server.standing() == Standing::kDown);
  }
}

TEST_CASE("a sound server's few errors are not held against it", "[fleet]") {
  // 1.2 % of errors at 4.5 requests a second for an hour.
  const EvidenceSettings settings;
  ServerEvidence server;
  Random random(7);
  int rests = 0;
  for (int request = 0; request < 16'200; ++request) {
    const Instant now = kStart + request * milliseconds(222);
    server.Tick(now, settings);
    const bool fails = random.Chance(0.012);
    const bool was_up = server.standing() == Standing::kUp;
    server.Add(now, {fails ? 0U : 1U, fails ? 1U : 0U, 0}, settings);
    if (was_up && server.standing() == Standing::kDown) ++rests;
  }
  CHECK(rests < 16);  // Below one wrong rest in a thousand requests.
}

TEST_CASE("a probation without requests ends as well", "[fleet]") {
  const EvidenceSettings settings;
  ServerEvidence server;
  server.Add(kStart, {0, 0, 1}, settings);
  const Instant probed = kStart + settings.first_rest;
  server.Tick(probed, settings);
  REQUIRE(server.standing() == Standing::kProbation);
  server.Tick(probed + settings.probation_time, settings);
  CHECK(server.standing() == Standing::kUp);
}

}  // namespace
}  // namespace sapphirebank
