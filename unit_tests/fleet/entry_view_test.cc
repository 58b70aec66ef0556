#include "sapphirebank/fleet/entry_view.h"

#include <catch2/catch.hpp>

#include "sapphirebank/core/compression.h"
#include "sapphirebank/fleet/server_chooser.h"
#include "unit_tests/fleet/fleet_fixtures.h"
#include "unit_tests/fleet/rollout_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Duration kLease = seconds(4);
constexpr Duration kShortLease = seconds(2);
constexpr ViewLeaseSettings kLeaseSettings{.lease = kLease,
                                           .contact_lease = kLease,
                                           .plan_bound = kShortLease,
                                           .departure_bound = seconds(3),
                                           .zone_bound = seconds(5)};

// Reads documents of the form {"version": n}.
Result<std::shared_ptr<const TrafficPlan>> ReadTestPlan(
    std::string_view document) {
  const auto parsed = nlohmann::json::parse(document);
  if (!parsed.contains("version")) {
    return Fail(ErrorKind::kMalformedRequest, "no version");
  }
  return TrafficPlan::Create(
      MakePlanParts(parsed["version"].get<PlanVersion>()));
}

FleetUpdate MakeUpdate(std::uint64_t record, PlanVersion version = 0) {
  FleetUpdate update;
  update.record_changes = record;
  update.gates_changes = true;
  if (version > 0) {
    update.plan =
        PlanUpdate{version, std::nullopt,
                   Compress(nlohmann::json{{"version", version}}.dump())};
  }
  return update;
}

TEST_CASE("a view is used for a limited time after the leader's confirmation",
          "[fleet]") {
  EntryView view(ReadTestPlan, kLeaseSettings);
  CHECK_FALSE(view.IsCurrent(kStart));
  FleetUpdate update = MakeUpdate(1, 1);
  // Unsolicited updates confirm nothing: they may be old.
  REQUIRE(view.Apply(kStart, std::nullopt, update));
  CHECK_FALSE(view.IsCurrent(kStart));
  // Validity counts from the request, less the age of the confirmation.
  update.quorum_age = milliseconds(300);
  REQUIRE(view.Apply(kStart + seconds(1), kStart, update));
  CHECK(view.IsCurrent(kStart + kLease - milliseconds(301)));
  CHECK_FALSE(view.IsCurrent(kStart + kLease - milliseconds(300)));
  // An older confirmation does not shorten the validity.
  update.quorum_age = seconds(3);
  REQUIRE(view.Apply(kStart + seconds(1), kStart, update));
  CHECK(view.IsCurrent(kStart + kLease - milliseconds(301)));
}

// Guards against a host without a hub that goes on for the whole lease, for
// which acknowledgements of changes would have to wait.
TEST_CASE("a view is used for a shorter time without a hub", "[fleet]") {
  ViewLeaseSettings lease = kLeaseSettings;
  lease.contact_lease = milliseconds(2500);
  EntryView view(ReadTestPlan, lease);
  FleetUpdate update = MakeUpdate(1, 1);
  update.quorum_age = milliseconds(300);
  REQUIRE(view.Apply(kStart + milliseconds(10), kStart, update));
  CHECK(view.IsCurrent(kStart + milliseconds(2499)));
  CHECK_FALSE(view.IsCurrent(kStart + milliseconds(2500)));
  // A hub that lost the leader answers, and the lease since then counts.
  update.quorum_age = milliseconds(2300);
  REQUIRE(view.Apply(kStart + milliseconds(2010), kStart + seconds(2), update));
  CHECK(view.IsCurrent(kStart + milliseconds(3699)));
  CHECK_FALSE(view.IsCurrent(kStart + milliseconds(3700)));
}

// Guards against a long lease from a leader, or a relay, of an earlier build,
// which acknowledges changes at once.
TEST_CASE("a lease is short where changes are acknowledged at once",
          "[fleet]") {
  EntryView view(ReadTestPlan, kLeaseSettings);
  FleetUpdate update = MakeUpdate(1, 1);
  update.gates_changes = false;
  REQUIRE(view.Apply(kStart, kStart, update));
  CHECK(view.IsCurrent(kStart + kShortLease - milliseconds(1)));
  CHECK_FALSE(view.IsCurrent(kStart + kShortLease));
  CHECK(view.LeaderUpdateAge(kStart + kShortLease) == kShortLease);
}

TEST_CASE("an update of a hub that is behind is rejected", "[fleet]") {
  EntryView view(ReadTestPlan, kLeaseSettings);
  FleetUpdate update = MakeUpdate(5, 3);
  update.shared_state = true;
  update.zones_out = {ZoneId("kochi")};
  REQUIRE(view.Apply(kStart, kStart, update));
  FleetUpdate behind = MakeUpdate(4);
  behind.shared_state = true;
  const auto applied = view.Apply(kStart, kStart + seconds(9), behind);
  REQUIRE_FALSE(applied);
  CHECK(applied.error().kind == ErrorKind::kNotLeader);
  CHECK(view.IsZoneOut(ZoneId("kochi")));
  CHECK_FALSE(view.IsCurrent(kStart + kLease));
}

TEST_CASE("plan versions never decrease, and a patch needs its base",
          "[fleet]") {
  EntryView view(ReadTestPlan, kLeaseSettings);
  REQUIRE(view.Apply(kStart, std::nullopt, MakeUpdate(1, 7)));
  REQUIRE(view.Apply(kStart, std::nullopt, MakeUpdate(1, 6)));
  CHECK(view.plan()->version() == 7);
  FleetUpdate patch = MakeUpdate(2);
  const std::string text =
      Compress(R"([{"op":"replace","path":"/version","value":8}])");
  patch.plan = PlanUpdate{8, PlanVersion{6}, text};
  // If the plan fails, the confirmation is not applied either, and the change
  // does not count as applied here.
  CHECK_FALSE(view.Apply(kStart, kStart, patch));
  CHECK_FALSE(view.IsCurrent(kStart));
  CHECK(view.applied_changes() == 1);
  patch.plan = PlanUpdate{8, PlanVersion{7}, text};
  CHECK(view.Apply(kStart, kStart, patch));
  CHECK(view.plan()->version() == 8);
  CHECK(view.applied_changes() == 2);
  for (const std::string& wrong : {Compress("no patch"), std::string("{}")}) {
    patch.plan = PlanUpdate{9, PlanVersion{8}, wrong};
    CHECK_FALSE(view.Apply(kStart, kStart, patch));
  }
  CHECK(view.plan()->version() == 8);
}

// Guards against a plan that is confirmed, and whose acknowledgement follows,
// although this host could not read it: the next update brings no plan.
TEST_CASE("a view that lacks a plan confirms no change until it has it",
          "[fleet]") {
  EntryView view(ReadTestPlan, kLeaseSettings);
  REQUIRE(view.Apply(kStart, std::nullopt, MakeUpdate(1, 7)));
  FleetUpdate patch = MakeUpdate(2);
  patch.plan = PlanUpdate{9, PlanVersion{8}, Compress("[]")};
  CHECK_FALSE(view.Apply(kStart, kStart, patch));
  REQUIRE(view.Apply(kStart, std::nullopt, MakeUpdate(2)));
  REQUIRE(view.Apply(kStart, kStart, MakeUpdate(2)));
  REQUIRE(view.Apply(kStart, kStart, MakeUpdate(2, 8)));
  CHECK(view.applied_changes() == 1);
  CHECK_FALSE(view.IsCurrent(kStart));
  REQUIRE(view.Apply(kStart, kStart, MakeUpdate(2, 9)));
  CHECK(view.applied_changes() == 2);
  CHECK(view.IsCurrent(kStart));
}

TEST_CASE("updates add, change and remove servers", "[fleet]") {
  EntryView view(ReadTestPlan, kLeaseSettings);
  const ServiceId desk("desk");
  FleetUpdate update = MakeUpdate(1, 1);
  update.servers = {{MakeServer("a"), ServerHealth::kUp, {}, false},
                    {MakeServer("b"), ServerHealth::kDown, seconds(3), false}};
  REQUIRE(view.Apply(kStart, kStart, update));
  REQUIRE(view.ServersOf(desk).size() == 2);
  const KnownServerPtr a = view.Find(BackendId("a"));
  a->in_flight = 2;
  FleetUpdate next = MakeUpdate(1);
  next.servers = {{MakeServer("a"), ServerHealth::kProbation, {}, false},
                  {MakeServer("b"), ServerHealth::kUp, {}, true}};
  REQUIRE(view.Apply(kStart, kStart, next));
  CHECK(view.ServersOf(desk).size() == 1);
  CHECK(view.Find(BackendId("a")) == a);
  CHECK(a->state.health == ServerHealth::kProbation);
  // A full registry removes the servers that it does not list.
  next.full_registry = true;
  next.servers = {{MakeServer("c"), ServerHealth::kUp, {}, false}};
  REQUIRE(view.Apply(kStart, kStart, next));
  CHECK(view.Announcements().size() == 1);
  CHECK(view.Find(BackendId("a")) == nullptr);
}

// Guards against long bodies that are begun at the end of the lease and have to
// be cut off.
TEST_CASE("a request is begun where the lease leaves time for its way",
          "[fleet]") {
  ViewLeaseSettings lease = kLeaseSettings;
  lease.way = milliseconds(300);
  EntryView view(ReadTestPlan, lease);
  REQUIRE(view.Apply(kStart, kStart, MakeUpdate(1, 1)));
  const Instant end = kStart + kLease;
  CHECK(view.HasTimeFor(end - milliseconds(1), milliseconds(100)));
  CHECK_FALSE(view.HasTimeFor(end, Duration::zero()));
  CHECK(view.HasTimeFor(end - milliseconds(850), seconds(1)));
  CHECK_FALSE(view.HasTimeFor(end - milliseconds(849), seconds(1)));
  // No lease suffices for this one.
  CHECK(view.HasTimeFor(kStart, 2 * kLease));
  CHECK_FALSE(view.HasTimeFor(kStart + kLease / 2 + seconds(1), 2 * kLease));
}

// Guards against requests that are on their way to a server for longer than the
// limit after its departure, or that of its zone, was acknowledged.
TEST_CASE("requests on their way have a limit once their server has left",
          "[fleet]") {
  ViewLeaseSettings lease = kLeaseSettings;
  lease.way = milliseconds(300);
  EntryView view(ReadTestPlan, lease);
  FleetUpdate update = MakeUpdate(1, 1);
  for (const char* id : {"left", "again", "gone", "stays"}) {
    update.servers.push_back({MakeServer(id)});
  }
  update.servers.push_back({MakeServer("zone", "thrissur")});
  REQUIRE(view.Apply(kStart, kStart, update));
  const auto find = [&](const char* id) { return view.Find(BackendId(id)); };
  const KnownServerPtr left = find("left");
  const KnownServerPtr again = find("again");
  const KnownServerPtr gone = find("gone");
  const KnownServerPtr stays = find("stays");
  const KnownServerPtr zone = find("zone");
  const Instant lease_limit = kStart + kLease + milliseconds(150);
  CHECK(view.ArrivalLimit(*left) == lease_limit);

  const Instant now = kStart + milliseconds(500);
  FleetUpdate next = MakeUpdate(2);
  next.servers = {{MakeServer("left")}, {MakeServer("again", "kochi", 2)}};
  next.servers[0].retired = true;
  next.shared_state = true;
  next.zones_out = {ZoneId("thrissur")};
  REQUIRE(view.Apply(now, now, next));
  const Instant limit = now + lease.departure_bound + milliseconds(150);
  CHECK(view.ArrivalLimit(*left) == limit);
  CHECK(view.ArrivalLimit(*again) == limit);
  // The lease from before is over sooner than the bound of a zone.
  CHECK(view.ArrivalLimit(*zone) == lease_limit);
  CHECK(view.ArrivalLimit(*stays) == lease_limit + milliseconds(500));

  FleetUpdate full = MakeUpdate(3);
  full.full_registry = true;
  full.servers = {{MakeServer("stays")}, {MakeServer("zone", "thrissur")}};
  full.shared_state = true;
  REQUIRE(view.Apply(now, now, full));
  CHECK(view.ArrivalLimit(*gone) == limit);
  CHECK(view.ArrivalLimit(*left) == limit);
  CHECK(view.ArrivalLimit(*zone) == view.ArrivalLimit(*stays));
}

// Guards against servers that left, at a host whose hub has restarted: it
// confirmed the host's view before it had servers to tell of.
TEST_CASE("a hub without its servers confirms no view", "[fleet]") {
  EntryView view(ReadTestPlan, kLeaseSettings);
  FleetUpdate update = MakeUpdate(1, 1);
  update.registry_id = 1;
  update.full_registry = true;
  update.servers = {{MakeServer("a")}};
  REQUIRE(view.Apply(kStart, kStart, update));
  const Instant later = kStart + seconds(1);
  FleetUpdate restarted = MakeUpdate(2);
  restarted.registry_id = 2;
  REQUIRE(view.Apply(later, later, restarted));
  CHECK_FALSE(view.IsCurrent(kStart + kLease));
  CHECK(view.applied_changes() == 1);
  CHECK(view.registry_id() == 1);
  restarted.full_registry = true;
  REQUIRE(view.Apply(later, later, restarted));
  CHECK(view.IsCurrent(kStart + kLease));
  CHECK(view.applied_changes() == 2);
  CHECK(view.Find(BackendId("a")) == nullptr);
}

struct ChooserFixture {
  EntryView view{ReadTestPlan, kLeaseSettings};
  ServerChooser chooser{ServerChooserSettings(), ZoneId("kochi"), Random(5)};

  double request_rate = 100;

  void SetServers(std::vector<ServerUpdate> servers) {
    FleetUpdate update = MakeUpdate(1, 1);
    update.servers = std::move(servers);
    update.shared_state = true;
    if (request_rate > 0) {
      update.request_rates[ServiceId("desk")] = request_rate;
    }
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

TEST_CASE("without a hub a host prefers healthy servers of its zone",
          "[fleet]") {
  ChooserFixture fixture;
  fixture.SetServers(
      {{MakeServer("near"), ServerHealth::kUp, {}, false},
       {MakeServer("down"), ServerHealth::kDown, {}, false},
       {MakeServer("far", "fann"), ServerHealth::kUp, {}, false}});
  for (int i = 0; i < 20; ++i) CHECK(fixture.Choose() == "near");
  fixture.view.Find(BackendId("near"))->avoid_until = kStart + seconds(1);
  for (int i = 0; i < 20; ++i) CHECK(fixture.Choose() == "far");
  fixture.view.Find(BackendId("far"))->avoid_until = kStart + seconds(1);
  CHECK_FALSE(fixture.Choose().empty());
}

TEST_CASE("without a hub a cold server gets its fraction of all requests",
          "[fleet]") {
  ChooserFixture fixture;
  fixture.SetServers(
      {{MakeServer("warm"), ServerHealth::kUp, {}, false},
       {MakeServer("cold"), ServerHealth::kUp, seconds(3), false}});
  int cold = 0;
  constexpr int kRequests = 10'000;
  for (int i = 0; i < kRequests; ++i) {
    if (fixture.Choose() == "cold") ++cold;
  }
  // Its warm-up rate is 6 of the 100 requests per second over all hosts.
  CHECK(cold > 0);
  CHECK(cold < kRequests * 6 / 100);
}

TEST_CASE("without a hub a cold server gets nothing while the rate is unknown",
          "[fleet]") {
  ChooserFixture fixture;
  fixture.request_rate = 0;
  fixture.SetServers(
      {{MakeServer("warm"), ServerHealth::kUp, {}, false},
       {MakeServer("cold"), ServerHealth::kUp, seconds(3), false}});
  for (int i = 0; i < 1'000; ++i) CHECK(fixture.Choose() == "warm");
}

// Guards against a request at a server that left while the request waited for
// a connection: the choice was not checked again before sending.
TEST_CASE("a server that was chosen may be sent nothing once it has left",
          "[fleet]") {
  EntryView view(ReadTestPlan, kLeaseSettings);
  FleetUpdate update = MakeUpdate(1, 1);
  update.servers.push_back({MakeServer("a")});
  update.servers.push_back({MakeServer("b", "fann")});
  REQUIRE(view.Apply(kStart, kStart, update));
  const KnownServerPtr left = view.Find(BackendId("a"));
  const KnownServerPtr evacuated = view.Find(BackendId("b"));
  CHECK(view.MayReceiveRequests(kStart, *left));
  CHECK(view.MayReceiveRequests(kStart, *evacuated));

  FleetUpdate news = MakeUpdate(2);
  news.servers.push_back({MakeServer("a")});
  news.servers.back().retired = true;
  news.shared_state = true;
  news.zones_out = {ZoneId("fann")};
  REQUIRE(view.Apply(kStart, kStart, news));
  CHECK_FALSE(view.MayReceiveRequests(kStart, *left));
  CHECK_FALSE(view.MayReceiveRequests(kStart, *evacuated));

  // The server that starts under the same id is another one.
  FleetUpdate restarted = MakeUpdate(3);
  restarted.servers.push_back({MakeServer("a", "kochi", 2)});
  REQUIRE(view.Apply(kStart, kStart, restarted));
  CHECK_FALSE(view.MayReceiveRequests(kStart, *left));
  CHECK(view.MayReceiveRequests(kStart, *view.Find(BackendId("a"))));
}

FleetUpdate MakeVersionUpdate(std::uint64_t record, RolloutPhase phase) {
  FleetUpdate update = MakeUpdate(record, 1);
  update.shared_state = true;
  update.versions = MakeVersions(MakeRollout(phase));
  return update;
}

// Guards against a request at a version that was rolled back, or replaced,
// while the request waited for a connection.
TEST_CASE(
    "a server that was chosen may be sent nothing once its version is out",
    "[fleet]") {
  ViewLeaseSettings lease = kLeaseSettings;
  lease.way = milliseconds(300);
  for (const bool is_rolled_back : {true, false}) {
    EntryView view(ReadTestPlan, lease);
    FleetUpdate update = MakeVersionUpdate(1, RolloutPhase::kTrial);
    update.servers.push_back({MakeVersionedServer("old", "v1", 1)});
    update.servers.push_back({MakeVersionedServer("new", "v2", 2)});
    REQUIRE(view.Apply(kStart, kStart, update));
    const KnownServerPtr before = view.Find(BackendId("old"));
    const KnownServerPtr target = view.Find(BackendId("new"));
    CHECK(view.MayReceiveRequests(kStart, *before));
    CHECK(view.MayReceiveRequests(kStart, *target));
    const Instant now = kStart + milliseconds(500);
    REQUIRE(view.Apply(
        now, now,
        MakeVersionUpdate(2, is_rolled_back ? RolloutPhase::kRolledBack
                                            : RolloutPhase::kSwitch)));
    const KnownServer& out = is_rolled_back ? *target : *before;
    const KnownServer& used = is_rolled_back ? *before : *target;
    CHECK_FALSE(view.MayReceiveRequests(now, out));
    CHECK(view.MayReceiveRequests(now, used));
    CHECK(view.ArrivalLimit(out) ==
          now + lease.departure_bound + milliseconds(150));
    CHECK(view.ArrivalLimit(used) == now + kLease + milliseconds(150));
    // A zone that returns, and an update without versions, do not change that.
    FleetUpdate zone = MakeUpdate(3);
    zone.shared_state = true;
    zone.zones_out = {ZoneId("kochi")};
    REQUIRE(view.Apply(now, now, zone));
    zone.zones_out.clear();
    REQUIRE(view.Apply(now, now, zone));
    CHECK_FALSE(view.MayReceiveRequests(now, out));
    CHECK(view.ArrivalLimit(out) < view.ArrivalLimit(used));
    // The next order may permit the version.
    REQUIRE(view.Apply(now, now, MakeVersionUpdate(4, RolloutPhase::kTrial)));
    CHECK(view.MayReceiveRequests(now, out));
    CHECK(view.ArrivalLimit(out) == view.ArrivalLimit(used));
  }
}

// Guards against hosts without a hub, whose own choices no share counts, and
// against a version that is found before its order.
TEST_CASE(
    "without a hub a host uses no version in its trial or before its order",
    "[fleet]") {
  ChooserFixture fixture;
  const auto use = [&](const VersionRecord& versions) {
    FleetUpdate update = MakeUpdate(1, 1);
    update.shared_state = true;
    update.versions = versions;
    update.servers = {{MakeVersionedServer("old", "v1", 1)},
                      {MakeVersionedServer("new", "v2", 2)}};
    REQUIRE(fixture.view.Apply(kStart, kStart, update));
    std::set<std::string> used;
    for (int i = 0; i < 50; ++i) used.insert(fixture.Choose());
    return used;
  };
  const std::set<std::string> only_old = {"old"};
  CHECK(use(VersionRecord()) == only_old);
  CHECK(use(MakeVersions(MakeRollout(RolloutPhase::kTrial))) == only_old);
  CHECK(use(MakeVersions(MakeRollout(RolloutPhase::kRolledBack))) == only_old);
  CHECK(use(MakeVersions(MakeRollout(RolloutPhase::kSwitch))) ==
        std::set<std::string>{"new"});
  // Not even where no other server is left.
  fixture.view.Find(BackendId("old"))->avoid_until = kStart + seconds(1);
  CHECK(use(MakeVersions(MakeRollout(RolloutPhase::kTrial))) == only_old);
  FleetUpdate left = MakeUpdate(1);
  left.servers = {{MakeVersionedServer("old", "v1", 1)}};
  left.servers[0].retired = true;
  REQUIRE(fixture.view.Apply(kStart, kStart, left));
  CHECK(fixture.Choose().empty());
}

}  // namespace
}  // namespace sapphirebank
