#include "sapphirebank/fleet/fleet_messages.h"

#include <catch2/catch.hpp>

#include "unit_tests/fleet/rollout_fixtures.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

template <typename Message>
json RoundTrip(const Message& message) {
  std::string bytes;
  json::to_cbor(json(message), bytes);
  return json(json::from_cbor(bytes).get<Message>());
}

TEST_CASE("messages survive their encoding", "[fleet]") {
  EntryReport report;
  report.number = 7;
  report.ready_hosts = {{"10.0.0.1:80", ZoneId("kochi")}};
  report.entry_hosts = 3;
  report.applied_changes = 12;
  report.ends_without_contact = true;
  report.registry_id = ~std::uint64_t{0};
  report.outcomes[BackendId("a")] = {1, 2, 3};
  report.requests[ServiceId("desk")] = 9;
  report.wanted_tokens[WorkspaceId("north")] = 2;
  report.crashes.push_back(
      {~std::uint64_t{0}, BackendId("a"), std::chrono::seconds(2)});
  report.quarantines.push_back({~std::uint64_t{0}, std::chrono::seconds(9)});
  report.rate_limits[BackendId("a")] = 2.5;
  report.rate_limits[BackendId("b")] = std::nullopt;
  RolloutSamples& samples = report.rollout_samples[ServiceId("desk")];
  samples.target[BackendId("b")]["lookup"].failed = 3;
  samples.target[BackendId("b")]["lookup"].answered.at(7) = 4;
  samples.others["posting"].answered.back() = 1;
  CHECK(json(report).get<EntryReport>().rollout_samples ==
        report.rollout_samples);
  report.known_servers = {MakeServer("a"),
                          MakeServer("b", "fann", 1'700'000'000'000, 4)};
  CHECK(RoundTrip(report) == json(report));
  CHECK(RoundTrip(EntryReport()) == json(EntryReport()));

  FleetUpdate update;
  update.answered_report = 7;
  update.quorum_age = std::chrono::milliseconds(20);
  update.record_changes = 3;
  update.is_electing = true;
  update.gates_changes = true;
  update.has_newest_update = true;
  update.full_registry = true;
  update.servers = {{MakeServer("a"), ServerHealth::kProbation,
                     std::chrono::seconds(2), true, 0.5},
                    {MakeServer("b"), ServerHealth::kUp, {}, false}};
  update.plan = PlanUpdate{8, PlanVersion{7}, "[]"};
  update.shared_state = true;
  update.zones_out = {ZoneId("kochi")};
  update.request_rates[ServiceId("desk")] = 12.5;
  update.quarantines = {{1, std::chrono::seconds(5)},
                        {~std::uint64_t{0}, std::chrono::seconds(9)}};
  update.versions = MakeVersions(MakeRollout(RolloutPhase::kSwitch));
  update.versions->current_versions[ServiceId("tiller")] = "v7";
  CHECK(json(update).get<FleetUpdate>().versions == update.versions);
  update.entry_hosts = 44;
  update.hubs = {{"10.0.0.9:7", ZoneId("fann")}};
  update.granted[WorkspaceId("north")] = {1, 2};
  CHECK(RoundTrip(update) == json(update));
  CHECK(RoundTrip(FleetUpdate()) == json(FleetUpdate()));
}

// Guards against hosts of one build that drop the messages of the build before
// while they are replaced one after the other.
TEST_CASE("messages without the members of later builds are read", "[fleet]") {
  const ReadyHost host = json::array({"10.0.1.1:80", "kochi"}).get<ReadyHost>();
  CHECK(host.address == "10.0.1.1:80");
  CHECK(host.reaches_servers);
  json update = FleetUpdate();
  CHECK_FALSE(update.contains("newest"));
  CHECK_FALSE(update.get<FleetUpdate>().has_newest_update);
  update["general"] = {{"hosts", 3}};
  CHECK_FALSE(update.get<FleetUpdate>().versions);
  CHECK_FALSE(json(EntryReport()).contains("samples"));
  json announcement = MakeVersionedServer("a", "v1", 1);
  announcement.erase(announcement.size() - 1);
  CHECK(announcement.get<ServerAnnouncement>().version.empty());
}

TEST_CASE("a corrupt message is refused as a whole", "[fleet]") {
  FleetUpdate update;
  update.servers = {{MakeServer("a"), ServerHealth::kUp, {}, false}};
  const json good = update;
  const std::vector<std::function<void(json&)>> corruptions = {
      [](json& m) { m.erase("age"); },
      [](json& m) { m["age"] = -1; },
      [](json& m) { m["age"] = "soon"; },
      [](json& m) { m["servers"][0][1] = 9; },
      [](json& m) { m["servers"][0][0][2] = "nowhere"; },
      [](json& m) { m["servers"][0].erase(3); },
      [](json& m) { m["plan"] = json::object(); },
      [](json& m) { m = json::array(); }};
  for (const auto& corrupt : corruptions) {
    json message = good;
    corrupt(message);
    INFO(message.dump());
    CHECK_THROWS_AS(message.get<FleetUpdate>(), std::exception);
  }
}

// A host of the build before takes quarantines without their times and crashes
// without their ages; what it sends is understood.
TEST_CASE("quarantines are exchanged with hosts of the build before",
          "[fleet]") {
  FleetUpdate update;
  update.shared_state = true;
  update.quarantines = {{7, std::chrono::seconds(9)}};
  json text = update;
  CHECK(text.at("general").at("quarantined") == json({7}));
  text.at("general").erase("quarantines");
  const auto read = text.get<FleetUpdate>();
  REQUIRE(read.quarantines.size() == 1);
  CHECK(read.quarantines[0].request == 7);
  CHECK(read.quarantines[0].left > std::chrono::seconds(1));
  CHECK(read.quarantines[0].left < std::chrono::seconds(9));
  EntryReport report;
  report.crashes = {{7, BackendId("a"), std::chrono::seconds(2)}};
  json crashes = report;
  CHECK(crashes.at("crashes").at(0).at(0) == 7);
  CHECK(crashes.at("crashes").at(0).at(1) == "a");
  crashes.at("crashes").at(0).erase(2);
  CHECK(crashes.get<EntryReport>().crashes.at(0).age == Duration::zero());
}

}  // namespace
}  // namespace sapphirebank
