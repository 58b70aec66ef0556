#include "sapphirebank/fleet/rollout_sampler.h"

#include <catch2/catch.hpp>

#include "unit_tests/fleet/rollout_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("durations have classes that double", "[fleet]") {
  CHECK(DurationClassOf(Duration::zero()) == 0);
  CHECK(DurationClassOf(milliseconds(1)) == 0);
  CHECK(DurationClassOf(milliseconds(2)) == 1);
  CHECK(DurationClassOf(milliseconds(100)) == 6);
  CHECK(DurationClassOf(milliseconds(300)) == 8);
  CHECK(DurationClassOf(seconds(3600)) == AttemptCounts::kDurationClasses - 1);
}

// Guards against a verdict by gray servers of the old version.
TEST_CASE(
    "samples tell the new version by server and route, of others only "
    "healthy ones",
    "[fleet]") {
  VersionPolicy versions;
  RolloutSampler sampler;
  const auto old_server = MakeVersionedServer("a", "v1", 1);
  const auto new_server = MakeVersionedServer("b", "v2", 2);
  const AttemptEnd served = {"lookup", false, milliseconds(100), true};
  const AttemptEnd failed = {"posting", true, milliseconds(5), false};
  const auto record_all = [&] {
    for (const auto& server : {old_server, new_server}) {
      sampler.Record(versions, server, served);
      sampler.Record(versions, server, served);
      sampler.Record(versions, server, failed);
    }
    return sampler.Take();
  };
  CHECK(record_all().empty());
  for (const RolloutPhase phase :
       {RolloutPhase::kTrial, RolloutPhase::kSwitch}) {
    versions.SetRecord(MakeVersions(MakeRollout(phase)));
    auto samples = record_all();
    REQUIRE(samples.size() == 1);
    RolloutSamples& desk = samples[ServiceId("desk")];
    REQUIRE(desk.target.size() == 1);
    CountsByRoute& counts = desk.target[BackendId("b")];
    CHECK(counts["lookup"].answered.at(6) == 2);
    CHECK(counts["lookup"].failed == 0);
    CHECK(counts["posting"].failed == 1);
    CHECK(desk.others.size() == 1);
    CHECK(desk.others["lookup"].answered.at(6) == 2);
  }
  versions.SetRecord(MakeVersions(MakeRollout(RolloutPhase::kRolledBack)));
  CHECK(record_all().empty());
}

}  // namespace
}  // namespace sapphirebank
