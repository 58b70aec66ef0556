#include "sapphirebank/fleet/fleet_messages.h"

#include <catch2/catch.hpp>

#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

template <typename Message>
json ThereAndBack(const Message& message) {
  std::string bytes;
  json::to_cbor(json(message), bytes);
  return json(json::from_cbor(bytes).get<Message>());
}

TEST_CASE("messages between hosts survive their encoding", "[fleet]") {
  EntryReport report;
  report.number = 7;
  report.ready = {{"10.0.0.1:80", ZoneId("kochi")}};
  report.entry_hosts = 3;
  report.board_id = ~std::uint64_t{0};
  report.outcomes[BackendId("a")] = {1, 2, 3};
  report.requests[ServiceId("desk")] = 9;
  report.wanted[WorkspaceId("north")] = 2;
  report.crashes.push_back({~std::uint64_t{0}, BackendId("a")});
  report.known = {AServer("a"), AServer("b", "fann", 1'700'000'000'000, 4)};
  CHECK(ThereAndBack(report) == json(report));
  CHECK(ThereAndBack(EntryReport()) == json(EntryReport()));

  FleetUpdate update;
  update.answers = 7;
  update.age = std::chrono::milliseconds(20);
  update.record = 3;
  update.whole_board = true;
  update.servers = {
      {AServer("a"), Standing::kProbation, std::chrono::seconds(2), true}};
  update.plan = PlanNews{8, PlanVersion{7}, "[]"};
  update.general = true;
  update.zones_out = {ZoneId("kochi")};
  update.request_rates[ServiceId("desk")] = 12.5;
  update.quarantined = {1, ~std::uint64_t{0}};
  update.entry_hosts = 44;
  update.hubs = {{"10.0.0.9:7", ZoneId("fann")}};
  update.granted[WorkspaceId("north")] = {1, 2};
  CHECK(ThereAndBack(update) == json(update));
  CHECK(ThereAndBack(FleetUpdate()) == json(FleetUpdate()));
}

TEST_CASE("a message that is spoiled is refused as a whole", "[fleet]") {
  FleetUpdate update;
  update.servers = {{AServer("a"), Standing::kUp, {}, false}};
  const json good = update;
  const std::vector<std::function<void(json&)>> spoils = {
      [](json& m) { m.erase("age"); },
      [](json& m) { m["age"] = -1; },
      [](json& m) { m["age"] = "soon"; },
      [](json& m) { m["servers"][0][1] = 9; },
      [](json& m) { m["servers"][0][0][2] = "nowhere"; },
      [](json& m) { m["servers"][0].erase(3); },
      [](json& m) { m["plan"] = json::object(); },
      [](json& m) { m = json::array(); }};
  for (const auto& spoil : spoils) {
    json message = good;
    spoil(message);
    INFO(message.dump());
    CHECK_THROWS_AS(message.get<FleetUpdate>(), std::exception);
  }
}

}  // namespace
}  // namespace sapphirebank
