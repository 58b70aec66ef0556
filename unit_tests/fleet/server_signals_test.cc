#include "sapphirebank/fleet/server_signals.h"

#include <catch2/catch.hpp>

#include "sapphirebank/fleet/server_chooser.h"
#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
const BackendId kServer("a");

// Guards against requests at a server that said in an answer that it leaves,
// which no control host may have heard.
TEST_CASE("a server that said that it leaves gets nothing more in this life",
          "[fleet]") {
  ServerSignals signals;
  CHECK(signals.Permit(kStart, kServer, 1));
  CHECK(signals.RecordLeaving(kStart, kServer, 1));
  CHECK_FALSE(signals.RecordLeaving(kStart, kServer, 1));
  CHECK_FALSE(signals.Permit(kStart, kServer, 1));
  CHECK_FALSE(signals.Permit(kStart + seconds(60), kServer, 1));
  // It starts again under the same id.
  CHECK(signals.Permit(kStart, kServer, 2));
  // A late answer of an earlier life says nothing about a later one.
  signals.RecordLeaving(kStart, kServer, 3);
  signals.RecordLeaving(kStart, kServer, 2);
  CHECK_FALSE(signals.Permit(kStart, kServer, 3));
}

// Guards against a host that goes on sending to a server that asked it to wait.
TEST_CASE("a server that asked for a pause gets nothing until it is over",
          "[fleet]") {
  ServerSignals signals;
  signals.RecordPause(kStart, kServer, 1, milliseconds(2500));
  CHECK_FALSE(signals.Permit(kStart + milliseconds(2499), kServer, 1));
  CHECK(signals.Permit(kStart + milliseconds(2500), kServer, 1));
  signals.RecordPause(kStart, kServer, 1, milliseconds(100));
  CHECK_FALSE(signals.Permit(kStart + milliseconds(2499), kServer, 1));
  CHECK(signals.Permit(kStart, kServer, 2));
  // A server cannot take itself out of use for good.
  signals.RecordPause(kStart, kServer, 1, std::chrono::hours(24 * 365));
  CHECK(signals.Permit(kStart + std::chrono::minutes(6), kServer, 1));
}

TEST_CASE("an entry host without a hub obeys what servers told it", "[fleet]") {
  EntryView view([](std::string_view) { return MakePlan(MakePlanParts()); },
                 ViewLeaseSettings());
  FleetUpdate update;
  update.servers.push_back({MakeServer("a")});
  update.servers.push_back({MakeServer("b")});
  REQUIRE(view.Apply(kStart, kStart, update));
  const auto plan = MakePlan(MakePlanParts());
  ServerQuery query;
  query.service = plan->FindService(ServiceId("desk"));
  ServerChooser chooser(ServerChooserSettings(), ZoneId("kochi"), Random(1));
  view.signals().RecordLeaving(kStart, BackendId("a"), 1);
  for (int i = 0; i < 20; ++i) {
    const KnownServerPtr server = chooser.Choose(kStart, view, query);
    REQUIRE(server);
    CHECK(server->state.announcement.id == BackendId("b"));
  }
  view.signals().RecordPause(kStart, BackendId("b"), 1, seconds(2));
  CHECK_FALSE(chooser.Choose(kStart, view, query));
  CHECK(chooser.Choose(kStart + seconds(2), view, query));
  // A hub that does not know the server and then learns of it again.
  FleetUpdate without;
  without.full_registry = true;
  REQUIRE(view.Apply(kStart, kStart, without));
  REQUIRE(view.Apply(kStart, kStart, update));
  CHECK_FALSE(view.MayReceiveRequests(kStart, *view.Find(BackendId("a"))));
}

}  // namespace
}  // namespace sapphirebank
