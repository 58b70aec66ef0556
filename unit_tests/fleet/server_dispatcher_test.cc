#include "sapphirebank/fleet/server_dispatcher.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <vector>

#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

struct Bench {
  ServerBoard board{ServerBoardSettings()};
  FleetRecord record;
  std::shared_ptr<const TrafficPlan> plan = MakePlan(APlan());
  std::set<ZoneId> zones_out;
  ServerDispatcher dispatcher{ServerDispatcherSettings(), ZoneId("kochi"),
                              Random(3)};
  std::uint64_t next = 1;
  ZoneId zone{"kochi"};  // Of the asking host.
  bool is_retry = false;

  std::string Assign(Instant now, bool repeatable = false,
                     std::set<BackendId> excluded = {}) {
    const DispatchQuery query = {ServiceId("desk"), zone, repeatable, is_retry,
                                 std::move(excluded)};
    const auto choice = dispatcher.Assign(now, {HostId("entry"), next++}, query,
                                          board, zones_out, *plan);
    return choice ? choice->server.value() : "";
  }
};

TEST_CASE("requests go to the server with the least in work", "[fleet]") {
  Bench bench;
  for (const char* id : {"a", "b", "c"}) {
    bench.board.Hear(kStart, AServer(id), bench.record);
  }
  std::map<std::string, int> counts;
  for (int i = 0; i < 6; ++i) ++counts[bench.Assign(kStart)];
  for (const auto& [id, count] : counts) CHECK(count == 2);
  // An end makes room.
  bench.dispatcher.End({HostId("entry"), 1}, AssignmentEnd::kUnjudged);
  bench.dispatcher.End({HostId("entry"), 1}, AssignmentEnd::kUnjudged);
  const auto first = bench.Assign(kStart);
  CHECK_FALSE(first.empty());
  // A host that is gone ends all it had.
  bench.dispatcher.EndAll(HostId("entry"));
  counts.clear();
  for (int i = 0; i < 3; ++i) ++counts[bench.Assign(kStart)];
  CHECK(counts.size() == 3);
}

TEST_CASE("another zone is asked when this one is full or out", "[fleet]") {
  Bench bench;
  bench.board.Hear(kStart, AServer("near", "kochi"), bench.record);
  bench.board.Hear(kStart, AServer("far", "fann"), bench.record);
  // Two slots and two that may wait.
  for (int i = 0; i < 4; ++i) CHECK(bench.Assign(kStart) == "near");
  CHECK(bench.Assign(kStart) == "far");
  bench.dispatcher.EndAll(HostId("entry"));
  CHECK(bench.Assign(kStart, false, {BackendId("near")}) == "far");
  bench.zones_out = {ZoneId("kochi")};
  CHECK(bench.Assign(kStart) == "far");
  bench.zones_out = {ZoneId("kochi"), ZoneId("fann")};
  CHECK(bench.Assign(kStart).empty());
}

TEST_CASE("a hub that stands in uses the servers of the host's zone",
          "[fleet]") {
  Bench bench;
  bench.board.Hear(kStart, AServer("kochi", "kochi"), bench.record);
  bench.board.Hear(kStart, AServer("fann", "fann"), bench.record);
  bench.zone = ZoneId("fann");
  for (int i = 0; i < 4; ++i) CHECK(bench.Assign(kStart) == "fann");
  CHECK(bench.Assign(kStart) == "kochi");
}

TEST_CASE("only repeatable requests probe a server on probation", "[fleet]") {
  Bench bench;
  bench.board.Hear(kStart, AServer("a", "kochi"), bench.record);
  bench.board.Hear(kStart, AServer("b", "kochi"), bench.record);
  bench.board.AddOutcomes(kStart, BackendId("a"), {0, 0, 1});
  for (int i = 0; i < 3; ++i) CHECK(bench.Assign(kStart, true) == "b");
  bench.board.Tick(kStart + seconds(1));
  bench.dispatcher.EndAll(HostId("entry"));
  for (int i = 0; i < 3; ++i) CHECK(bench.Assign(kStart, false) == "b");
  CHECK(bench.Assign(kStart, true) == "a");
}

TEST_CASE("a server that broke a request off rests until it is judged",
          "[fleet]") {
  Bench bench;
  bench.board.Hear(kStart, AServer("a", "kochi"), bench.record);
  bench.board.Hear(kStart, AServer("b", "kochi"), bench.record);
  bench.dispatcher.Suspect(kStart, BackendId("a"));
  for (int i = 0; i < 3; ++i) CHECK(bench.Assign(kStart) == "b");
  CHECK(bench.Assign(kStart + seconds(1)) == "a");
}

TEST_CASE("what must run once goes where a lookup was just taken", "[fleet]") {
  Bench bench;
  for (const char* id : {"a", "b", "c", "d"}) {
    bench.board.Hear(kStart, AServer(id), bench.record);
  }
  const std::string proven = bench.Assign(kStart, true);
  const Instant later = kStart + milliseconds(100);
  CHECK(bench.Assign(later) == proven);
  // The next lookup proves another server.
  const std::string next = bench.Assign(later, true);
  CHECK(next != proven);
  CHECK(bench.Assign(later + milliseconds(100)) == next);
}

TEST_CASE("a retry goes to a server that was proven", "[fleet]") {
  Bench bench;
  bench.board.Hear(kStart, AServer("a"), bench.record);
  bench.board.Hear(kStart, AServer("b"), bench.record);
  bench.board.AddOutcomes(kStart, BackendId("a"), {0, 0, 1});
  bench.board.Tick(kStart + seconds(1));
  REQUIRE(bench.board.entries().at(BackendId("a")).state.standing ==
          Standing::kProbation);
  bench.is_retry = true;
  CHECK(bench.Assign(kStart + seconds(1), true) == "b");
  bench.is_retry = false;
  CHECK(bench.Assign(kStart + seconds(1), true) == "a");
}

TEST_CASE("servers that fail in turn meet lookups first", "[fleet]") {
  // 20 servers, of which one at a time breaks everything off for a second.
  Bench bench;
  constexpr int kServers = 20;
  for (int i = 0; i < kServers; ++i) {
    bench.board.Hear(kStart, AServer("s" + std::to_string(i)), bench.record);
  }
  int lost = 0;
  int once = 0;
  for (int step = 0; step < 6'000; ++step) {
    const Instant now = kStart + step * milliseconds(5);
    const std::string bad = "s" + std::to_string(step / 200 % kServers);
    const bool repeatable = step % 5 < 2;
    const AssignmentId id = {HostId("entry"), bench.next};
    const std::string server = bench.Assign(now, repeatable);
    REQUIRE_FALSE(server.empty());
    if (!repeatable) ++once;
    if (server != bad) {
      bench.dispatcher.End(id, AssignmentEnd::kServed);
      continue;
    }
    if (!repeatable) ++lost;
    bench.dispatcher.End(id, AssignmentEnd::kFailed);
    bench.dispatcher.Suspect(now, BackendId(bad));
  }
  // By load alone each of the 30 episodes costs two requests or more.
  CHECK(lost <= 10);
  CHECK(once == 3'600);
}

TEST_CASE("a cold server keeps to its rate in every second", "[fleet]") {
  Bench bench;
  ServerAnnouncement cold = AServer("cold");
  cold.warm_up_left = seconds(10);
  bench.board.Hear(kStart, cold, bench.record);
  bench.board.Hear(kStart, AServer("warm"), bench.record);
  // The platform's bound: rate x 1.5 + 5 in any second.
  const double bound = 6 * 1.5 + 5;
  std::deque<Instant> sent;
  std::size_t most = 0;
  for (int i = 0; i < 5000; ++i) {
    const Instant now = kStart + i * milliseconds(2);
    if (bench.Assign(now) == "cold") sent.push_back(now);
    bench.dispatcher.EndAll(HostId("entry"));
    while (!sent.empty() && now - sent.front() >= seconds(1)) sent.pop_front();
    most = std::max(most, sent.size());
  }
  CHECK(most > 0);
  CHECK(static_cast<double>(most) <= bound);
}

TEST_CASE("all hubs of a zone together keep to a cold server's rate",
          "[fleet]") {
  // The bound of the larger sites, of which hosts that choose themselves and
  // hubs of other zones need a part.
  constexpr double kRate = 3.9;
  constexpr double kBound = kRate * 1.5 + 8;
  constexpr double kPartOfOthers = 0.25;
  const auto hub_count = GENERATE(std::size_t{1}, 2, 3);
  TrafficPlanParts parts = APlan();
  parts.services[0].warm_up_rate = kRate;
  std::vector<std::unique_ptr<Bench>> hubs;
  for (std::size_t i = 0; i < hub_count; ++i) {
    hubs.push_back(std::make_unique<Bench>());
    Bench& hub = *hubs.back();
    hub.plan = MakePlan(parts);
    hub.dispatcher.SetHubsOfZone(hub_count);
    ServerAnnouncement cold = AServer("cold");
    cold.warm_up_left = seconds(30);
    hub.board.Hear(kStart, cold, hub.record);
    hub.board.Hear(kStart, AServer("warm"), hub.record);
  }
  std::deque<Instant> sent;
  std::size_t most = 0;
  for (int i = 0; i < 6000; ++i) {
    const Instant now = kStart + i * milliseconds(2);
    Bench& hub = *hubs[static_cast<std::size_t>(i) % hub_count];
    if (hub.Assign(now) == "cold") sent.push_back(now);
    hub.dispatcher.EndAll(HostId("entry"));
    while (!sent.empty() && now - sent.front() >= seconds(1)) sent.pop_front();
    most = std::max(most, sent.size());
  }
  CHECK(most > 0);
  CHECK(static_cast<double>(most) <= kBound * (1 - kPartOfOthers));
}

TEST_CASE("assignments whose end is lost are forgotten", "[fleet]") {
  Bench bench;
  bench.board.Hear(kStart, AServer("near", "kochi"), bench.record);
  bench.board.Hear(kStart, AServer("far", "fann"), bench.record);
  for (int i = 0; i < 5; ++i) bench.Assign(kStart);
  bench.dispatcher.Tick(kStart + ServerDispatcherSettings().assignment_life);
  CHECK(bench.Assign(kStart) == "near");
}

}  // namespace
}  // namespace sapphirebank
