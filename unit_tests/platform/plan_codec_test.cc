#include "platform/plan_codec.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "sapphirebank/fleet/entry_view.h"
#include "sapphirebank/fleet/plan_history.h"

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

}  // namespace
}  // namespace sapphirebank
