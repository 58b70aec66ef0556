#include "sapphirebank/backend/backend_server.h"

#include <algorithm>
#include <cassert>

namespace sapphirebank {
namespace {

// Consecutive failures after which other servers are preferred.
constexpr std::uint32_t kSuspectFailures = 2;

}  // namespace

BackendServer::BackendServer(const StateChart& chart,
                             const Announcement& announcement, Instant now)
    : announcement_(announcement), state_machine_(chart), last_answer_(now) {
  last_announced_ = now;
  last_unaccounted_running_ = announcement.running;
  window_.backend = announcement.backend;
  if (announcement.draining) state_machine_.Apply(BackendEvent::kDrain);
}

AnnounceDecision BackendServer::Renew(Instant now, Duration ttl,
                                      const Announcement& announcement) {
  assert(announcement.backend == announcement_.backend);
  const bool same_process = announcement.process_id == announcement_.process_id;
  if (announcement.incarnation < announcement_.incarnation ||
      announcement.process_id == previous_process_) {
    return AnnounceDecision::kStale;
  }
  const bool same_incarnation =
      announcement.incarnation == announcement_.incarnation;
  if (!same_process && same_incarnation &&
      announcement.address != announcement_.address &&
      now - last_announced_ < ttl) {
    return AnnounceDecision::kConflict;
  }
  last_announced_ = now;
  const Announcement previous = announcement_;
  announcement_ = announcement;
  if (!same_process || !same_incarnation) {
    previous_process_ = same_process ? "" : previous.process_id;
    ResetForNewProcess(now);
    return AnnounceDecision::kNewProcess;
  }
  // A load report may be out of date, so two consecutive ones must agree before
  // slots that requests of an earlier owner may occupy are freed.
  const std::uint32_t own = slot_tracker_.taken() - slot_tracker_.inherited();
  const std::uint32_t unaccounted =
      announcement.running > own ? announcement.running - own : 0;
  slot_tracker_.LowerInherited(
      std::max(unaccounted, last_unaccounted_running_));
  last_unaccounted_running_ = unaccounted;
  if (announcement.draining) {
    return state_machine_.Apply(BackendEvent::kDrain)
               ? AnnounceDecision::kDraining
               : AnnounceDecision::kRenewed;
  }
  if (state_machine_.Apply(BackendEvent::kResumed)) {
    ReturnToService();
    return AnnounceDecision::kResumed;
  }
  const bool changed = previous.address != announcement.address ||
                       previous.slots != announcement.slots ||
                       previous.max_connections != announcement.max_connections;
  return changed ? AnnounceDecision::kChanged : AnnounceDecision::kRenewed;
}

void BackendServer::ResetForNewProcess(Instant now) {
  std::vector<Fingerprint> running;
  for (const auto& request : slot_tracker_.running()) {
    if (!request.probe) running.push_back(request.fingerprint);
  }
  ConfirmCrash(now, running);
  crash_detector_.OnNewProcess();
  slot_tracker_.Clear();
  latency_step_.Reset();
  consecutive_failures_ = 0;
  consecutive_bad_probes_ = 0;
  last_unaccounted_running_ = announcement_.running;
  ++process_count_;
  if (announcement_.draining) {
    state_machine_.Apply(BackendEvent::kDrain);
    return;
  }
  state_machine_.Apply(BackendEvent::kResumed);
  ReturnToService();
}

void BackendServer::ConfirmCrash(Instant now,
                                 const std::vector<Fingerprint>& running) {
  const bool already_reported = crash_detector_.crash_reported();
  auto requests = crash_detector_.Confirm(now, running);
  if (!requests) return;
  if (!already_reported) ++window_.crashes;
  if (!crash_) crash_ = CrashReport{announcement_.backend, {}};
  crash_->running.insert(crash_->running.end(), requests->begin(),
                         requests->end());
}

void BackendServer::ReturnToService() {
  cold_start_.Restart();
  state_machine_.Apply(BackendEvent::kTurnedCold);
  if (verdict_ && verdict_->kind == VerdictKind::kEject) {
    state_machine_.Apply(BackendEvent::kEjected);
  }
  if (!zone_in_service_) state_machine_.Apply(BackendEvent::kZoneOut);
}

bool BackendServer::SetZoneInService(bool in_service) {
  zone_in_service_ = in_service;
  if (!in_service) return state_machine_.Apply(BackendEvent::kZoneOut);
  if (!state_machine_.Apply(BackendEvent::kZoneIn)) return false;
  ReturnToService();
  return true;
}

void BackendServer::ResetToCold() {
  cold_start_.Restart();
  state_machine_.Apply(BackendEvent::kTurnedCold);
}

void BackendServer::SkipColdStart(const BackendPolicy& policy) {
  while (cold_start_.Limit(policy, announcement_.slots) < announcement_.slots) {
    cold_start_.AddSuccess();
  }
  state_machine_.Apply(BackendEvent::kRamped);
}

void BackendServer::SetVerdict(Instant now, const Verdict& verdict,
                               Instant until) {
  if (verdict.kind != VerdictKind::kEject) EndVerdict();
  verdict_ = verdict;
  verdict_since_ = now;
  verdict_until_ = until;
  if (verdict.kind == VerdictKind::kEject) {
    state_machine_.Apply(BackendEvent::kEjected);
  }
}

void BackendServer::EndVerdict() {
  verdict_.reset();
  if (!state_machine_.Apply(BackendEvent::kEjectionEnded)) return;
  cold_start_.Restart();
  consecutive_failures_ = 0;
}

std::uint32_t BackendServer::SlotLimit(const BackendPolicy& policy) const {
  if (!AcceptsRequests(state())) return 0;
  std::uint32_t limit =
      std::min(announcement_.slots, announcement_.max_connections);
  if (state() == BackendState::kCold) {
    limit = cold_start_.Limit(policy, limit);
  }
  if (verdict_ && verdict_->kind == VerdictKind::kLimit) {
    limit = std::min(limit, std::max(verdict_->slot_limit, 1U));
  }
  return limit;
}

std::uint32_t BackendServer::FreeSlots(const BackendPolicy& policy) const {
  const std::uint32_t limit = SlotLimit(policy);
  const std::uint32_t taken = slot_tracker_.taken();
  return limit > taken ? limit - taken : 0;
}

bool BackendServer::IsSuspect(Instant now, Duration overdue_limit) const {
  if (consecutive_failures_ >= kSuspectFailures) return true;
  if (verdict_ && verdict_->kind == VerdictKind::kLimit) return true;
  const auto overdue = slot_tracker_.CountOverdue(now, overdue_limit);
  return overdue.fresh + overdue.old > 0;
}

void BackendServer::Expire(Instant now) {
  slot_tracker_.Expire(now);
  window_.lost_connections += crash_detector_.TakeUnconfirmed(now);
  if (verdict_ && verdict_until_ <= now) EndVerdict();
}

void BackendServer::RecordOutcome(Instant now, const BackendPolicy& policy,
                                  const Outcome& outcome,
                                  Fingerprint fingerprint, bool slow) {
  if (outcome.kind == OutcomeKind::kCancelled) return;
  last_answer_ = now;
  if (outcome.kind != OutcomeKind::kSuccess) {
    RecordFailure(now, outcome, fingerprint);
    return;
  }
  ++window_.successes;
  crash_detector_.OnNewProcess();
  window_.latency.Add(outcome.latency);
  latency_step_.Add(outcome.latency);
  consecutive_failures_ = 0;
  if (outcome.fresh_connection) needs_fresh_connection_ = false;
  if (state() != BackendState::kCold || slow) return;
  cold_start_.AddSuccess();
  const std::uint32_t slots = announcement_.slots;
  if (cold_start_.Limit(policy, slots) == slots) {
    state_machine_.Apply(BackendEvent::kRamped);
  }
}

void BackendServer::RecordFailure(Instant now, const Outcome& outcome,
                                  Fingerprint fingerprint) {
  if (state() == BackendState::kCold) cold_start_.AddFailure();
  const bool old_timeout =
      outcome.kind == OutcomeKind::kTimedOut && !outcome.fresh_connection;
  if (!old_timeout) ++consecutive_failures_;
  switch (outcome.kind) {
    case OutcomeKind::kHttpError:
      ++window_.http_errors;
      break;
    case OutcomeKind::kTimedOut:
      needs_fresh_connection_ = true;
      ++(old_timeout ? window_.timeouts_old : window_.timeouts_fresh);
      break;
    case OutcomeKind::kConnectionLost:
      crash_detector_.AddLostConnection(now, fingerprint);
      break;
    case OutcomeKind::kConnectionRefused:
      ConfirmCrash(now, {});
      if (!crash_detector_.IsRestarting(now)) ++window_.refused;
      last_refused_ = now;
      consecutive_failures_ = std::max(consecutive_failures_, kSuspectFailures);
      // The next process that listens at the address is a new one.
      ResetToCold();
      break;
    case OutcomeKind::kSuccess:
    case OutcomeKind::kCancelled:
      break;
  }
}

void BackendServer::RecordProbe(Instant now, ProbeOutcome outcome) {
  if (outcome == ProbeOutcome::kGood) {
    ++window_.probes_good;
    consecutive_bad_probes_ = 0;
    return;
  }
  ++window_.probes_bad;
  ++consecutive_bad_probes_;
  if (outcome == ProbeOutcome::kRefused) {
    ConfirmCrash(now, {});
    ResetToCold();
  }
}

bool BackendServer::OpenConnection() {
  if (connections_ >= announcement_.max_connections) return false;
  ++connections_;
  return true;
}

void BackendServer::CloseConnection() {
  assert(connections_ > 0);
  --connections_;
}

ServerWindow BackendServer::TakeWindow(Instant now, Duration overdue_limit) {
  ServerWindow result = window_;
  result.process_id = announcement_.process_id;
  result.state = state();
  result.slots = announcement_.slots;
  result.in_flight = slot_tracker_.taken();
  const auto overdue = slot_tracker_.CountOverdue(now, overdue_limit);
  result.overdue_fresh = overdue.fresh;
  result.overdue_old = overdue.old;
  result.oldest_in_flight = slot_tracker_.OldestAge(now);
  if (verdict_ && verdict_->kind == VerdictKind::kEject) {
    result.ejection_left =
        std::max(verdict_->left - (now - verdict_since_), Duration(1));
    result.ejection_level = verdict_->level;
  }
  window_ = ServerWindow();
  window_.backend = announcement_.backend;
  return result;
}

std::optional<CrashReport> BackendServer::TakeCrashReport() {
  auto result = std::move(crash_);
  crash_.reset();
  return result;
}

}  // namespace sapphirebank
