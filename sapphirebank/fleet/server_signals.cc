#include "sapphirebank/fleet/server_signals.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {
namespace {

// Signals are forgotten after this time. Servers that leave are gone by then.
constexpr Duration kRetention = std::chrono::minutes(10);

// Maximum pause that a server is granted, below kRetention.
constexpr Duration kMaxPause = std::chrono::minutes(5);

}  // namespace

ServerSignals::Signals* ServerSignals::SignalsOf(Instant now,
                                                 const BackendId& server,
                                                 Incarnation incarnation) {
  std::erase_if(signals_, [&](const auto& item) {
    return now - item.second.recorded_at > kRetention;
  });
  Signals& signals = signals_[server];
  if (incarnation < signals.incarnation) return nullptr;
  if (incarnation > signals.incarnation) signals = Signals();
  signals.incarnation = incarnation;
  signals.recorded_at = now;
  return &signals;
}

bool ServerSignals::RecordLeaving(Instant now, const BackendId& server,
                                  Incarnation incarnation) {
  Signals* const signals = SignalsOf(now, server, incarnation);
  return signals != nullptr && !std::exchange(signals->is_leaving, true);
}

void ServerSignals::RecordPause(Instant now, const BackendId& server,
                                Incarnation incarnation, Duration pause) {
  Signals* const signals = SignalsOf(now, server, incarnation);
  if (signals == nullptr) return;
  signals->paused_until =
      std::max(signals->paused_until, now + std::min(pause, kMaxPause));
}

bool ServerSignals::Permit(Instant now, const BackendId& server,
                           Incarnation incarnation) const {
  const auto found = signals_.find(server);
  if (found == signals_.end() || found->second.incarnation != incarnation) {
    return true;
  }
  return !found->second.is_leaving && now >= found->second.paused_until;
}

}  // namespace sapphirebank
