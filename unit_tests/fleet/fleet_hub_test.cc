#include "sapphirebank/fleet/fleet_hub.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
const HostId kEntry("entry-1");
const HostId kRelay("relay");
const WorkspaceId kNorth("north");

// A leader and a relay, with messages carried by hand and through their
// encoding.
struct TwoHubs {
  FleetRecord record;
  FleetHub leader{
      FleetHubSettings(), 1, {"10.0.0.1:7", ZoneId("kochi")}, Random(1)};
  FleetHub relay{
      FleetHubSettings(), 2, {"10.0.0.2:7", ZoneId("fann")}, Random(2)};
  Instant now = kStart;
  std::uint64_t number = 1;

  explicit TwoHubs(double rate = 50) {
    record.Apply(StorePlan{1, R"({"version":1})"});
    const auto plan = MakePlan(APlan(1, rate, rate));
    leader.Lead(now);
    relay.Relay();
    leader.Follow(now, record, plan);
    relay.Follow(now, record, plan);
  }

  template <typename Message>
  static Message Carry(const Message& message) {
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json(message), bytes);
    return nlohmann::json::from_cbor(bytes).get<Message>();
  }

  // The relay reports to the leader and takes its answer.
  void Sync() {
    EntryReport report = relay.ReportUp(now, number == 1);
    report.number = number++;
    relay.TakeUp(now,
                 Carry(leader.Take(now, kRelay, true, Carry(report), record)));
  }

  EntryReport AReport() {
    EntryReport report;
    report.number = number++;
    report.ready.push_back({"10.0.1.1:80", ZoneId("fann")});
    report.board_id = 2;
    return report;
  }
};

TEST_CASE("what a host sees at a relay reaches the leader's judgement",
          "[fleet]") {
  TwoHubs hubs;
  hubs.leader.Hear(hubs.now, AServer("a"), hubs.record);
  hubs.leader.Hear(hubs.now, AServer("b"), hubs.record);
  hubs.leader.Hear(hubs.now, AServer("c"), hubs.record);
  hubs.Sync();
  CHECK(hubs.relay.board().entries().size() == 3);
  EntryReport report = hubs.AReport();
  report.outcomes[BackendId("a")] = {0, 0, 1};
  hubs.relay.Take(hubs.now, kEntry, false, report, hubs.record);
  CHECK(hubs.relay.MustReportUp());
  hubs.Sync();
  CHECK_FALSE(hubs.relay.MustReportUp());
  const auto& seen = hubs.relay.board().entries().at(BackendId("a"));
  CHECK(seen.state.standing == Standing::kDown);
  // Entry hosts learn of it with their next answer.
  const FleetUpdate news =
      hubs.relay.Take(hubs.now, kEntry, false, hubs.AReport(), hubs.record);
  const auto told = std::find_if(
      news.servers.begin(), news.servers.end(), [](const ServerNews& server) {
        return server.announcement.id == BackendId("a");
      });
  REQUIRE(told != news.servers.end());
  CHECK(told->standing == Standing::kDown);
  CHECK_FALSE(hubs.relay.HasNews(kEntry));
}

TEST_CASE("a server that is heard at a relay is known everywhere", "[fleet]") {
  TwoHubs hubs;
  hubs.relay.Hear(hubs.now, AServer("a"), hubs.record);
  CHECK(hubs.relay.MustReportUp());
  hubs.Sync();
  CHECK(hubs.leader.board().entries().contains(BackendId("a")));
  // A leader that is new learns all from the first reports.
  FleetHub next{
      FleetHubSettings(), 3, {"10.0.0.3:7", ZoneId("kochi")}, Random(3)};
  next.Lead(hubs.now);
  next.Take(hubs.now, kRelay, true, hubs.relay.ReportUp(hubs.now, true),
            hubs.record);
  CHECK(next.board().entries().contains(BackendId("a")));
}

TEST_CASE("each order of tokens is settled once", "[fleet]") {
  TwoHubs hubs(10);
  hubs.Sync();
  std::uint32_t tokens = 0;
  std::uint32_t settled = 0;
  constexpr std::uint32_t kOrders = 60;
  for (std::uint32_t i = 0; i < kOrders; ++i) {
    EntryReport report = hubs.AReport();
    report.wanted[kNorth] = 1;
    FleetUpdate update =
        hubs.relay.Take(hubs.now, kEntry, false, report, hubs.record);
    if (!update.granted.contains(kNorth)) {
      hubs.Sync();
      REQUIRE(hubs.relay.HasGrants(kEntry));
      update = hubs.relay.News(hubs.now, kEntry, hubs.record);
    }
    REQUIRE(update.granted.contains(kNorth));
    tokens += update.granted[kNorth].tokens;
    settled += update.granted[kNorth].settled;
  }
  CHECK(settled == kOrders);
  CHECK(tokens > 0);
  CHECK(tokens <= 10);  // No time passed: the burst is all there is.
}

TEST_CASE("a leader starts with a part of what the one before gave out",
          "[fleet]") {
  TwoHubs hubs(100);
  hubs.now += seconds(60);
  hubs.relay.Lead(hubs.now);
  EntryReport report = hubs.AReport();
  report.wanted[kNorth] = 1000;
  const FleetUpdate update =
      hubs.relay.Take(hubs.now, kRelay, true, report, hubs.record);
  CHECK(update.granted.at(kNorth).settled == 1000);
  CHECK(update.granted.at(kNorth).tokens <= 100 * kLeadersShare.of_burst / 3);
}

TEST_CASE("callers are named ready hosts of all hubs", "[fleet]") {
  TwoHubs hubs;
  hubs.relay.Take(hubs.now, kEntry, false, hubs.AReport(), hubs.record);
  EntryReport own = hubs.AReport();
  own.ready = {{"10.0.1.2:80", ZoneId("kochi")}};
  hubs.leader.Take(hubs.now, HostId("entry-2"), false, own, hubs.record);
  hubs.Sync();
  CHECK(hubs.leader.Ready(hubs.now).size() == 2);
  // One that says nothing of being ready is dropped at once, one that is
  // silent after a while.
  own.ready.clear();
  hubs.leader.Take(hubs.now, HostId("entry-2"), false, own, hubs.record);
  CHECK(hubs.leader.Ready(hubs.now).size() == 1);
  hubs.now += seconds(3);
  CHECK(hubs.relay.Ready(hubs.now).empty());
  hubs.Sync();
  CHECK(hubs.leader.Ready(hubs.now).empty());
}

TEST_CASE("a new leader names the hosts of the one before for a while",
          "[fleet]") {
  TwoHubs hubs;
  hubs.leader.AdoptReady(hubs.now, {{"10.0.1.9:80", ZoneId("kochi")}});
  CHECK(hubs.leader.Ready(hubs.now).size() == 1);
  hubs.now += seconds(3);
  hubs.leader.Tick(hubs.now);
  CHECK(hubs.leader.Ready(hubs.now).empty());
}

TEST_CASE("a request that crashes servers is told to all hosts", "[fleet]") {
  TwoHubs hubs;
  hubs.Sync();
  for (const char* id : {"a", "b", "c"}) {
    EntryReport report = hubs.AReport();
    report.crashes.push_back({42, BackendId(id)});
    hubs.relay.Take(hubs.now, kEntry, false, report, hubs.record);
    hubs.Sync();
  }
  hubs.Sync();
  const FleetUpdate news = hubs.relay.News(hubs.now, kEntry, hubs.record);
  CHECK(news.quarantined == std::vector<RequestFingerprint>{42});
}

TEST_CASE("a host that changes its hub gets the whole board", "[fleet]") {
  TwoHubs hubs;
  hubs.leader.Hear(hubs.now, AServer("a"), hubs.record);
  EntryReport report = hubs.AReport();
  report.board_id = 99;
  report.board_seen = 1000;
  const FleetUpdate update =
      hubs.leader.Take(hubs.now, kEntry, false, report, hubs.record);
  CHECK(update.whole_board);
  CHECK(update.servers.size() == 1);
  CHECK(update.general);
  REQUIRE(update.plan);
  CHECK(update.plan->version == 1);
}

TEST_CASE("a hub pays for the retries of all its hosts", "[fleet]") {
  FleetHubSettings settings;
  settings.retry_slack = 60;
  FleetHub hub{settings, 1, {"10.0.0.1:7", ZoneId("kochi")}, Random(1)};
  FleetRecord record;
  record.Apply(StorePlan{1, R"({"version":1})"});
  hub.Lead(kStart);
  hub.Follow(kStart, record, MakePlan(APlan()));
  hub.Hear(kStart, AServer("a"), record);
  DispatchQuery query = {ServiceId("desk"), ZoneId("kochi"), true, false, {}};
  std::uint64_t number = 1;
  const auto ask = [&](const std::string& host) {
    return hub.Assign(kStart, {HostId(host), number++}, query).has_value();
  };
  // It starts with half of what it may save.
  query.is_retry = true;
  const int at_start = static_cast<int>(kHubRetries.part_at_start *
                                        kHubRetries.part_of_slack * 60);
  for (int i = 0; i < at_start; ++i) CHECK(ask("entry-1"));
  CHECK_FALSE(ask("entry-1"));
  query.is_retry = false;
  for (int i = 0; i < 21; ++i) CHECK(ask("entry-" + std::to_string(i)));
  // One host spends what all of them earned.
  query.is_retry = true;
  CHECK(ask("entry-1"));
  CHECK(ask("entry-1"));
  CHECK_FALSE(ask("entry-1"));
}

TEST_CASE("the leader is the last of the hubs to go to", "[fleet]") {
  TwoHubs hubs;
  const HubHost other = {"10.0.0.2:7", ZoneId("kochi")};
  const auto told = [&] {
    hubs.number = 1;
    return hubs.leader
        .Take(hubs.now, kEntry, false, hubs.AReport(), hubs.record)
        .hubs;
  };
  hubs.leader.SetHubs({other}, "10.0.0.1:7");
  REQUIRE(told().size() == 2);
  hubs.leader.SetHubs({other}, "");
  CHECK(told().front().address == "10.0.0.1:7");
  hubs.leader.SetHubs({other}, "10.0.0.1:7");
  CHECK(told().front() == other);
}

TEST_CASE("judgements of servers are not pushed to entry hosts", "[fleet]") {
  TwoHubs hubs;
  hubs.leader.Hear(hubs.now, AServer("a"), hubs.record);
  hubs.leader.Hear(hubs.now, AServer("b"), hubs.record);
  EntryReport report = hubs.AReport();
  report.board_id = 1;
  hubs.leader.Take(hubs.now, kEntry, false, report, hubs.record);
  hubs.leader.Take(hubs.now, kRelay, true, hubs.AReport(), hubs.record);
  REQUIRE_FALSE(hubs.leader.HasNews(kEntry));
  report = hubs.AReport();
  report.board_id = 1;
  report.outcomes[BackendId("a")] = {0, 0, 1};
  hubs.leader.Take(hubs.now, HostId("entry-2"), false, report, hubs.record);
  CHECK_FALSE(hubs.leader.HasNews(kEntry));
  CHECK(hubs.leader.HasNews(kRelay));
  // They come with the next answer, or with a new server.
  hubs.leader.Hear(hubs.now, AServer("c"), hubs.record);
  CHECK(hubs.leader.HasNews(kEntry));
  CHECK(hubs.leader.News(hubs.now, kEntry, hubs.record).servers.size() == 2);
}

}  // namespace
}  // namespace sapphirebank
