#include "sapphirebank/fleet/server_liveness_tracker.h"

#include <algorithm>
#include <cmath>

namespace sapphirebank {

ServerLivenessTracker::Status ServerLivenessTracker::StatusOf(
    Instant now, const BackendId& id) const {
  Status status;
  status.confirmation_age = settings_.max_age;
  status.idle_time = settings_.retention;
  const auto found = servers_.find(id);
  if (found == servers_.end()) return status;
  const Server& server = found->second;
  status.in_flight = static_cast<int>(server.pending.size());
  status.idle_time = std::min(now - server.assigned_at, settings_.retention);
  std::optional<Instant> confirmed_at = server.served_at;
  for (const PendingAssignment& pending : server.pending) {
    const bool is_overdue = pending.overdue_at <= now &&
                            now - pending.overdue_at < settings_.max_age;
    if (is_overdue &&
        (!server.served_at || *server.served_at < pending.assigned_at)) {
      status.is_overdue = true;
    }
    const bool confirms =
        now - pending.assigned_at >= settings_.confirmation_delay &&
        (!server.failed_at || *server.failed_at < pending.assigned_at);
    if (confirms && SilenceConfirms()) {
      confirmed_at = std::max(confirmed_at.value_or(pending.assigned_at),
                              pending.assigned_at);
    }
  }
  const bool is_discarded =
      server.required_successes > 0 ||
      (server.failed_at && confirmed_at && *confirmed_at <= *server.failed_at);
  if (confirmed_at && !is_discarded) {
    status.confirmation_age = std::min(now - *confirmed_at, settings_.max_age);
  }
  return status;
}

void ServerLivenessTracker::Track(Instant now, const BackendId& id) {
  const auto [server, is_new] = servers_.try_emplace(id);
  if (is_new) server->second.assigned_at = now;
}

void ServerLivenessTracker::RecordAssignment(
    const BackendId& id, const PendingAssignment& assignment) {
  Server& server = servers_[id];
  server.pending.push_back(assignment);
  server.assigned_at = assignment.assigned_at;
}

void ServerLivenessTracker::Discard(const BackendId& id,
                                    const PendingAssignment& assignment) {
  std::vector<PendingAssignment>& pending = servers_[id].pending;
  const auto found = std::find(pending.begin(), pending.end(), assignment);
  if (found != pending.end()) pending.erase(found);
}

void ServerLivenessTracker::RecordEnd(Instant now, const BackendId& id,
                                      const PendingAssignment& assignment,
                                      AssignmentOutcome outcome) {
  Discard(id, assignment);
  Server& server = servers_[id];
  if (outcome == AssignmentOutcome::kServed) {
    RecordServed(server, assignment.assigned_at);
    return;
  }
  if (outcome == AssignmentOutcome::kRejected) return;
  // A caller that gives up on an overdue request has shown that it hung.
  const bool hung = now >= assignment.overdue_at;
  if (!hung && outcome == AssignmentOutcome::kInconclusive) return;
  const bool is_prompt =
      now - assignment.assigned_at < settings_.confirmation_delay;
  if (hung || is_prompt) CountFailure(now, hung);
  RecordFailureSince(server, now, assignment.assigned_at);
}

void ServerLivenessTracker::RecordServed(Server& server,
                                         Instant assigned_at) const {
  server.required_successes = std::max(server.required_successes - 1, 0);
  if (!server.served_at || *server.served_at < assigned_at) {
    server.served_at = assigned_at;
  }
}

void ServerLivenessTracker::RecordFailureSince(Server& server, Instant now,
                                               Instant since) const {
  // A request that was assigned later has been served meanwhile.
  if (server.served_at && *server.served_at > since) return;
  server.failed_at = now;
  server.required_successes = settings_.successes_after_failure;
}

void ServerLivenessTracker::RecordFailure(Instant now, const BackendId& id) {
  RecordFailureSince(servers_[id], now, now);
}

void ServerLivenessTracker::CountFailure(Instant now, bool is_silent) {
  const double half_lives = ToSeconds(now - failures_decayed_at_) /
                            ToSeconds(settings_.failure_half_life);
  failures_decayed_at_ = now;
  const double factor = std::exp2(-half_lives);
  prompt_failures_ *= factor;
  silent_failures_ *= factor;
  ++(is_silent ? silent_failures_ : prompt_failures_);
}

bool ServerLivenessTracker::SilenceConfirms() const {
  return prompt_failures_ >=
         settings_.prompt_failures_per_silent * silent_failures_;
}

void ServerLivenessTracker::Tick(Instant now) {
  std::erase_if(servers_, [&](const auto& item) {
    const Server& server = item.second;
    return server.pending.empty() && server.required_successes == 0 &&
           now - server.assigned_at > settings_.retention;
  });
}

}  // namespace sapphirebank
