#include "sapphirebank/fleet/fleet_hub.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "unit_tests/fleet/leader_and_relay.h"
#include "unit_tests/fleet/rollout_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("outcomes reported to a relay change the health at the leader",
          "[fleet]") {
  LeaderAndRelay hubs;
  hubs.leader.ApplyHeartbeat(hubs.now, MakeServer("a"), hubs.record);
  hubs.leader.ApplyHeartbeat(hubs.now, MakeServer("b"), hubs.record);
  hubs.leader.ApplyHeartbeat(hubs.now, MakeServer("c"), hubs.record);
  hubs.Sync();
  CHECK(hubs.relay.registry().entries().size() == 3);
  EntryReport report = hubs.MakeReport();
  report.outcomes[BackendId("a")] = {0, 0, 1};
  hubs.relay.HandleReport(hubs.now, kEntry, false, report, hubs.record);
  CHECK(hubs.relay.MustReportToLeader());
  hubs.Sync();
  CHECK_FALSE(hubs.relay.MustReportToLeader());
  const auto& seen = hubs.relay.registry().entries().at(BackendId("a"));
  CHECK(seen.state.health == ServerHealth::kDown);
  // Entry hosts get it with the next response.
  const FleetUpdate update = hubs.relay.HandleReport(
      hubs.now, kEntry, false, hubs.MakeReport(), hubs.record);
  const auto server_update =
      std::find_if(update.servers.begin(), update.servers.end(),
                   [](const ServerUpdate& server) {
                     return server.announcement.id == BackendId("a");
                   });
  REQUIRE(server_update != update.servers.end());
  CHECK(server_update->health == ServerHealth::kDown);
  CHECK_FALSE(hubs.relay.HasPendingUpdate(hubs.now, kEntry));
}

TEST_CASE("a heartbeat at a relay makes the server known to the leader",
          "[fleet]") {
  LeaderAndRelay hubs;
  hubs.relay.ApplyHeartbeat(hubs.now, MakeServer("a"), hubs.record);
  CHECK(hubs.relay.MustReportToLeader());
  hubs.Sync();
  CHECK(hubs.leader.registry().entries().contains(BackendId("a")));
  // A new leader learns all servers from the first reports.
  FleetHub next{
      FleetHubSettings(), 3, {"10.0.0.3:7", ZoneId("kochi")}, Random(3)};
  next.BecomeLeader(hubs.now);
  next.HandleReport(hubs.now, kRelay, true,
                    hubs.relay.BuildLeaderReport(hubs.now, true), hubs.record);
  CHECK(next.registry().entries().contains(BackendId("a")));
}

TEST_CASE("each token request is settled once", "[fleet]") {
  LeaderAndRelay hubs(10);
  hubs.Sync();
  std::uint32_t tokens = 0;
  std::uint32_t settled = 0;
  constexpr std::uint32_t kOrders = 60;
  for (std::uint32_t i = 0; i < kOrders; ++i) {
    EntryReport report = hubs.MakeReport();
    report.wanted_tokens[kNorth] = 1;
    FleetUpdate update =
        hubs.relay.HandleReport(hubs.now, kEntry, false, report, hubs.record);
    if (!update.granted.contains(kNorth)) {
      hubs.Sync();
      REQUIRE(hubs.relay.HasPendingGrants(kEntry));
      update = hubs.relay.BuildUpdate(hubs.now, kEntry, hubs.record);
    }
    REQUIRE(update.granted.contains(kNorth));
    tokens += update.granted[kNorth].tokens;
    settled += update.granted[kNorth].settled;
  }
  CHECK(settled == kOrders);
  CHECK(tokens > 0);
  CHECK(tokens <= 10);  // No time passed: the burst is all there is.
}

TEST_CASE("a new leader's buckets start partly filled", "[fleet]") {
  LeaderAndRelay hubs(100);
  hubs.now += seconds(60);
  hubs.relay.BecomeLeader(hubs.now);
  EntryReport report = hubs.MakeReport();
  report.wanted_tokens[kNorth] = 1000;
  const FleetUpdate update =
      hubs.relay.HandleReport(hubs.now, kRelay, true, report, hubs.record);
  CHECK(update.granted.at(kNorth).settled == 1000);
  CHECK(update.granted.at(kNorth).tokens <=
        100 * LeaderBucketShare(4).burst_fraction / 3);
}

TEST_CASE("ready hosts of all hubs are advertised to callers", "[fleet]") {
  LeaderAndRelay hubs;
  hubs.relay.HandleReport(hubs.now, kEntry, false, hubs.MakeReport(),
                          hubs.record);
  EntryReport own = hubs.MakeReport();
  own.ready_hosts = {{{"10.0.1.2:80", ZoneId("kochi")}}};
  hubs.leader.HandleReport(hubs.now, HostId("entry-2"), false, own,
                           hubs.record);
  hubs.Sync();
  CHECK(hubs.leader.ReadyHosts(hubs.now).size() == 2);
  // A host that no longer reports itself ready is dropped at once, a silent one
  // after the timeout.
  own.ready_hosts->clear();
  hubs.leader.HandleReport(hubs.now, HostId("entry-2"), false, own,
                           hubs.record);
  CHECK(hubs.leader.ReadyHosts(hubs.now).size() == 1);
  hubs.now += seconds(3);
  CHECK(hubs.relay.ReadyHosts(hubs.now).empty());
  hubs.Sync();
  CHECK(hubs.leader.ReadyHosts(hubs.now).empty());
}

TEST_CASE("a new leader advertises its predecessor's hosts until they time out",
          "[fleet]") {
  LeaderAndRelay hubs;
  hubs.leader.InheritReadyHosts(hubs.now, {{"10.0.1.9:80", ZoneId("kochi")}});
  CHECK(hubs.leader.ReadyHosts(hubs.now).size() == 1);
  hubs.now += seconds(3);
  hubs.leader.Tick(hubs.now);
  CHECK(hubs.leader.ReadyHosts(hubs.now).empty());
}

TEST_CASE("a quarantined request is distributed to all hosts", "[fleet]") {
  LeaderAndRelay hubs;
  hubs.Sync();
  for (const char* id : {"a", "b", "c"}) {
    EntryReport report = hubs.MakeReport();
    report.crashes.push_back({42, BackendId(id)});
    hubs.relay.HandleReport(hubs.now, kEntry, false, report, hubs.record);
    hubs.Sync();
  }
  hubs.Sync();
  const FleetUpdate update =
      hubs.relay.BuildUpdate(hubs.now, kEntry, hubs.record);
  REQUIRE(update.quarantines.size() == 1);
  CHECK(update.quarantines[0].request == 42);
}

TEST_CASE("a host that changes its hub gets the full registry", "[fleet]") {
  LeaderAndRelay hubs;
  hubs.leader.ApplyHeartbeat(hubs.now, MakeServer("a"), hubs.record);
  EntryReport report = hubs.MakeReport();
  report.registry_id = 99;
  report.known_registry_changes = 1000;
  const FleetUpdate update =
      hubs.leader.HandleReport(hubs.now, kEntry, false, report, hubs.record);
  CHECK(update.full_registry);
  CHECK(update.servers.size() == 1);
  CHECK(update.shared_state);
  REQUIRE(update.plan);
  CHECK(update.plan->version == 1);
}

TEST_CASE("a hub's retry budget covers all its hosts", "[fleet]") {
  FleetHubSettings settings;
  settings.retry_slack = 60;
  FleetHub hub{settings, 1, {"10.0.0.1:7", ZoneId("kochi")}, Random(1)};
  FleetRecord record;
  record.Apply(StorePlan{1, R"({"version":1})"});
  hub.BecomeLeader(kStart);
  hub.ApplyRecord(kStart, record, MakePlan(MakePlanParts()));
  hub.ApplyHeartbeat(kStart, MakeServer("a"), record);
  DispatchQuery query;
  query.service = ServiceId("desk");
  query.zone = ZoneId("kochi");
  query.repeatable = true;
  std::uint64_t number = 1;
  const auto ask = [&](const std::string& host) {
    return hub.Assign(kStart, {HostId(host), number++}, query).has_value();
  };
  // The hub starts with half of its maximum balance.
  query.is_retry = true;
  const int at_start = static_cast<int>(kHubRetryShare.initial_fraction *
                                        kHubRetryShare.slack_fraction * 60);
  for (int i = 0; i < at_start; ++i) CHECK(ask("entry-1"));
  CHECK_FALSE(ask("entry-1"));
  query.is_retry = false;
  for (int i = 0; i < 21; ++i) CHECK(ask("entry-" + std::to_string(i)));
  // One host may spend what the requests of all hosts added.
  query.is_retry = true;
  CHECK(ask("entry-1"));
  CHECK(ask("entry-1"));
  CHECK_FALSE(ask("entry-1"));
}

TEST_CASE("the leader is listed last among the hubs", "[fleet]") {
  LeaderAndRelay hubs;
  const HubHost other = {"10.0.0.2:7", ZoneId("kochi")};
  const auto server_update = [&] {
    hubs.number = 1;
    return hubs.leader
        .HandleReport(hubs.now, kEntry, false, hubs.MakeReport(), hubs.record)
        .hubs;
  };
  hubs.leader.SetHubs({other}, "10.0.0.1:7");
  REQUIRE(server_update().size() == 2);
  hubs.leader.SetHubs({other}, "");
  CHECK(server_update().front().address == "10.0.0.1:7");
  hubs.leader.SetHubs({other}, "10.0.0.1:7");
  CHECK(server_update().front() == other);
}

TEST_CASE("health changes are not pushed to entry hosts", "[fleet]") {
  LeaderAndRelay hubs;
  hubs.leader.ApplyHeartbeat(hubs.now, MakeServer("a"), hubs.record);
  hubs.leader.ApplyHeartbeat(hubs.now, MakeServer("b"), hubs.record);
  EntryReport report = hubs.MakeReport();
  report.registry_id = 1;
  hubs.leader.HandleReport(hubs.now, kEntry, false, report, hubs.record);
  hubs.leader.HandleReport(hubs.now, kRelay, true, hubs.MakeReport(),
                           hubs.record);
  REQUIRE_FALSE(hubs.leader.HasPendingUpdate(hubs.now, kEntry));
  report = hubs.MakeReport();
  report.registry_id = 1;
  report.outcomes[BackendId("a")] = {0, 0, 1};
  hubs.leader.HandleReport(hubs.now, HostId("entry-2"), false, report,
                           hubs.record);
  CHECK_FALSE(hubs.leader.HasPendingUpdate(hubs.now, kEntry));
  CHECK(hubs.leader.HasPendingUpdate(hubs.now, kRelay));
  // Health changes come with the next response or with a new server.
  hubs.leader.ApplyHeartbeat(hubs.now, MakeServer("c"), hubs.record);
  CHECK(hubs.leader.HasPendingUpdate(hubs.now, kEntry));
  CHECK(hubs.leader.BuildUpdate(hubs.now, kEntry, hubs.record).servers.size() ==
        2);
}

// A leader and a relay of a service with two versions and an ordered rollout.
struct HubsInTrial : LeaderAndRelay {
  std::uint64_t next = 1;

  HubsInTrial() {
    FleetHubSettings settings;
    settings.rollout_share = 0.08;
    settings.rollout_start = 20;
    settings.retry_slack = 60;
    leader = FleetHub(settings, 1, {"10.0.0.1:7", ZoneId("kochi")}, Random(1));
    relay = FleetHub(settings, 2, {"10.0.0.2:7", ZoneId("fann")}, Random(2));
    leader.BecomeLeader(now);
    relay.BecomeRelay();
    Apply();
    for (const auto& server : {MakeVersionedServer("old", "v1", 1, "fann"),
                               MakeVersionedServer("new", "v2", 2, "fann")}) {
      relay.ApplyHeartbeat(now, server, record);
    }
    Sync();
  }

  void Apply() {
    const auto plan = MakePlan(MakePlanParts());
    leader.ApplyRecord(now, record, plan);
    relay.ApplyRecord(now, record, plan);
  }
  std::uint64_t Order(const std::string& version) {
    const Rollout* last = record.FindRollout(ServiceId("desk"));
    record.Apply(StartRollout{ServiceId("desk"), version, seconds(12),
                              last != nullptr ? last->order : 0});
    Apply();
    return record.FindRollout(ServiceId("desk"))->order;
  }
  void SetPhase(RolloutPhase phase) {
    const std::uint64_t order = record.FindRollout(ServiceId("desk"))->order;
    record.Apply(SetRolloutPhase{ServiceId("desk"), order, phase, ""});
    Apply();
  }
  // Returns how many of the requests at the relay the new version gets.
  int Assign(int requests, bool is_retry = false) {
    int granted = 0;
    for (int i = 0; i < requests; ++i) {
      relay.RecordConfirmation(now);
      DispatchQuery query;
      query.service = ServiceId("desk");
      query.zone = ZoneId("fann");
      query.route = "lookup";
      query.is_retry = is_retry;
      const auto choice = relay.Assign(now, {kEntry, next++}, query);
      REQUIRE(choice);
      if (choice->server == BackendId("new")) ++granted;
      relay.EndAssignment(now, {kEntry, next - 1}, AssignmentOutcome::kServed);
    }
    return granted;
  }
};

TEST_CASE("a hub grants the new version its share and no retries", "[fleet]") {
  HubsInTrial hubs;
  CHECK(hubs.Assign(100) == 0);
  hubs.Order("v2");
  // There is credit for one request already.
  CHECK(hubs.Assign(1, true) == 0);
  const int granted = hubs.Assign(100);
  CHECK(granted >= 8);
  CHECK(granted <= 9);
  hubs.SetPhase(RolloutPhase::kRolledBack);
  CHECK(hubs.Assign(100) == 0);
  hubs.Order("v2");
  hubs.SetPhase(RolloutPhase::kSwitch);
  CHECK(hubs.Assign(10) == 10);
}

// Guards against a rollback that waits for the next periodic update.
TEST_CASE("changes of a rollout are sent to hosts at once", "[fleet]") {
  HubsInTrial hubs;
  EntryReport report = hubs.MakeReport();
  hubs.relay.HandleReport(hubs.now, kEntry, false, report, hubs.record);
  FleetUpdate update = hubs.relay.BuildUpdate(hubs.now, kEntry, hubs.record);
  REQUIRE_FALSE(hubs.relay.HasPendingUpdate(hubs.now, kEntry));
  for (const RolloutPhase phase :
       {RolloutPhase::kTrial, RolloutPhase::kRolledBack}) {
    if (phase == RolloutPhase::kTrial) {
      hubs.Order("v2");
    } else {
      hubs.SetPhase(phase);
    }
    REQUIRE(hubs.relay.HasPendingUpdate(hubs.now, kEntry));
    update =
        hubs.RoundTrip(hubs.relay.BuildUpdate(hubs.now, kEntry, hubs.record));
    REQUIRE(update.versions);
    CHECK(update.versions->rollouts.at(ServiceId("desk")).phase == phase);
  }
  // Without rollouts nothing is sent, and versions tell nothing.
  LeaderAndRelay without;
  update = without.leader.HandleReport(without.now, kEntry, false,
                                       without.MakeReport(), without.record);
  CHECK(update.shared_state);
  CHECK_FALSE(update.versions);
}

TEST_CASE(
    "samples of all hosts reach the leader, those of an earlier rollout "
    "do not",
    "[fleet]") {
  HubsInTrial hubs;
  const ServiceId desk("desk");
  RolloutSamples samples;
  samples.target[BackendId("new")]["lookup"].failed = 2;
  samples.others["lookup"].answered.at(6) = 40;
  const auto report = [&] {
    for (const char* host : {"entry-1", "entry-2"}) {
      EntryReport entry_report = hubs.MakeReport();
      entry_report.rollout_samples[desk] = samples;
      hubs.relay.HandleReport(hubs.now, HostId(host), false, entry_report,
                              hubs.record);
    }
  };
  hubs.Order("v2");
  report();
  hubs.Sync();
  auto taken = hubs.leader.TakeRolloutSamples();
  CHECK(taken[desk].target[BackendId("new")]["lookup"].failed == 4);
  CHECK(taken[desk].others["lookup"].answered.at(6) == 80);
  CHECK(hubs.leader.TakeRolloutSamples().empty());
  // Collected and not sent when the next order comes.
  report();
  hubs.SetPhase(RolloutPhase::kRolledBack);
  hubs.Order("v3");
  hubs.Sync();
  CHECK(hubs.leader.TakeRolloutSamples().empty());
  // Sent by a host that does not know the order yet.
  samples.others.clear();
  report();
  hubs.Sync();
  CHECK(hubs.leader.TakeRolloutSamples().empty());
}

}  // namespace
}  // namespace sapphirebank
