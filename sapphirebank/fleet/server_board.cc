#include "sapphirebank/fleet/server_board.h"

#include <algorithm>

namespace sapphirebank {

bool ServerBoard::IsOutdated(const ServerAnnouncement& announcement) const {
  const auto known = entries_.find(announcement.id);
  if (known != entries_.end()) {
    const ServerAnnouncement& last = known->second.state.announcement;
    if (announcement.incarnation < last.incarnation) return true;
    if (announcement.incarnation == last.incarnation &&
        announcement.sequence <= last.sequence) {
      return true;
    }
  }
  // A later life of another server has the address by now.
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    const ServerState& other = item.second.state;
    return item.first != announcement.id && !other.retired &&
           other.announcement.endpoint == announcement.endpoint &&
           other.announcement.incarnation > announcement.incarnation;
  });
}

void ServerBoard::RetireOthersAt(const ServerAnnouncement& announcement) {
  for (auto& [id, entry] : entries_) {
    const bool same_place =
        entry.state.announcement.endpoint == announcement.endpoint;
    if (id == announcement.id || entry.state.retired || !same_place) continue;
    entry.state.retired = true;
    TouchNow(entry);
  }
}

bool ServerBoard::Hear(Instant now, const ServerAnnouncement& announcement,
                       const FleetRecord& record) {
  if (IsOutdated(announcement)) return false;
  const bool retired =
      announcement.leaving ||
      record.IsRetired(announcement.id, announcement.incarnation);
  const auto known = entries_.find(announcement.id);
  const bool is_new_life =
      known == entries_.end() ||
      known->second.state.announcement.incarnation != announcement.incarnation;
  if (is_new_life) RetireOthersAt(announcement);
  Entry& entry = entries_[announcement.id];
  if (is_new_life) entry = Entry();
  const ServerAnnouncement before = entry.state.announcement;
  const Instant cold_until = now + announcement.warm_up_left;
  // The announced rest of a warm-up shrinks as time passes; only a longer one
  // is news.
  constexpr Duration kNewsOfWarmUp = std::chrono::milliseconds(500);
  const bool warm_up_grew = announcement.warm_up_left > Duration::zero() &&
                            cold_until > entry.state.cold_until + kNewsOfWarmUp;
  const bool moved = before.endpoint != announcement.endpoint ||
                     before.service != announcement.service ||
                     before.zone != announcement.zone ||
                     before.slots != announcement.slots;
  const bool retirement_changed = entry.state.retired != retired;
  entry.state.announcement = announcement;
  entry.state.retired = retired;
  entry.heard_at = now;
  if (warm_up_grew) entry.state.cold_until = cold_until;
  if (is_new_life || warm_up_grew || moved || retirement_changed)
    TouchNow(entry);
  return true;
}

void ServerBoard::Adopt(Instant now, const ServerNews& news) {
  const ServerAnnouncement& told = news.announcement;
  Entry& entry = entries_[told.id];
  const ServerAnnouncement& held = entry.state.announcement;
  // This host may have heard of a later life before the leader did.
  if (told.incarnation < held.incarnation) return;
  const bool is_new_life = told.incarnation != held.incarnation;
  if (is_new_life || told.sequence > held.sequence) {
    entry.state.announcement = told;
  }
  if (is_new_life) entry.heard_at = now;
  // Spans of time shift a little on their way.
  constexpr Duration kShift = std::chrono::milliseconds(100);
  const Instant cold_until = now + news.cold_for;
  const bool warm_up_moved = news.cold_for > Duration::zero() &&
                             cold_until > entry.state.cold_until + kShift;
  const bool is_urgent =
      is_new_life || warm_up_moved || entry.state.retired != news.retired;
  const bool was_judged = entry.state.standing != news.standing;
  entry.state.standing = news.standing;
  entry.state.retired = news.retired;
  if (warm_up_moved) entry.state.cold_until = cold_until;
  if (is_urgent) {
    TouchNow(entry);
  } else if (was_judged) {
    Touch(entry);
  }
}

void ServerBoard::BeginToJudge() {
  for (auto& [id, entry] : entries_) {
    entry.evidence = ServerEvidence();
    if (entry.state.standing == Standing::kUp) continue;
    entry.state.standing = Standing::kUp;
    TouchNow(entry);
  }
}

void ServerBoard::AddOutcomes(Instant now, const BackendId& id,
                              const ServerOutcomes& outcomes) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (outcomes.successes > 0) entry.reached_at = now;
  const bool may_fall = entry.evidence.standing() == Standing::kUp &&
                        outcomes.errors + outcomes.breaks > 0;
  if (may_fall && !MayLeave(entry)) return;
  if (!entry.evidence.Add(now, outcomes, settings_.evidence)) return;
  Judge(id, entry);
}

// Takes over what the evidence says.
void ServerBoard::Judge(const BackendId& id, Entry& entry) {
  entry.state.standing = entry.evidence.standing();
  standing_changes_.push_back({id, entry.state.announcement.service,
                               entry.state.standing, entry.evidence.successes(),
                               entry.evidence.failures()});
  Touch(entry);
}

std::size_t ServerBoard::DownInService(const ServerAnnouncement& of) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        const ServerState& state = item.second.state;
        return state.standing == Standing::kDown && !state.retired &&
               state.announcement.service == of.service;
      }));
}

// Keeps most servers of a service in use, whatever the evidence says: when all
// seem bad, the cause lies elsewhere.
bool ServerBoard::MayLeave(const Entry& entry) const {
  constexpr double kMostDown = 0.5;
  std::size_t live = 0;
  for (const auto& [id, other] : entries_) {
    if (!other.state.retired &&
        other.state.announcement.service == entry.state.announcement.service) {
      ++live;
    }
  }
  const auto down = DownInService(entry.state.announcement);
  return static_cast<double>(down + 1) <= kMostDown * static_cast<double>(live);
}

void ServerBoard::Follow(const FleetRecord& record) {
  for (auto& [id, entry] : entries_) {
    if (entry.state.retired) continue;
    if (!record.IsRetired(id, entry.state.announcement.incarnation)) continue;
    entry.state.retired = true;
    TouchNow(entry);
  }
}

void ServerBoard::ZoneReturned(Instant now, const ZoneId& zone,
                               Duration warm_up) {
  for (auto& [id, entry] : entries_) {
    if (entry.state.announcement.zone != zone) continue;
    entry.state.cold_until = std::max(entry.state.cold_until, now + warm_up);
    TouchNow(entry);
  }
}

void ServerBoard::Tick(Instant now) {
  for (auto& [id, entry] : entries_) {
    if (entry.state.retired) continue;
    if (entry.evidence.Tick(now, settings_.evidence)) Judge(id, entry);
    const Duration silence = now - entry.heard_at;
    const bool failing = entry.state.standing != Standing::kUp &&
                         now - entry.reached_at > settings_.silent_and_failing;
    if (silence > settings_.silent ||
        (failing && silence > settings_.silent_and_failing)) {
      entry.state.retired = true;
      TouchNow(entry);
    }
  }
}

}  // namespace sapphirebank
