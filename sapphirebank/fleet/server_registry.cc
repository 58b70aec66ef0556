#include "sapphirebank/fleet/server_registry.h"

#include <algorithm>

namespace sapphirebank {

bool ServerRegistry::IsOutdated(const ServerAnnouncement& announcement) const {
  const auto known = entries_.find(announcement.id);
  if (known != entries_.end()) {
    const ServerAnnouncement& last = known->second.state.announcement;
    if (announcement.incarnation < last.incarnation) return true;
    if (announcement.incarnation == last.incarnation &&
        announcement.sequence <= last.sequence) {
      return true;
    }
    // A later incarnation at the endpoint would have retired this one.
    if (announcement.incarnation == last.incarnation &&
        announcement.endpoint == last.endpoint &&
        !known->second.state.retired) {
      return false;
    }
  }
  // A later incarnation of another server uses the endpoint.
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    const ServerState& other = item.second.state;
    return item.first != announcement.id && !other.retired &&
           other.announcement.endpoint == announcement.endpoint &&
           other.announcement.incarnation > announcement.incarnation;
  });
}

void ServerRegistry::RetireOthersAtEndpoint(
    const ServerAnnouncement& announcement) {
  for (auto& [id, entry] : entries_) {
    const bool same_endpoint =
        entry.state.announcement.endpoint == announcement.endpoint;
    if (id == announcement.id || entry.state.retired || !same_endpoint)
      continue;
    entry.state.retired = true;
    MarkUrgentlyChanged(entry);
  }
}

bool ServerRegistry::ApplyHeartbeat(Instant now,
                                    const ServerAnnouncement& announcement,
                                    const FleetRecord& record) {
  if (IsOutdated(announcement)) return false;
  const bool retired =
      announcement.leaving ||
      record.IsRetired(announcement.id, announcement.incarnation);
  const auto known = entries_.find(announcement.id);
  const bool is_new_incarnation =
      known == entries_.end() ||
      known->second.state.announcement.incarnation != announcement.incarnation;
  if (is_new_incarnation) RetireOthersAtEndpoint(announcement);
  Entry& entry = entries_[announcement.id];
  if (is_new_incarnation) entry = Entry();
  const ServerAnnouncement before = entry.state.announcement;
  const Instant cold_until = now + announcement.warm_up_left;
  // The announced remaining warm-up shrinks with time; only an extension is a
  // change.
  constexpr Duration kMinWarmUpExtension = std::chrono::milliseconds(500);
  const bool warm_up_extended =
      announcement.warm_up_left > Duration::zero() &&
      cold_until > entry.state.cold_until + kMinWarmUpExtension;
  const bool details_changed = before.endpoint != announcement.endpoint ||
                               before.service != announcement.service ||
                               before.zone != announcement.zone ||
                               before.version != announcement.version ||
                               before.slots != announcement.slots;
  const bool retirement_changed = entry.state.retired != retired;
  entry.state.announcement = announcement;
  entry.state.retired = retired;
  entry.last_heartbeat_at = now;
  if (warm_up_extended) entry.state.cold_until = cold_until;
  if (is_new_incarnation || warm_up_extended || details_changed ||
      retirement_changed)
    MarkUrgentlyChanged(entry);
  return true;
}

bool ServerRegistry::ApplyRateLimit(Instant now, const BackendId& id,
                                    std::optional<double> limit) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  Entry& entry = found->second;
  entry.rate_limit_reported_at = now;
  if (entry.state.rate_limit == limit) return false;
  entry.state.rate_limit = limit;
  MarkChanged(entry);
  return true;
}

void ServerRegistry::ApplyServerUpdate(Instant now, const ServerUpdate& update,
                                       const FleetRecord& record) {
  const ServerAnnouncement& incoming = update.announcement;
  Entry& entry = entries_[incoming.id];
  const ServerAnnouncement& current = entry.state.announcement;
  // This host may know a later incarnation before the leader does.
  if (incoming.incarnation < current.incarnation) return;
  const bool is_new_incarnation = incoming.incarnation != current.incarnation;
  const bool is_newer =
      is_new_incarnation || incoming.sequence > current.sequence;
  const bool version_changed = is_newer && incoming.version != current.version;
  if (is_newer) entry.state.announcement = incoming;
  if (is_new_incarnation) entry.last_heartbeat_at = now;
  // Remaining times shift slightly by message latency.
  constexpr Duration kTransitTolerance = std::chrono::milliseconds(100);
  const Instant cold_until = now + update.cold_for;
  const bool warm_up_extended =
      update.cold_for > Duration::zero() &&
      cold_until > entry.state.cold_until + kTransitTolerance;
  const bool is_retired =
      update.retired || record.IsRetired(incoming.id, incoming.incarnation);
  const bool is_urgent = is_new_incarnation || warm_up_extended ||
                         version_changed || entry.state.retired != is_retired;
  const bool limit_is_settled =
      is_new_incarnation ||
      now - entry.rate_limit_reported_at >= settings_.rate_limit_settling_time;
  const bool limit_changed =
      limit_is_settled && entry.state.rate_limit != update.rate_limit;
  if (limit_changed) entry.state.rate_limit = update.rate_limit;
  const bool health_changed = entry.state.health != update.health;
  entry.state.health = update.health;
  entry.state.retired = is_retired;
  if (warm_up_extended) entry.state.cold_until = cold_until;
  if (is_urgent) {
    MarkUrgentlyChanged(entry);
  } else if (health_changed || limit_changed) {
    MarkChanged(entry);
  }
}

void ServerRegistry::ResetHealth() {
  for (auto& [id, entry] : entries_) {
    entry.health_tracker = ServerHealthTracker();
    if (entry.state.health == ServerHealth::kUp) continue;
    entry.state.health = ServerHealth::kUp;
    MarkUrgentlyChanged(entry);
  }
}

void ServerRegistry::AddOutcomes(Instant now, const BackendId& id,
                                 const ServerOutcomes& outcomes) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (outcomes.successes > 0) entry.last_success_at = now;
  const bool may_go_down = entry.health_tracker.health() == ServerHealth::kUp &&
                           outcomes.errors + outcomes.hard_failures > 0;
  if (may_go_down && !MayTakeDown(entry)) return;
  if (!entry.health_tracker.Add(now, outcomes, settings_.health_tracker))
    return;
  UpdateHealth(id, entry);
}

// Copies the tracked health into the server's state.
void ServerRegistry::UpdateHealth(const BackendId& id, Entry& entry) {
  entry.state.health = entry.health_tracker.health();
  health_changes_.push_back(
      {id, entry.state.announcement.service, entry.state.health,
       entry.health_tracker.successes(), entry.health_tracker.failures()});
  MarkChanged(entry);
}

bool ServerRegistry::AreJudgedTogether(const ServerAnnouncement& a,
                                       const ServerAnnouncement& b) const {
  return a.service == b.service &&
         (!settings_.judges_versions_apart || a.version == b.version);
}

std::size_t ServerRegistry::CountDownInService(
    const ServerAnnouncement& announcement) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        const ServerState& state = item.second.state;
        return state.health == ServerHealth::kDown && !state.retired &&
               AreJudgedTogether(state.announcement, announcement);
      }));
}

// Keeps at least half of a service's servers in use whatever the outcomes: when
// all seem unhealthy, the cause lies elsewhere.
bool ServerRegistry::MayTakeDown(const Entry& entry) const {
  constexpr double kMaxDownFraction = 0.5;
  std::size_t active = 0;
  for (const auto& [id, other] : entries_) {
    if (!other.state.retired &&
        AreJudgedTogether(other.state.announcement, entry.state.announcement)) {
      ++active;
    }
  }
  const auto down = CountDownInService(entry.state.announcement);
  return static_cast<double>(down + 1) <=
         kMaxDownFraction * static_cast<double>(active);
}

void ServerRegistry::ApplyRetirements(const FleetRecord& record) {
  for (auto& [id, entry] : entries_) {
    if (entry.state.retired) continue;
    if (!record.IsRetired(id, entry.state.announcement.incarnation)) continue;
    entry.state.retired = true;
    MarkUrgentlyChanged(entry);
  }
}

void ServerRegistry::MarkZoneCold(Instant now, const ZoneId& zone,
                                  Duration warm_up) {
  for (auto& [id, entry] : entries_) {
    if (entry.state.announcement.zone != zone) continue;
    entry.state.cold_until = std::max(entry.state.cold_until, now + warm_up);
    MarkUrgentlyChanged(entry);
  }
}

void ServerRegistry::Tick(Instant now) {
  for (auto& [id, entry] : entries_) {
    if (entry.state.retired) continue;
    if (entry.health_tracker.Tick(now, settings_.health_tracker))
      UpdateHealth(id, entry);
    const Duration heartbeat_age = now - entry.last_heartbeat_at;
    const bool failing =
        entry.state.health != ServerHealth::kUp &&
        now - entry.last_success_at > settings_.failing_heartbeat_timeout;
    if (heartbeat_age > settings_.heartbeat_timeout ||
        (failing && heartbeat_age > settings_.failing_heartbeat_timeout)) {
      entry.state.retired = true;
      MarkUrgentlyChanged(entry);
    }
  }
}

}  // namespace sapphirebank
