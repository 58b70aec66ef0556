#include "sapphirebank/fleet/traffic_plan.h"

#include <catch2/catch.hpp>

#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

TEST_CASE("an invalid plan is refused", "[fleet]") {
  struct Case {
    std::string cause;
    std::function<void(TrafficPlanParts&)> corrupt;
  };
  const std::vector<Case> cases = {
      {"unknown service",
       [](auto& p) { p.routes[0].shares[0].service = ServiceId("none"); }},
      {"another route", [](auto& p) { p.routes.push_back(p.routes[0]); }},
      {"weight below 0", [](auto& p) { p.routes[0].shares[0].weight = -1; }},
      {"no weight above 0", [](auto& p) { p.routes[0].shares[0].weight = 0; }},
      {"no tries", [](auto& p) { p.routes[0].max_tries = 0; }},
      {"leading slash", [](auto& p) { p.routes[0].path_prefix = "lookup/"; }},
      {"no host", [](auto& p) { p.routes[0].host.clear(); }},
      {"no timeout", [](auto& p) { p.routes[0].timeout = {}; }},
      {"no service", [](auto& p) { p.routes[0].shares.clear(); }},
      {"given out twice",
       [](auto& p) {
         p.workspaces.push_back({WorkspaceId("south"), {"key-1"}, 0, 0});
       }},
      {"below 0", [](auto& p) { p.workspaces[0].rate = -1; }},
  };
  REQUIRE(TrafficPlan::Create(MakePlanParts()));
  for (const Case& each : cases) {
    TrafficPlanParts parts = MakePlanParts();
    each.corrupt(parts);
    const auto plan = TrafficPlan::Create(std::move(parts));
    INFO(each.cause);
    REQUIRE_FALSE(plan);
    CHECK(plan.error().kind == ErrorKind::kInvalidDeclaration);
    CHECK_THAT(plan.error().detail, Catch::Contains(each.cause));
  }
}

TEST_CASE("a request is routed by the longest matching path prefix",
          "[fleet]") {
  TrafficPlanParts parts = MakePlanParts();
  PlannedRoute inner = parts.routes[0];
  inner.name = "inner";
  inner.path_prefix = "/lookup/inner/";
  parts.routes.push_back(inner);
  PlannedRoute root = parts.routes[0];
  root.name = "root";
  root.host = "other.example";
  root.path_prefix = "/";
  parts.routes.push_back(root);
  const auto plan = MakePlan(std::move(parts));
  const auto name = [&](std::string_view host, std::string_view target) {
    const PlannedRoute* route = plan->FindRoute(host, target);
    return route == nullptr ? std::string("none") : route->name;
  };
  CHECK(name("desk.example", "/lookup/1") == "lookup");
  CHECK(name("desk.example", "/lookup/") == "lookup");
  CHECK(name("desk.example", "/lookup/inner/1?x=/lookup/") == "inner");
  CHECK(name("desk.example", "/lookup/inner") == "lookup");
  CHECK(name("desk.example", "/lookup") == "none");
  CHECK(name("desk.example", "/") == "none");
  CHECK(name("desk.example", "") == "none");
  CHECK(name("other.example", "/a/b") == "root");
  CHECK(name("none.example", "/lookup/1") == "none");
}

TEST_CASE("a key identifies its workspace", "[fleet]") {
  const auto plan = MakePlan(MakePlanParts());
  REQUIRE(plan->FindKey("key-1") != nullptr);
  CHECK(plan->FindKey("key-1")->id == WorkspaceId("north"));
  CHECK(plan->FindKey("key-2") == nullptr);
  CHECK(plan->FindKey("") == nullptr);
}

// Guards against routes that open when the last workspace is removed.
TEST_CASE("requests need a key while the plan has a table of workspaces",
          "[fleet]") {
  TrafficPlanParts parts = MakePlanParts();
  CHECK(MakePlan(parts)->needs_keys());
  parts.workspaces.clear();
  CHECK_FALSE(MakePlan(parts)->needs_keys());
  parts.has_workspace_table = true;
  CHECK(MakePlan(parts)->needs_keys());
  CHECK(MakePlan(parts)->FindKey("key-1") == nullptr);
}

}  // namespace
}  // namespace sapphirebank
