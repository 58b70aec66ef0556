#include "sapphirebank/fleet/entry_view.h"

#include <catch2/catch.hpp>

#include "sapphirebank/fleet/server_chooser.h"
#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Duration kPermission = seconds(4);

// Reads documents of the form {"version": n}.
Result<std::shared_ptr<const TrafficPlan>> ReadTestPlan(
    std::string_view document) {
  const auto parsed = nlohmann::json::parse(document);
  if (!parsed.contains("version")) {
    return Fail(ErrorKind::kMalformedRequest, "no version");
  }
  return TrafficPlan::Create(APlan(parsed["version"].get<PlanVersion>()));
}

FleetUpdate AnUpdate(std::uint64_t record, PlanVersion version = 0) {
  FleetUpdate update;
  update.record = record;
  update.board_id = 1;
  if (version > 0) {
    update.plan = PlanNews{version, std::nullopt,
                           nlohmann::json{{"version", version}}.dump()};
  }
  return update;
}

TEST_CASE("keys are good for a time after the leader's proof", "[fleet]") {
  EntryView view(ReadTestPlan, kPermission);
  CHECK_FALSE(view.IsCurrent(kStart));
  FleetUpdate update = AnUpdate(1, 1);
  // News that nobody asked for prove nothing: they may be old.
  REQUIRE(view.Apply(kStart, std::nullopt, update));
  CHECK_FALSE(view.IsCurrent(kStart));
  // Time counts from the question, less the age of the proof.
  update.age = milliseconds(300);
  REQUIRE(view.Apply(kStart + seconds(1), kStart, update));
  CHECK(view.IsCurrent(kStart + kPermission - milliseconds(301)));
  CHECK_FALSE(view.IsCurrent(kStart + kPermission - milliseconds(300)));
  // A proof that is older takes nothing back.
  update.age = seconds(3);
  REQUIRE(view.Apply(kStart + seconds(1), kStart, update));
  CHECK(view.IsCurrent(kStart + kPermission - milliseconds(301)));
}

TEST_CASE("a hub that is behind is not believed", "[fleet]") {
  EntryView view(ReadTestPlan, kPermission);
  FleetUpdate update = AnUpdate(5, 3);
  update.general = true;
  update.zones_out = {ZoneId("kochi")};
  REQUIRE(view.Apply(kStart, kStart, update));
  FleetUpdate behind = AnUpdate(4);
  behind.general = true;
  const auto applied = view.Apply(kStart, kStart + seconds(9), behind);
  REQUIRE_FALSE(applied);
  CHECK(applied.error().kind == ErrorKind::kNotLeader);
  CHECK(view.IsZoneOut(ZoneId("kochi")));
  CHECK_FALSE(view.IsCurrent(kStart + kPermission));
}

TEST_CASE("plans never go back, and a patch needs its base", "[fleet]") {
  EntryView view(ReadTestPlan, kPermission);
  REQUIRE(view.Apply(kStart, std::nullopt, AnUpdate(1, 7)));
  REQUIRE(view.Apply(kStart, std::nullopt, AnUpdate(1, 6)));
  CHECK(view.plan()->version() == 7);
  FleetUpdate patch = AnUpdate(2);
  const std::string text = R"([{"op":"replace","path":"/version","value":8}])";
  patch.plan = PlanNews{8, PlanVersion{6}, text};
  // Without its plan the leader's word is not taken either.
  CHECK_FALSE(view.Apply(kStart, kStart, patch));
  CHECK_FALSE(view.IsCurrent(kStart));
  patch.plan = PlanNews{8, PlanVersion{7}, text};
  CHECK(view.Apply(kStart, kStart, patch));
  CHECK(view.plan()->version() == 8);
  patch.plan = PlanNews{9, PlanVersion{8}, "no patch"};
  CHECK_FALSE(view.Apply(kStart, kStart, patch));
  CHECK(view.plan()->version() == 8);
}

TEST_CASE("servers come, change and go", "[fleet]") {
  EntryView view(ReadTestPlan, kPermission);
  const ServiceId desk("desk");
  FleetUpdate update = AnUpdate(1, 1);
  update.servers = {{AServer("a"), Standing::kUp, {}, false},
                    {AServer("b"), Standing::kDown, seconds(3), false}};
  REQUIRE(view.Apply(kStart, kStart, update));
  REQUIRE(view.ServersOf(desk).size() == 2);
  const KnownServerPtr a = view.Find(BackendId("a"));
  a->in_flight = 2;
  FleetUpdate next = AnUpdate(1);
  next.servers = {{AServer("a"), Standing::kProbation, {}, false},
                  {AServer("b"), Standing::kUp, {}, true}};
  REQUIRE(view.Apply(kStart, kStart, next));
  CHECK(view.ServersOf(desk).size() == 1);
  CHECK(view.Find(BackendId("a")) == a);
  CHECK(a->state.standing == Standing::kProbation);
  // A whole board forgets what it does not list.
  next.whole_board = true;
  next.servers = {{AServer("c"), Standing::kUp, {}, false}};
  REQUIRE(view.Apply(kStart, kStart, next));
  CHECK(view.Known().size() == 1);
  CHECK(view.Find(BackendId("a")) == nullptr);
}

struct ChooserBench {
  EntryView view{ReadTestPlan, kPermission};
  ServerChooser chooser{ServerChooserSettings(), ZoneId("kochi"), Random(5)};

  void Show(std::vector<ServerNews> servers) {
    FleetUpdate update = AnUpdate(1, 1);
    update.servers = std::move(servers);
    update.general = true;
    update.request_rates[ServiceId("desk")] = 100;
    REQUIRE(view.Apply(kStart, kStart, update));
  }
  std::string Choose(bool repeatable = false) {
    ServerQuery query;
    query.service = view.plan()->FindService(ServiceId("desk"));
    query.repeatable = repeatable;
    const KnownServerPtr server = chooser.Choose(kStart, view, query);
    return server ? server->state.announcement.id.value() : "";
  }
};

TEST_CASE("without a hub a host keeps to sound servers of its zone",
          "[fleet]") {
  ChooserBench bench;
  bench.Show({{AServer("near"), Standing::kUp, {}, false},
              {AServer("down"), Standing::kDown, {}, false},
              {AServer("far", "fann"), Standing::kUp, {}, false}});
  for (int i = 0; i < 20; ++i) CHECK(bench.Choose() == "near");
  bench.view.Find(BackendId("near"))->avoid_until = kStart + seconds(1);
  for (int i = 0; i < 20; ++i) CHECK(bench.Choose() == "far");
  bench.view.Find(BackendId("far"))->avoid_until = kStart + seconds(1);
  CHECK_FALSE(bench.Choose().empty());
}

TEST_CASE("without a hub a cold server gets its part of all requests",
          "[fleet]") {
  ChooserBench bench;
  bench.Show({{AServer("warm"), Standing::kUp, {}, false},
              {AServer("cold"), Standing::kUp, seconds(3), false}});
  int cold = 0;
  constexpr int kRequests = 10'000;
  for (int i = 0; i < kRequests; ++i) {
    if (bench.Choose() == "cold") ++cold;
  }
  // At 100 requests a second over all hosts, 6 a second is its rate.
  CHECK(cold > 0);
  CHECK(cold < kRequests * 6 / 100);
}

}  // namespace
}  // namespace sapphirebank
