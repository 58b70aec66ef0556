#include "sapphirebank/fleet/departure_start.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr WallTime kWall{std::chrono::hours(24 * 365 * 50)};
constexpr Duration kLimit = seconds(2);
const BackendId kServer("a");

constexpr Incarnation kNow = 1'800'000'000'000;

Incarnation StartCovered(const FleetRecord& record, Incarnation named,
                         const DepartureKnowledge& knowledge) {
  return CompleteDeparture({kServer, named}, record, knowledge, kLimit)
      .incarnation;
}

// Guards against a departure that is acknowledged while hosts go on sending
// requests to the server: it named no start, and the leader knew none of it, or
// an earlier one.
TEST_CASE("a departure without a start covers starts that nobody knows",
          "[fleet]") {
  FleetRecord record;
  CHECK(StartCovered(record, 0, {0, kNow}) == kNow);
  CHECK(StartCovered(record, 0, {kNow - 60'000, kNow}) == kNow);
  // The clock of the server is ahead of those of the control hosts.
  CHECK(StartCovered(record, 0, {kNow + 40, kNow}) == kNow + 40);
  // A start that was named is the one that counts.
  CHECK(StartCovered(record, 77, {kNow, kNow}) == 77);
  record.Apply(RetireBackend{kServer, kNow});
  CHECK(record.IsRetired(kServer, kNow - 1));
  CHECK_FALSE(record.IsRetired(kServer, kNow + 1));
}

// Guards against a departure whose answer was lost and that waits for a change
// of its own each time.
TEST_CASE("a repeated departure without a start is the one in the record",
          "[fleet]") {
  FleetRecord record;
  record.Apply(RetireBackend{kServer, kNow});
  CHECK(StartCovered(record, 0, {0, kNow + 1999}) == kNow);
  // A server may have started under the same id and leave by then.
  CHECK(StartCovered(record, 0, {0, kNow + 2000}) == kNow + 2000);
  CHECK(StartCovered(record, 0, {kNow + 500, kNow + 1000}) == kNow + 1000);
}

TEST_CASE("what two control hosts know of a start is joined", "[fleet]") {
  const DepartureKnowledge joined =
      DepartureKnowledge{5, 90} | DepartureKnowledge{7, 80};
  CHECK(joined.known_start == 7);
  CHECK(joined.latest_start == 90);
}

TEST_CASE("the latest start does not go back with the time of day", "[fleet]") {
  LatestStartClock clock;
  const Incarnation first = clock.Read(kStart, kWall);
  CHECK(first ==
        static_cast<Incarnation>(
            std::chrono::duration_cast<milliseconds>(kWall.time_since_epoch())
                .count()));
  // The time of day jumps back by 4 s, and forward.
  CHECK(clock.Read(kStart + seconds(1), kWall - seconds(3)) == first + 1000);
  CHECK(clock.Read(kStart + seconds(2), kWall + seconds(5)) == first + 5000);
  CHECK(clock.Read(kStart + seconds(3), kWall + seconds(3)) == first + 6000);
}

}  // namespace
}  // namespace sapphirebank
