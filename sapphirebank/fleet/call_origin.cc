#include "sapphirebank/fleet/call_origin.h"

#include <variant>

namespace sapphirebank {

bool IsOrderedByVersion(const ControlCommand& change) {
  if (std::holds_alternative<SetZoneOut>(change) ||
      std::holds_alternative<StartRollout>(change)) {
    return false;
  }
  const auto* departure = std::get_if<RetireBackend>(&change);
  return departure == nullptr || departure->incarnation > 0;
}

void SuspensionWatch::RecordTick(Instant now) {
  if (has_ticked_ && now - last_tick_at_ >= limit_) {
    has_resumed_ = true;
    resumed_at_ = now;
  }
  has_ticked_ = true;
  last_tick_at_ = now;
}

bool SuspensionWatch::WasSuspended(Instant now) const {
  if (has_ticked_ && now - last_tick_at_ >= limit_) return true;
  return has_resumed_ && now - resumed_at_ < limit_;
}

std::string_view ReasonNotToBegin(Instant now, const CallOrigin& origin,
                                  Duration limit,
                                  const SuspensionWatch& suspension) {
  if (now - origin.arrived_at >= limit) return "the call waited too long";
  if (now - origin.connection_opened_at >= limit) {
    return "the call may be as old as its connection";
  }
  if (origin.caller_hung_up && *origin.caller_hung_up) {
    return "the caller hung up";
  }
  if (suspension.WasSuspended(now)) {
    return "this control host was suspended while calls may have waited";
  }
  return {};
}

}  // namespace sapphirebank
