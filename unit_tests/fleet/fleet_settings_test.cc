#include "sapphirebank/fleet/fleet_settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace sapphirebank {
namespace {

using nlohmann::json;

json EntrySettings() {
  return {{"role", "entry"},
          {"host", "front-1"},
          {"ip", "10.0.0.5"},
          {"zone", "kochi"},
          {"listeners",
           {{"callers", "10.0.0.5:80"},
            {"readiness", "10.0.0.5:81"},
            {"fleet_port", 7000}}},
          {"seeds", {"10.0.0.1:82", "10.0.0.2:82"}},
          {"found_group", true},
          {"key_withdrawal", "5000ms"},
          {"plan_change", "2500ms"},
          {"server_departure", "2s"},
          {"zone_change", "5s"},
          {"acknowledgement", "4s"},
          {"rollout_share", 0.1},
          {"rollout_slack", 50},
          {"rollback", "5000ms"},
          {"retry_slack", 62},
          {"memory_mb", 160},
          {"link_mbps", 2.8}};
}

TEST_CASE("settings of an entry host are read", "[fleet]") {
  const auto settings =
      FleetSettings::Parse("// filled in\n" + EntrySettings().dump(), "s.json");
  REQUIRE(settings);
  CHECK(settings->role == FleetRole::kEntry);
  CHECK(settings->callers == Endpoint{"10.0.0.5", 80});
  CHECK_FALSE(settings->metrics);
  CHECK(settings->seeds.size() == 2);
  CHECK(settings->FleetEndpoint(settings->seeds[1]) ==
        Endpoint{"10.0.0.2", 7000});
  CHECK(settings->change_limits.key_withdrawal == std::chrono::seconds(5));
  CHECK(settings->change_limits.plan == std::chrono::milliseconds(2500));
  CHECK(settings->change_limits.departure == std::chrono::seconds(2));
  CHECK(settings->change_limits.zone == std::chrono::seconds(5));
  CHECK(settings->change_limits.acknowledgement == std::chrono::seconds(4));
  CHECK(settings->rollout_share == Approx(0.1));
  CHECK(settings->rollout_slack == Approx(50));
  CHECK(settings->rollback == std::chrono::seconds(5));
  CHECK(settings->found_group);
  CHECK(settings->MaxAnswerBytes() == std::size_t{40} << 20U);
  CHECK(settings->LinkRate() == Approx(350'000));
}

TEST_CASE("requests are placed by work where the settings ask for it",
          "[fleet]") {
  nlohmann::json settings = EntrySettings();
  CHECK_FALSE(FleetSettings::Parse(settings.dump(), "s.json")->place_by_work);
  settings["place_by_work"] = true;
  CHECK(FleetSettings::Parse(settings.dump(), "s.json")->place_by_work);
}

TEST_CASE("errors in settings name file, place and cause", "[fleet]") {
  struct Case {
    std::function<void(json&)> corrupt;
    std::vector<std::string> words;
  };
  const std::vector<Case> cases = {
      {[](json& s) { s["role"] = "door"; }, {"s.json", "/role"}},
      {[](json& s) { s.erase("zone"); }, {"s.json", "/zone"}},
      {[](json& s) { s["listeners"]["callers"] = "here"; },
       {"/listeners/callers", "here"}},
      {[](json& s) { s["listeners"]["metrics"] = "9464"; },
       {"/listeners/metrics", "9464"}},
      {[](json& s) { s["listeners"].erase("readiness"); },
       {"/listeners/readiness"}},
      {[](json& s) { s["listeners"]["fleet_port"] = 70'000; },
       {"/listeners/fleet_port"}},
      {[](json& s) { s["seeds"] = {"one"}; }, {"/seeds", "one"}},
      {[](json& s) { s["grace"] = "soon"; }, {"/grace"}},
      {[](json& s) { s["retry_slack"] = -1; }, {"/retry_slack"}},
      {[](json& s) { s["rollout_share"] = 1.5; }, {"/rollout_share"}},
      {[](json& s) { s["rollout_slack"] = -1; }, {"/rollout_slack"}},
      {[](json& s) { s["rollback"] = "soon"; }, {"/rollback"}},
      {[](json& s) { s["log_level"] = "loud"; }, {"/log_level"}},
      {[](json& s) { s["colour"] = "red"; }, {"/colour"}},
      {[](json& s) { s["role"] = "control"; },
       {"/listeners/control", "/data_folder"}}};
  for (const Case& each : cases) {
    json document = EntrySettings();
    each.corrupt(document);
    const auto settings = FleetSettings::Parse(document.dump(), "s.json");
    INFO(document.dump());
    REQUIRE_FALSE(settings);
    CHECK(settings.error().kind == ErrorKind::kInvalidSettings);
    for (const std::string& word : each.words) {
      CHECK_THAT(settings.error().detail, Catch::Contains(word));
    }
  }
  CHECK_FALSE(FleetSettings::Parse("{", "s.json"));
}

}  // namespace
}  // namespace sapphirebank
