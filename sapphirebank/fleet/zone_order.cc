#include "sapphirebank/fleet/zone_order.h"

namespace sapphirebank {
namespace {

// A proposal without a majority is committed or overwritten by then: a leader
// that stays cut off for so long has been replaced.
constexpr Duration kUnsettledTime = std::chrono::seconds(4);

}  // namespace

ZoneOrderStep ZoneOrderGate::Decide(Instant now, const ZoneOrder& order,
                                    const FleetRecord& record) const {
  const auto found = unsettled_.find(order.change.zone);
  const bool is_unsettled =
      found != unsettled_.end() &&
      (found->second.proposals > 0 || now < found->second.until);
  if (is_unsettled) return ZoneOrderStep::kReject;
  if (record.zones_out().contains(order.change.zone) == order.change.out) {
    return ZoneOrderStep::kAcknowledge;
  }
  const bool is_current =
      !order.known_change ||
      *order.known_change == record.KnownZoneChange(order.change.zone);
  return is_current ? ZoneOrderStep::kPropose : ZoneOrderStep::kReject;
}

void ZoneOrderGate::RecordProposal(const ZoneId& zone) {
  ++unsettled_[zone].proposals;
}

void ZoneOrderGate::RecordEnd(Instant now, const ZoneId& zone,
                              bool may_be_committed) {
  const auto found = unsettled_.find(zone);
  if (found == unsettled_.end()) return;
  Unsettled& unsettled = found->second;
  if (unsettled.proposals > 0) --unsettled.proposals;
  if (may_be_committed) unsettled.until = now + kUnsettledTime;
  if (unsettled.proposals == 0 && now >= unsettled.until) {
    unsettled_.erase(found);
  }
}

}  // namespace sapphirebank
