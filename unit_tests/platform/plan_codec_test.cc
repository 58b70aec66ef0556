#include "platform/plan_codec.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "sapphirebank/fleet/entry_view.h"
#include "sapphirebank/fleet/plan_history.h"
#include "unit_tests/platform/configuration.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

json PlanJson(int version) {
  return {{"version", "r" + std::to_string(version)},
          {"routes",
           {{"order",
             {{"host", "desk.example"},
              {"pathPrefix", "/order/"},
              {"kind", "unsafe"},
              {"timeout", "1s"},
              {"service", "desk"},
              {"maxAttempts", 2}}}}},
          {"services", {{"desk", json::object()}}}};
}

// Guards against keys that are taken away with the last tenant and open all
// routes in place of closing them.
TEST_CASE("a plan with an empty table of tenants needs keys", "[platform]") {
  json plan = PlanJson(1);
  CHECK_FALSE(ReadPlanDocument(plan.dump()).value()->needs_keys());
  plan["tenants"] = json::object();
  CHECK(ReadPlanDocument(plan.dump()).value()->needs_keys());
  plan["tenants"]["north"] = {{"apiKeys", json::array()}};
  CHECK(ReadPlanDocument(plan.dump()).value()->needs_keys());
  // What the build before stored as a plan without keys.
  plan["tenants"] = nullptr;
  CHECK_FALSE(ReadPlanDocument(plan.dump()).value()->needs_keys());
}

// The same at an entry host, which gets changes to the plan that it has.
TEST_CASE("an entry host learns that the last tenant is removed",
          "[platform]") {
  PlanHistory history;
  EntryView view(ReadPlanDocument, ViewLeaseSettings());
  const Instant now{std::chrono::seconds(1000)};
  PlanVersion known = 0;
  const auto needs_keys = [&](const json& plan) {
    const PlanVersion version = known + 1;
    history.Add(version, plan.dump());
    FleetUpdate update;
    update.plan = history.UpdateSince(known);
    known = version;
    REQUIRE(view.Apply(now, now, update));
    return view.plan()->needs_keys();
  };
  json plan = PlanJson(1);
  CHECK_FALSE(needs_keys(plan));
  plan["version"] = "r2";
  plan["tenants"]["north"]["apiKeys"] = {"key-north"};
  CHECK(needs_keys(plan));
  plan["version"] = "r3";
  plan["tenants"] = json::object();
  CHECK(needs_keys(plan));
  CHECK(view.plan()->FindKey("key-north") == nullptr);
  plan["version"] = "r4";
  plan.erase("tenants");
  CHECK_FALSE(needs_keys(plan));
}

// Adds the places of `value` and of all values inside it to `places`.
void ListPlaces(const json& value, const json::json_pointer& at,
                std::vector<json::json_pointer>& places) {
  places.push_back(at);
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) {
      ListPlaces(inner, at / name, places);
    }
  } else if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) {
      ListPlaces(value[i], at / i, places);
    }
  }
}

// Guards against configurations that are acknowledged and in force with parts
// of them lost, such as the name of a tenant that is listed.
TEST_CASE("a configuration with a value of another type is refused",
          "[platform]") {
  const json sound = ConfigurationJson();
  REQUIRE(ReadNewPlanDocument(sound.dump()));
  std::vector<json::json_pointer> places;
  ListPlaces(sound, json::json_pointer(), places);
  CHECK(places.size() > 45);
  const std::vector<json> values = {
      nullptr, true, 7, 7.5, -1, "x", json::array(), json::object()};
  for (const json::json_pointer& place : places) {
    for (const json& value : values) {
      json plan = sound;
      const auto type = [](const json& of) {
        return of.is_number() ? json::value_t::number_float : of.type();
      };
      if (type(plan[place]) == type(value)) continue;
      plan[place] = value;
      CAPTURE(place.to_string(), value.dump());
      const auto read = ReadNewPlanDocument(plan.dump());
      REQUIRE_FALSE(read);
      CHECK(AnswerFor(read.error().kind).http_status / 100 == 4);
    }
  }
}

TEST_CASE("a configuration with a value out of range is refused",
          "[platform]") {
  const std::vector<std::pair<const char*, json>> wrong = {
      {"/tenants/t1/ratePerS", -1},
      {"/tenants/t1/burst", -0.5},
      {"/tenants/t1/priority", -1},
      {"/tenants/t1/priority", 1.5},
      {"/tenants/t1/apiKeys", "k1"},
      {"/tenants/t1/apiKeys/0", 7},
      {"/services/s1/maxConnections", -1},
      {"/services/s1/warmupPerS", -1},
      {"/services/s1/warmup", "3"},
      {"/limits/maxBodyBytes", -1},
      {"/limits/idleTimeout", "15 s"},
      {"/routes/r-1/maxAttempts", 2.5},
      {"/routes/r-1/maxAttempts", 4294967298},
      {"/routes/r-1/trafficSplit", {{"s1", 90}}},
      {"/routes/r-1/trafficSplit", json::array()}};
  for (const auto& [place, value] : wrong) {
    json plan = ConfigurationJson();
    plan[json::json_pointer(place)] = value;
    CAPTURE(place, value.dump());
    const auto read = ReadNewPlanDocument(plan.dump());
    REQUIRE_FALSE(read);
    CHECK_FALSE(read.error().detail.empty());
  }
  json listed = ConfigurationJson();
  listed["tenants"] = {{{"name", "t1"}, {"apiKeys", {"k1"}}}};
  CHECK(ReadNewPlanDocument(listed.dump()).error().detail ==
        "malformed configuration: tenants: expected a table");
}

TEST_CASE("a configuration with two entries of one name is refused",
          "[platform]") {
  const std::string sound = ConfigurationJson().dump();
  for (const std::string name : {"tenants", "t1", "r-2", "s2", "weight"}) {
    const std::string entry = '"' + name + "\":";
    std::string plan = sound;
    plan.insert(plan.find(entry), entry + "{},");
    CAPTURE(plan);
    CHECK_FALSE(ReadNewPlanDocument(plan));
  }
}

// Guards against valid configurations that are refused, and against a host that
// refuses the plan in force after an upgrade.
TEST_CASE("unknown fields are allowed, and accepted plans are read as before",
          "[platform]") {
  json plan = ConfigurationJson();
  plan["comment"] = {"any", 7, nullptr};
  plan["routes"]["r-1"]["owner"] = json::object();
  plan["routes"]["r-2"]["trafficSplit"] = nullptr;
  plan["services"]["s1"]["tier"] = true;
  plan["tenants"]["t1"]["contact"] = nullptr;
  plan["limits"]["later"] = -1;
  plan["routes"]["r-1"]["maxAttempts"] = 2.0;
  CHECK(ReadNewPlanDocument(plan.dump()));
  plan["tenants"] = {{{"apiKeys", {"k1"}}}};
  plan["services"]["s1"]["maxConnections"] = "many";
  CHECK_FALSE(ReadNewPlanDocument(plan.dump()));
  CHECK(ReadPlanDocument(plan.dump()));
}

}  // namespace
}  // namespace sapphirebank
