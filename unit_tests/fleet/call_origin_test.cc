#include "sapphirebank/fleet/call_origin.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Duration kLimit = milliseconds(900);

TEST_CASE("changes with a version or a start are told from late copies",
          "[fleet]") {
  CHECK(IsOrderedByVersion(StorePlan{3, "{}"}));
  CHECK(IsOrderedByVersion(RetireBackend{BackendId("a"), 7}));
  CHECK_FALSE(IsOrderedByVersion(RetireBackend{BackendId("a"), 0}));
  CHECK_FALSE(IsOrderedByVersion(SetZoneOut{ZoneId("kochi"), true}));
  CHECK_FALSE(IsOrderedByVersion(StartRollout{}));
}

// Guards against an order that begins although its operator has turned to
// another host, because a suspended host took it for new.
TEST_CASE("an order begins only while its operator waits for it", "[fleet]") {
  SuspensionWatch running(kLimit);
  running.RecordTick(kStart);
  const auto hung_up = std::make_shared<std::atomic<bool>>(false);
  const CallOrigin origin{kStart, hung_up};
  const Instant soon = kStart + milliseconds(850);
  CHECK(ReasonNotToBegin(soon, origin, kLimit, running).empty());
  CHECK_FALSE(
      ReasonNotToBegin(kStart + kLimit, origin, kLimit, running).empty());
  *hung_up = true;
  CHECK_FALSE(ReasonNotToBegin(soon, origin, kLimit, running).empty());
}

// The system does not know how long a call waited while the machine itself was
// suspended.
TEST_CASE("no order begins right after a suspension", "[fleet]") {
  SuspensionWatch watch(kLimit);
  CHECK_FALSE(watch.WasSuspended(kStart));
  watch.RecordTick(kStart);
  const Instant resumed = kStart + seconds(4);
  const CallOrigin origin{resumed, nullptr};
  // Before the first tick and after it.
  CHECK_FALSE(ReasonNotToBegin(resumed, origin, kLimit, watch).empty());
  watch.RecordTick(resumed + milliseconds(20));
  CHECK(watch.WasSuspended(resumed + milliseconds(30)));
  for (int ms = 20; ms <= 1000; ms += 50) {
    watch.RecordTick(resumed + milliseconds(ms));
  }
  CHECK_FALSE(watch.WasSuspended(resumed + milliseconds(1000)));
}

}  // namespace
}  // namespace sapphirebank
