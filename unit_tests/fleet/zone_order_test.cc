#include "sapphirebank/fleet/zone_order.h"

#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <vector>

#include "sapphirebank/core/random.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
const ZoneId kZone("kochi");

ZoneOrder Order(bool out, std::uint64_t known_change) {
  return {{kZone, out}, known_change};
}

// Guards against an evacuation that an older order takes back.
TEST_CASE("an order of before the zone's last change does not pass",
          "[fleet]") {
  FleetRecord record;
  const ZoneOrderGate gate;
  CHECK(gate.Decide(kStart, Order(true, 0), record) == ZoneOrderStep::kPropose);
  record.Apply(SetZoneOut{kZone, true});
  const std::uint64_t first = record.KnownZoneChange(kZone);
  record.Apply(SetZoneOut{kZone, false});
  record.Apply(SetZoneOut{kZone, true});
  CHECK(gate.Decide(kStart, Order(false, first), record) ==
        ZoneOrderStep::kReject);
  CHECK(gate.Decide(kStart, Order(false, record.KnownZoneChange(kZone)),
                    record) == ZoneOrderStep::kPropose);
  // A repeated order is acknowledged whatever its host knew.
  CHECK(gate.Decide(kStart, Order(true, first), record) ==
        ZoneOrderStep::kAcknowledge);
  // Hosts of earlier builds do not tell what they knew.
  CHECK(gate.Decide(kStart, {{kZone, false}, std::nullopt}, record) ==
        ZoneOrderStep::kPropose);
}

TEST_CASE("no order passes another change on its way", "[fleet]") {
  FleetRecord record;
  ZoneOrderGate gate;
  gate.RecordProposal(kZone);
  CHECK(gate.Decide(kStart, Order(true, 0), record) == ZoneOrderStep::kReject);
  CHECK(gate.Decide(kStart, Order(false, 0), record) == ZoneOrderStep::kReject);
  CHECK(gate.Decide(kStart, {{ZoneId("other"), true}, 0}, record) ==
        ZoneOrderStep::kPropose);
  gate.RecordEnd(kStart, kZone, /*may_be_committed=*/true);
  CHECK(gate.Decide(kStart, Order(true, 0), record) == ZoneOrderStep::kReject);
  CHECK(gate.Decide(kStart + seconds(5), Order(true, 0), record) ==
        ZoneOrderStep::kPropose);
  gate.RecordProposal(kZone);
  gate.RecordEnd(kStart, kZone, /*may_be_committed=*/false);
  gate.Clear();
  CHECK(gate.Decide(kStart, Order(true, 0), record) == ZoneOrderStep::kPropose);
}

// An operator who evacuates a zone and takes it back by turns. Each order is
// sent to one control host after another, and copies that the operator has
// given up on arrive at the leader at any later time.
class DelayedOrders {
 public:
  explicit DelayedOrders(std::uint64_t seed) : random_(seed) {}

  // Returns whether the zone was always as the last acknowledged order says.
  bool Run() {
    for (int order = 0; order < 40; ++order) {
      const bool out = order % 2 == 0;
      for (std::uint64_t copies = random_.Below(3); copies > 0; --copies) {
        late_.push_back(Order(out, record_.KnownZoneChange(kZone)));
      }
      // The order itself; the operator goes on when it is acknowledged.
      while (!Deliver(Order(out, record_.KnownZoneChange(kZone)))) Settle();
      for (std::uint64_t steps = random_.Below(4); steps > 0; --steps) {
        DeliverLate();
        if (random_.Below(2) == 0) Settle();
        if (record_.zones_out().contains(kZone) != out) return false;
      }
    }
    return true;
  }

 private:
  // Returns whether the order is acknowledged.
  bool Deliver(const ZoneOrder& order) {
    switch (gate_.Decide(kStart, order, record_)) {
      case ZoneOrderStep::kAcknowledge:
        return true;
      case ZoneOrderStep::kReject:
        return false;
      case ZoneOrderStep::kPropose:
        break;
    }
    gate_.RecordProposal(kZone);
    log_.push_back(order.change);
    return false;
  }

  void DeliverLate() {
    if (late_.empty()) return;
    const std::size_t at = random_.Below(late_.size());
    Deliver(late_[at]);
    late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(at));
  }

  // Commits the oldest proposal.
  void Settle() {
    if (log_.empty()) return;
    record_.Apply(log_.front());
    log_.pop_front();
    gate_.RecordEnd(kStart, kZone, false);
  }

  Random random_;
  FleetRecord record_;
  ZoneOrderGate gate_;
  std::deque<SetZoneOut> log_;
  std::vector<ZoneOrder> late_;
};

TEST_CASE("late copies of orders change nothing, wherever they waited",
          "[fleet]") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    CAPTURE(seed);
    CHECK(DelayedOrders(seed).Run());
  }
}

}  // namespace
}  // namespace sapphirebank
