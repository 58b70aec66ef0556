#include "sapphirebank/fleet/server_liveness_tracker.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {

void ServerLivenessTracker::RecordAssignment(Instant now,
                                             const BackendId& server) {
  Liveness& liveness = servers_[server];
  liveness.assigned_at = now;
  if (liveness.unconfirmed_since &&
      now - *liveness.unconfirmed_since >= settings_.confirmation_delay) {
    liveness.confirmed_at =
        std::exchange(liveness.unconfirmed_since, std::nullopt);
  }
  if (!liveness.unconfirmed_since) liveness.unconfirmed_since = now;
}

void ServerLivenessTracker::RecordSuccess(Instant assigned_at,
                                          const BackendId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  Liveness& liveness = found->second;
  liveness.required_successes = std::max(liveness.required_successes - 1, 0);
  if (!liveness.confirmed_at || *liveness.confirmed_at < assigned_at) {
    liveness.confirmed_at = assigned_at;
  }
}

void ServerLivenessTracker::RecordFailure(const BackendId& server) {
  Liveness& liveness = servers_[server];
  liveness.confirmed_at.reset();
  liveness.unconfirmed_since.reset();
  liveness.required_successes = settings_.successes_after_failure;
}

Duration ServerLivenessTracker::ConfirmationAge(Instant now,
                                                const BackendId& server) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return settings_.max_age;
  const Liveness& liveness = found->second;
  if (liveness.required_successes > 0) return settings_.max_age;
  const bool is_confirmed =
      liveness.unconfirmed_since &&
      now - *liveness.unconfirmed_since >= settings_.confirmation_delay;
  const auto& confirmed_at =
      is_confirmed ? liveness.unconfirmed_since : liveness.confirmed_at;
  if (!confirmed_at) return settings_.max_age;
  return std::min(now - *confirmed_at, settings_.max_age);
}

Duration ServerLivenessTracker::IdleTime(Instant now,
                                         const BackendId& server) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return settings_.max_age;
  return std::min(now - found->second.assigned_at, settings_.max_age);
}

void ServerLivenessTracker::Tick(Instant now) {
  std::erase_if(servers_, [&](const auto& item) {
    const Liveness& liveness = item.second;
    return liveness.required_successes == 0 &&
           now - liveness.assigned_at > settings_.max_age;
  });
}

}  // namespace sapphirebank
