#include "sapphirebank/fleet/call_origin.h"

#include <catch2/catch.hpp>

#include "sapphirebank/core/random.h"

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
  const CallOrigin origin{kStart, kStart, hung_up};
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
  const CallOrigin origin{resumed, resumed, nullptr};
  // Before the first tick and after it.
  CHECK_FALSE(ReasonNotToBegin(resumed, origin, kLimit, watch).empty());
  watch.RecordTick(resumed + milliseconds(20));
  CHECK(watch.WasSuspended(resumed + milliseconds(30)));
  for (int ms = 20; ms <= 1000; ms += 50) {
    watch.RecordTick(resumed + milliseconds(ms));
  }
  CHECK_FALSE(watch.WasSuspended(resumed + milliseconds(1000)));
}

// One order of an operator on its way to a control host, with all that may hold
// it up, and what the system of that host tells of it (OpeningTime(),
// LastDataArrival()).
class DrawnOrder {
 public:
  explicit DrawnOrder(std::uint64_t seed) : random_(seed) {}

  // Returns whether the order may begin only while its operator waits for it.
  bool Run() {
    const bool is_calm = random_.Below(4) == 0;
    const Duration hold = is_calm ? Duration::zero() : Draw(seconds(10));
    const Instant syn_arrives = kStart + one_way_;
    // Either the end of the handshake is held up, with all behind it, or the
    // order alone.
    const bool holds_handshake = random_.Below(2) == 0;
    const Duration round_trip =
        2 * one_way_ + (holds_handshake ? hold : Duration::zero());
    const Instant established = syn_arrives + round_trip;
    constexpr Duration kFirstRepetition = seconds(1);
    CallOrigin origin;
    origin.arrived_at = kStart + 3 * one_way_ + hold;
    origin.connection_opened_at = round_trip < kFirstRepetition
                                      ? established - round_trip
                                      : established - std::chrono::hours(1);
    const bool is_kept = !is_calm && random_.Below(4) == 0;
    if (is_kept) origin.connection_opened_at -= Draw(seconds(20));
    DrawSuspension(is_calm);
    bool has_begun = false;
    SuspensionWatch watch(kLimit);
    const Instant end = origin.arrived_at + seconds(8);
    for (Instant now = kStart - seconds(1); now < end; now += kTick) {
      if (now >= suspended_at_ && now < resumed_at_) continue;
      // Calls are looked at before the tick and after it.
      for (int look = 0; look < 2; ++look) {
        if (now < origin.arrived_at ||
            !ReasonNotToBegin(now, origin, kLimit, watch).empty()) {
          continue;
        }
        has_begun = true;
        if (now - kStart > kPatience) return false;
      }
      watch.RecordTick(now);
    }
    return has_begun || !is_calm;
  }

 private:
  static constexpr Duration kTick = milliseconds(20);
  // The operator turns to another host after this time.
  static constexpr Duration kPatience = seconds(1);

  Duration Draw(Duration most) {
    return Duration(static_cast<Duration::rep>(
        random_.Below(static_cast<std::uint64_t>(most.count()))));
  }

  void DrawSuspension(bool is_calm) {
    if (is_calm || random_.Below(2) == 0) return;
    suspended_at_ = kStart - seconds(1) + Draw(seconds(8));
    resumed_at_ = suspended_at_ + Draw(seconds(5));
  }

  Random random_;
  Duration one_way_ = Draw(milliseconds(20));
  Instant suspended_at_ = kStart - std::chrono::hours(1);
  Instant resumed_at_ = suspended_at_;
};

// Guards against an order that the network held up: it is carried out after its
// operator got its acknowledgement elsewhere and gave the opposite one.
TEST_CASE("no order begins after its operator has turned to another host",
          "[fleet]") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    CAPTURE(seed);
    CHECK(DrawnOrder(seed).Run());
  }
}

TEST_CASE("an order on an older connection does not begin", "[fleet]") {
  SuspensionWatch running(kLimit);
  running.RecordTick(kStart);
  const CallOrigin kept{kStart, kStart - kLimit, nullptr};
  CHECK_FALSE(ReasonNotToBegin(kStart, kept, kLimit, running).empty());
  const CallOrigin fresh{kStart, kStart - milliseconds(100), nullptr};
  CHECK(ReasonNotToBegin(kStart, fresh, kLimit, running).empty());
}

}  // namespace
}  // namespace sapphirebank
