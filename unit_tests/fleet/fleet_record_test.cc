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

// Guards against a plan that is sent again and whose acknowledgement waits for
// the plans that came after it.
TEST_CASE("a plan keeps the number of its change when later ones follow",
          "[fleet]") {
  FleetRecord record;
  CHECK(record.PlanChange(1) == std::nullopt);
  record.Apply(StorePlan{4, "four"});
  record.Apply(RetireBackend{BackendId("a"), 1});
  record.Apply(StorePlan{9, "nine"});
  CHECK(record.PlanChange(4) == 1);
  CHECK(record.PlanChange(9) == 3);
  // In force with the next higher one, which had it overtaken.
  CHECK(record.PlanChange(7) == 3);
  CHECK(record.PlanChange(10) == std::nullopt);
  for (PlanVersion i = 0; i < FleetRecord::kMaxPlanChanges; ++i) {
    record.Apply(StorePlan{10 + i, "later"});
  }
  // No earlier than it was, once it is no longer kept.
  CHECK(record.PlanChange(4) == 4);
}

TEST_CASE("a zone keeps the number of its change when others follow",
          "[fleet]") {
  FleetRecord record;
  record.Apply(SetZoneOut{ZoneId("kochi"), true});
  record.Apply(StorePlan{4, "four"});
  CHECK(record.ZoneChange(ZoneId("kochi")) == 1);
  record.Apply(SetZoneOut{ZoneId("kochi"), false});
  CHECK(record.ZoneChange(ZoneId("kochi")) == 3);
}

// The members of a snapshot, without and with that of the last plan.
TEST_CASE("snapshots of earlier builds have the change of the last plan",
          "[fleet]") {
  nlohmann::json snapshot = {{"version", 4},
                             {"document", "four"},
                             {"zones_out", nlohmann::json::array()},
                             {"retired", nlohmann::json::array()},
                             {"changes", 6}};
  CHECK(snapshot.get<FleetRecord>().PlanChange(4) == 6);
  snapshot["plan_change"] = 5;
  CHECK(snapshot.get<FleetRecord>().PlanChange(4) == 5);
  FleetRecord record;
  record.Apply(StorePlan{4, "four"});
  CHECK(nlohmann::json(record).at("plan_change") == 1);
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
  CHECK(restored->fleet().PlanChange(9) == 1);
  CHECK(restored->fleet().ZoneChange(ZoneId("kochi")) == 2);
}

TEST_CASE("of two rollout orders at once one takes effect", "[fleet]") {
  const ServiceId docs("docs");
  FleetRecord record;
  record.Apply(StorePlan{4, "four"});
  record.Apply(StartRollout{docs, "v2", std::chrono::seconds(12)});
  record.Apply(StartRollout{docs, "v3", std::chrono::seconds(9)});
  CHECK(record.changes() == 2);
  REQUIRE(record.FindRollout(docs) != nullptr);
  CHECK(record.FindRollout(docs)->target_version == "v2");
  CHECK(record.FindRollout(docs)->order == 2);
}

// An order that is sent again as its acknowledgement was lost may be in the log
// a second time after the end of the first.
TEST_CASE("a repeated rollout order changes nothing", "[fleet]") {
  const ServiceId docs("docs");
  const StartRollout order{docs, "v2", std::chrono::seconds(12)};
  FleetRecord record;
  record.Apply(order);
  record.Apply(SetRolloutPhase{docs, 1, RolloutPhase::kRolledBack, "bad"});
  record.Apply(order);
  CHECK(record.FindRollout(docs)->phase == RolloutPhase::kRolledBack);
  CHECK(record.changes() == 2);
  StartRollout next = order;
  next.follows = 1;
  record.Apply(next);
  CHECK(record.FindRollout(docs)->phase == RolloutPhase::kTrial);
  CHECK(record.FindRollout(docs)->order == 3);
}

// Its servers may still run when the next version comes.
TEST_CASE("a rolled back version gets no requests in the next rollout",
          "[fleet]") {
  const ServiceId docs("docs");
  const auto use = [&](const FleetRecord& record, const char* version) {
    return UseOf(*record.FindRollout(docs), version);
  };
  FleetRecord record;
  record.Apply(StartRollout{docs, "v2", std::chrono::seconds(12)});
  record.Apply(SetRolloutPhase{docs, 1, RolloutPhase::kRolledBack, "bad"});
  record.Apply(StartRollout{docs, "v3", std::chrono::seconds(12), 1});
  CHECK(use(record, "v1") == VersionUse::kOpen);
  CHECK(use(record, "v2") == VersionUse::kNone);
  CHECK(use(record, "v3") == VersionUse::kByShare);
  const nlohmann::json snapshot = record;
  CHECK(use(snapshot.get<FleetRecord>(), "v2") == VersionUse::kNone);
  record.Apply(SetRolloutPhase{docs, 3, RolloutPhase::kRolledBack, "bad"});
  record.Apply(StartRollout{docs, "v2", std::chrono::seconds(12), 3});
  CHECK(use(record, "v2") == VersionUse::kByShare);
  CHECK(use(record, "v3") == VersionUse::kNone);
}

TEST_CASE("a stale leader's phase of a rollout changes nothing", "[fleet]") {
  const ServiceId docs("docs");
  FleetRecord record;
  const auto step = [&](std::uint64_t order, RolloutPhase phase) {
    record.Apply(SetRolloutPhase{docs, order, phase, "reason"});
    return record.FindRollout(docs)->phase;
  };
  record.Apply(StartRollout{docs, "v2", std::chrono::seconds(12)});
  CHECK(step(1, RolloutPhase::kCompleted) == RolloutPhase::kTrial);
  CHECK(step(1, RolloutPhase::kRolledBack) == RolloutPhase::kRolledBack);
  // The former leader had not seen the roll-back.
  CHECK(step(1, RolloutPhase::kSwitch) == RolloutPhase::kRolledBack);
  CHECK(step(1, RolloutPhase::kCompleted) == RolloutPhase::kRolledBack);
  record.Apply(StartRollout{docs, "v3", std::chrono::seconds(12), 1});
  const std::uint64_t order = record.FindRollout(docs)->order;
  CHECK(step(1, RolloutPhase::kRolledBack) == RolloutPhase::kTrial);
  CHECK(step(order, RolloutPhase::kSwitch) == RolloutPhase::kSwitch);
  CHECK(step(order, RolloutPhase::kTrial) == RolloutPhase::kSwitch);
  CHECK(record.CurrentVersion(docs).empty());
  CHECK(step(order, RolloutPhase::kCompleted) == RolloutPhase::kCompleted);
  CHECK(step(order, RolloutPhase::kRolledBack) == RolloutPhase::kCompleted);
  CHECK(record.CurrentVersion(docs) == "v3");
  CHECK(record.RolloutChange(docs) == record.changes());
}

TEST_CASE("rollouts survive a snapshot, and snapshots without them are read",
          "[fleet]") {
  const ServiceId docs("docs");
  ControlState state;
  REQUIRE(state.Apply(StorePlan{4, "four"}));
  const nlohmann::json before = state.fleet();
  CHECK_FALSE(before.contains("rollouts"));
  CHECK(before.get<FleetRecord>().rollouts().empty());
  REQUIRE(state.Apply(StartRollout{docs, "v2", std::chrono::seconds(12)}));
  REQUIRE(state.Apply(SetRolloutPhase{docs, 2, RolloutPhase::kSwitch, "good"}));
  REQUIRE(
      state.Apply(SetRolloutPhase{docs, 2, RolloutPhase::kCompleted, "done"}));
  REQUIRE(state.Apply(StartRollout{docs, "v3", std::chrono::seconds(9), 2}));
  const auto restored = ControlState::Restore(state.Snapshot());
  REQUIRE(restored);
  CHECK(restored->Snapshot() == state.Snapshot());
  CHECK(restored->fleet().rollouts() == state.fleet().rollouts());
  CHECK(restored->fleet().CurrentVersion(docs) == "v2");
  CHECK(restored->fleet().RolloutChange(docs) == 5);
}

TEST_CASE("record commands survive the log encoding", "[fleet]") {
  const std::vector<ControlCommand> commands = {
      StorePlan{3, "three"}, SetZoneOut{ZoneId("kochi"), true},
      RetireBackend{BackendId("a"), 8},
      StartRollout{ServiceId("docs"), "v2", std::chrono::seconds(12), 7},
      SetRolloutPhase{ServiceId("docs"), 8, RolloutPhase::kRolledBack, "bad"}};
  for (const ControlCommand& command : commands) {
    CHECK(DecodeCommand(EncodeCommand(command)) == command);
  }
}

}  // namespace
}  // namespace sapphirebank
