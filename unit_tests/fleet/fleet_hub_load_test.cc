#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "sapphirebank/fleet/hub_assignment.h"
#include "unit_tests/fleet/leader_and_relay.h"

// A hub and a leader when all hosts come at once or after a restart.
namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Snapshot on demand: when hundreds of hosts come to a hub that has restarted,
// one of them sends the servers and none loses its own meanwhile.
TEST_CASE("a restarted hub asks one entry host for its servers", "[fleet]") {
  LeaderAndRelay hubs;
  const auto report_of = [&](const std::string& host,
                             std::vector<ServerAnnouncement> servers = {}) {
    EntryReport report = hubs.MakeReport();
    report.registry_id = 77;  // Of the hub before.
    report.known_servers = std::move(servers);
    return hubs.relay.HandleReport(hubs.now, HostId(host), false, report,
                                   hubs.record);
  };
  int asked = 0;
  for (int host = 0; host < 100; ++host) {
    const FleetUpdate update = report_of("entry-" + std::to_string(host));
    if (update.wants_servers) ++asked;
    CHECK_FALSE(update.full_registry);
    CHECK(update.servers.empty());
  }
  CHECK(asked == 1);
  report_of("entry-0", {MakeServer("a"), MakeServer("b", "fann")});
  const FleetUpdate update = report_of("entry-1");
  CHECK(update.full_registry);
  CHECK(update.servers.size() == 2);
  CHECK_FALSE(update.wants_servers);
}

TEST_CASE("a hub that no host can tell its servers waits for their heartbeats",
          "[fleet]") {
  LeaderAndRelay hubs;
  hubs.relay.HandleReport(hubs.now, kEntry, false, hubs.MakeReport(),
                          hubs.record);
  hubs.relay.ApplyHeartbeat(hubs.now, MakeServer("a"), hubs.record);
  hubs.now += FleetHubSettings().max_incomplete_time;
  const FleetUpdate update = hubs.relay.HandleReport(
      hubs.now, kEntry, false, hubs.MakeReport(), hubs.record);
  CHECK(update.full_registry);
  CHECK(update.servers.size() == 1);
}

TEST_CASE("a host without servers gets those that a restarted hub has",
          "[fleet]") {
  LeaderAndRelay hubs;
  EntryReport report = hubs.MakeReport();
  report.registry_id = 0;
  hubs.relay.HandleReport(hubs.now, kEntry, false, report, hubs.record);
  hubs.relay.ApplyHeartbeat(hubs.now, MakeServer("a"), hubs.record);
  CHECK(hubs.relay.HasPendingUpdate(hubs.now, kEntry));
  CHECK(hubs.relay.BuildUpdate(hubs.now, kEntry, hubs.record).servers.size() ==
        1);
}

// Load shedding by batching: what the leader handles does not grow with what
// its relays need, so that it keeps time for its heartbeats.
TEST_CASE("all relays together report at a bounded rate when all need tokens",
          "[fleet]") {
  const auto hub_count = GENERATE(2, 5, 19, 40);
  std::vector<HubHost> hosts;
  hosts.reserve(static_cast<std::size_t>(hub_count));
  for (int i = 0; i < hub_count; ++i) {
    hosts.push_back({"10.0.0." + std::to_string(i) + ":7", ZoneId("kochi")});
  }
  FleetRecord record;
  const auto plan = MakePlan(MakePlanParts(1, 5, 5));
  int reports = 0;
  for (int i = 0; i < hub_count - 1; ++i) {
    FleetHub relay(FleetHubSettings(), static_cast<std::uint64_t>(i) + 1,
                   hosts[static_cast<std::size_t>(i)], Random(1));
    relay.BecomeRelay();
    relay.ApplyRecord(kStart, record, plan);
    relay.SetHubs(hosts, hosts.back().address);
    Duration longest{};
    Instant last = kStart;
    // Each millisecond a request needs a token that only the leader has.
    for (Instant now = kStart; now < kStart + seconds(2);
         now += milliseconds(1)) {
      EntryReport report;
      report.wanted_tokens[kNorth] = 1;
      relay.HandleReport(now, kEntry, false, report, record);
      if (!relay.LeaderReportIsDue(now)) continue;
      relay.BuildLeaderReport(now, false);
      FleetUpdate answer;
      answer.answered_report = 1;
      relay.ApplyLeaderUpdate(now, answer, record);
      longest = std::max(longest, now - last);
      last = now;
      ++reports;
    }
    CHECK(longest <= FleetHubSettings().leader_report_period);
  }
  CHECK(reports <= 2 * 250 + hub_count);
}

TEST_CASE("a leader without inherited rates sends none until they have settled",
          "[fleet]") {
  LeaderAndRelay hubs;
  const ServiceId desk("desk");
  // Sends a report with one request each 20 ms and returns the rate that the
  // updates tell, if any.
  const auto run = [&](Duration length) {
    double told = 0;
    for (const Instant end = hubs.now + length; hubs.now < end;
         hubs.now += milliseconds(20)) {
      EntryReport report = hubs.MakeReport();
      report.requests[desk] = 1;
      hubs.leader.Tick(hubs.now);
      const FleetUpdate update = hubs.leader.HandleReport(
          hubs.now, kEntry, false, report, hubs.record);
      const auto found = update.request_rates.find(desk);
      if (found != update.request_rates.end()) told = found->second;
    }
    return told;
  };
  CHECK(run(seconds(4)) == 0);
  const double settled = run(seconds(3));
  CHECK(settled > 45);
  CHECK(settled < 55);
  // A relay that takes over continues the rates it was sent.
  hubs.Sync();
  hubs.relay.BecomeLeader(hubs.now);
  hubs.relay.Tick(hubs.now);
  const FleetUpdate update = hubs.relay.HandleReport(
      hubs.now, kEntry, false, hubs.MakeReport(), hubs.record);
  CHECK(update.request_rates.at(desk) > 45);
}

// A leader that handles one report at a time and the relays that report to it,
// by simulated time.
class SlowLeaderSimulation {
 public:
  SlowLeaderSimulation(int relays, Duration report_time)
      : report_time_(report_time) {
    std::vector<HubHost> hubs = {{kLeader, ZoneId("kochi")}};
    for (int i = 0; i < relays; ++i) hubs.push_back({Name(i), ZoneId("kochi")});
    for (int i = 0; i < relays; ++i) {
      relays_.emplace_back(FleetHubSettings(), 2 + i, hubs[1 + i], Random(2));
      std::vector<HubHost> others = hubs;
      others.erase(others.begin() + 1 + i);
      relays_.back().SetHubs(std::move(others), kLeader);
    }
    leader_.BecomeLeader(now);
  }

  // Lets the leader stand still for `duration` from now on.
  void Suspend(Duration duration) { idle_at_ = now + duration; }

  // Runs until `end`, with a failure at a server in each step, which a relay
  // reports at once.
  void RunUntil(Instant end) {
    constexpr Duration kStep = milliseconds(5);
    for (; now < end; now += kStep) {
      for (std::size_t i = 0; i < relays_.size(); ++i) ReportFailure(i);
      while (!queue_.empty() && idle_at_ <= now) Answer();
    }
  }

  // Time from the last answered report to its answer.
  Duration answer_time{};
  Instant now = kStart;

 private:
  struct Sent {
    std::size_t relay = 0;
    EntryReport report;
    Instant at;
  };

  static std::string Name(int relay) {
    return "10.0.1." + std::to_string(relay) + ":7";
  }

  void ReportFailure(std::size_t i) {
    FleetHub& relay = relays_[i];
    EntryReport failure;
    failure.outcomes[BackendId("a")].hard_failures = 1;
    relay.HandleReport(now, kEntry, false, failure, record_);
    if (!relay.LeaderReportIsDue(now)) return;
    EntryReport report = relay.BuildLeaderReport(now, false);
    report.number = ++number_;
    queue_.push_back({i, std::move(report), now});
  }

  void Answer() {
    const Sent sent = std::move(queue_.front());
    queue_.pop_front();
    idle_at_ = now + report_time_;
    FleetUpdate update =
        leader_.HandleReport(now, HostId(Name(static_cast<int>(sent.relay))),
                             true, sent.report, record_);
    relays_[sent.relay].ApplyLeaderUpdate(now, update, record_);
    answer_time = now - sent.at;
  }

  static constexpr const char* kLeader = "10.0.0.1:7";
  Duration report_time_;
  FleetRecord record_;
  FleetHub leader_{
      FleetHubSettings(), 1, {kLeader, ZoneId("kochi")}, Random(1)};
  std::deque<FleetHub> relays_;
  std::deque<Sent> queue_;
  std::uint64_t number_ = 0;
  Instant idle_at_ = kStart;
};

// Guards against a leader that is late once and never again catches up, as its
// relays send reports faster than it handles them.
TEST_CASE("reports of relays do not queue up at a slow leader", "[fleet]") {
  constexpr int kRelays = 18;
  SlowLeaderSimulation group(kRelays, milliseconds(10));
  group.RunUntil(kStart + seconds(10));
  // Entry hosts look for another hub with an older update than this.
  CHECK(group.answer_time < kMaxHubUpdateAge);
  // The leader stands still, as when it is suspended, and catches up.
  group.Suspend(seconds(3));
  group.RunUntil(group.now + seconds(5));
  CHECK(group.answer_time < kMaxHubUpdateAge);
}

}  // namespace
}  // namespace sapphirebank
