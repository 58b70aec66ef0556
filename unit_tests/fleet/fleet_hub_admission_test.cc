#include <catch2/catch.hpp>

#include "unit_tests/fleet/leader_and_relay.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

DispatchQuery MakeQuery(RequestFingerprint fingerprint) {
  DispatchQuery query;
  query.service = ServiceId("desk");
  query.zone = ZoneId("kochi");
  query.latency_objective = milliseconds(400);
  query.time_left = seconds(1);
  query.route = "lookup";
  query.caller = kNorth;
  query.fingerprint = fingerprint;
  return query;
}

// A leader with one server of two slots that is no longer cold.
struct HubWithOneServer {
  LeaderAndRelay hubs;
  std::uint64_t number = 0;

  HubWithOneServer() {
    hubs.leader.ApplyHeartbeat(hubs.now, MakeServer("a"), hubs.record);
    hubs.now += seconds(60);
    hubs.leader.ApplyHeartbeat(hubs.now, MakeServer("a", "kochi", 1, 2),
                               hubs.record);
    hubs.leader.Tick(hubs.now);
  }

  DispatchChoice Ask(const DispatchQuery& query) {
    // Forecasts are not made for each request.
    hubs.now += ForecastCache::kMaxAge;
    return hubs.leader.Assign(hubs.now, {kEntry, ++number}, query)
        .value_or(DispatchChoice());
  }
};

TEST_CASE("a hub refuses what its servers cannot begin in time",
          "[admission]") {
  HubWithOneServer hub;
  CHECK_FALSE(hub.Ask(MakeQuery(1)).server.empty());
  CHECK_FALSE(hub.Ask(MakeQuery(2)).server.empty());
  DispatchQuery late = MakeQuery(3);
  late.time_left = milliseconds(100);
  late.workspace = kNorth;
  const DispatchChoice choice = hub.Ask(late);
  CHECK(choice.server.empty());
  REQUIRE(choice.refusal);
  CHECK(choice.refusal->kind == ErrorKind::kQueueFull);
  // A request that is refused costs its workspace nothing.
  CHECK_FALSE(choice.has_token);
  const auto tallies = hub.hubs.leader.TakeAdmissionTallies();
  REQUIRE(tallies.size() == 1);
  CHECK(tallies[0].reason == AdmissionReason::kNoTime);
  CHECK(tallies[0].forecast.busy == 2);
  // One with time enough waits at the server.
  CHECK_FALSE(hub.Ask(MakeQuery(4)).server.empty());
}

TEST_CASE("a rejected request without retry budget is held, not charged",
          "[admission]") {
  HubWithOneServer hub;
  DispatchQuery retry = MakeQuery(1);
  retry.is_retry = true;
  int granted = 0;
  DispatchChoice choice;
  // Nothing adds to the budget, so it ends.
  while (!(choice = hub.Ask(retry)).server.empty()) {
    REQUIRE(++granted < 100);
    ++retry.fingerprint;
  }
  REQUIRE(choice.refusal);
  CHECK(choice.refusal->hold);
  for (int i = 0; i < 20; ++i) CHECK(hub.Ask(retry).server.empty());
  // A build before this one has no fingerprints and gets no refusal.
  retry.fingerprint = 0;
  CHECK_FALSE(hub.Ask(retry).refusal);
}

}  // namespace
}  // namespace sapphirebank
