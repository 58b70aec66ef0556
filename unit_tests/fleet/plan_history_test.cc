#include "sapphirebank/fleet/plan_history.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "sapphirebank/core/compression.h"
#include "sapphirebank/core/random.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxText = std::size_t{8} << 20U;

json PlanOf(int routes) {
  json plan = {{"version", "r1"}};
  for (int i = 0; i < routes; ++i) {
    plan["routes"][fmt::format("r-{:05}", i)] = {
        {"host", "desk.example"},
        {"path_prefix", fmt::format("/p{:05}/", i)},
        {"timeout", "800ms"},
        {"service", "desk"}};
  }
  return plan;
}

// Adds, changes or removes a few routes.
void ChangeAtRandom(json& plan, Random& random) {
  for (int i = 0; i < 3; ++i) {
    const std::string name = fmt::format("r-{:05}", random.Below(80));
    if (random.Chance(0.2)) {
      plan["routes"].erase(name);
    } else {
      plan["routes"][name]["timeout"] = fmt::format("{}ms", random.Below(900));
    }
  }
}

// Guards against control hosts that keep several parsed plans, each of ten
// times the size of its text.
TEST_CASE("the plans behind the newest one are kept as patches", "[fleet]") {
  PlanHistory history;
  json plan = PlanOf(2000);
  std::size_t text_bytes = 0;
  for (PlanVersion version = 1; version <= 40; ++version) {
    plan["version"] = fmt::format("r{}", version);
    plan["routes"]["r-00000"]["timeout"] = fmt::format("{}ms", version);
    const std::string text = plan.dump();
    text_bytes = text.size();
    history.Add(version, text);
    const PlanUpdate update = history.UpdateSince(version - 1);
    CHECK(update.base.has_value() == (version > 1));
    CHECK(history.bytes() < 2 * text_bytes);
  }
  // Plans that have nothing in common need no patches either.
  for (int i = 0; i < 10; ++i) {
    json other = {{"version", "r50"}};
    for (int j = 0; j < 2000; ++j) {
      other["routes"][fmt::format("q{}-{}", i, j)] = {{"service", "desk"}};
    }
    const std::string text = other.dump();
    history.Add(41 + i, text);
    CHECK(history.bytes() < 3 * text.size());
  }
}

TEST_CASE("a patch leads from each of the last plans to the newest one",
          "[fleet]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    PlanHistory history;
    std::map<PlanVersion, json> plans;
    json plan = PlanOf(60);
    for (PlanVersion version = 1; version <= 20; ++version) {
      // Some versions differ in nothing but their number.
      if (random.Chance(0.8)) ChangeAtRandom(plan, random);
      plans[version] = plan;
      history.Add(version, plan.dump());
      for (const auto& [held, document] : plans) {
        const PlanUpdate update = history.UpdateSince(held);
        const json text =
            json::parse(Decompress(update.compressed_text, kMaxText).value());
        CAPTURE(version, held, update.base.has_value());
        CHECK(update.version == version);
        CHECK((update.base ? document.patch(text) : text) == plan);
        if (update.base) CHECK(update.base == held);
      }
    }
  }
}

}  // namespace
}  // namespace sapphirebank
