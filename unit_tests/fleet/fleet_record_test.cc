#include "sapphirebank/fleet/fleet_record.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "sapphirebank/consensus/control_state.h"

namespace sapphirebank {
namespace {

TEST_CASE("the highest plan version is in force, whatever the order",
          "[fleet]") {
  FleetRecord record;
  for (const PlanVersion version : {4, 12, 7, 12}) {
    record.Apply(StorePlan{version, "plan " + std::to_string(version)});
  }
  CHECK(record.version() == 12);
  CHECK(record.document() == "plan 12");
  record.Apply(StorePlan{12, "other content under the same number"});
  CHECK(record.document() == "plan 12");
}

TEST_CASE("a retirement covers an incarnation and all earlier ones",
          "[fleet]") {
  FleetRecord record;
  const BackendId server("a");
  record.Apply(RetireBackend{server, 5});
  CHECK(record.IsRetired(server, 4));
  CHECK(record.IsRetired(server, 5));
  CHECK_FALSE(record.IsRetired(server, 6));
  CHECK_FALSE(record.IsRetired(BackendId("b"), 1));
  const auto changes = record.changes();
  record.Apply(RetireBackend{server, 3});
  CHECK(record.changes() == changes);
}

TEST_CASE("retirements are bounded and the oldest are evicted first",
          "[fleet]") {
  FleetRecord record;
  for (std::size_t i = 0; i <= FleetRecord::kMaxRetired; ++i) {
    record.Apply(RetireBackend{BackendId("s" + std::to_string(i)), 1});
  }
  CHECK_FALSE(record.IsRetired(BackendId("s0"), 1));
  CHECK(record.IsRetired(BackendId("s1"), 1));
}

TEST_CASE("the record survives a snapshot of the control state", "[fleet]") {
  ControlState state;
  REQUIRE(state.Apply(StorePlan{9, "nine"}));
  REQUIRE(state.Apply(SetZoneOut{ZoneId("kochi"), true}));
  REQUIRE(state.Apply(SetZoneOut{ZoneId("fann"), true}));
  REQUIRE(state.Apply(SetZoneOut{ZoneId("fann"), false}));
  REQUIRE(state.Apply(RetireBackend{BackendId("a"), 3}));
  const auto restored = ControlState::Restore(state.Snapshot());
  REQUIRE(restored);
  CHECK(restored->Snapshot() == state.Snapshot());
  CHECK(restored->fleet().document() == "nine");
  CHECK(restored->fleet().zones_out() == std::set<ZoneId>{ZoneId("kochi")});
  CHECK(restored->fleet().IsRetired(BackendId("a"), 3));
  CHECK(restored->fleet().changes() == state.fleet().changes());
}

TEST_CASE("record commands survive the log encoding", "[fleet]") {
  const std::vector<ControlCommand> commands = {
      StorePlan{3, "three"}, SetZoneOut{ZoneId("kochi"), true},
      RetireBackend{BackendId("a"), 8}};
  for (const ControlCommand& command : commands) {
    CHECK(DecodeCommand(EncodeCommand(command)) == command);
  }
}

}  // namespace
}  // namespace sapphirebank
