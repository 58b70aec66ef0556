#include "sapphirebank/backend/backend_server.h"

#include <algorithm>
#include <cassert>

namespace sapphirebank {
namespace {

// Failures in a row after which other servers are preferred.
constexpr std::uint32_t kSuspectFailures = 2;

}  // namespace

BackendServer::BackendServer(const StateChart& chart,
                             const Announcement& announcement, Instant now)
    : announcement_(announcement), life_(chart), last_answer_(now) {
  last_heard_ = now;
  last_extra_running_ = announcement.running;
  window_.backend = announcement.backend;
  if (announcement.draining) life_.Apply(BackendEvent::kDrain);
}

AnnounceDecision BackendServer::Renew(Instant now, Duration ttl,
                                      const Announcement& announcement) {
  assert(announcement.backend == announcement_.backend);
  const bool same_process = announcement.process_id == announcement_.process_id;
  if (announcement.incarnation < announcement_.incarnation ||
      announcement.process_id == previous_process_) {
    return AnnounceDecision::kStale;
  }
  const bool same_life = announcement.incarnation == announcement_.incarnation;
  if (!same_process && same_life &&
      announcement.address != announcement_.address &&
      now - last_heard_ < ttl) {
    return AnnounceDecision::kConflict;
  }
  last_heard_ = now;
  const Announcement before = announcement_;
  announcement_ = announcement;
  if (!same_process || !same_life) {
    previous_process_ = same_process ? "" : before.process_id;
    BeginProcess(now);
    return AnnounceDecision::kNewProcess;
  }
  // A load report may be old, so that two in a row must agree before slots
  // that an earlier owner may use are given away.
  const std::uint32_t own = ledger_.taken() - ledger_.inherited();
  const std::uint32_t extra =
      announcement.running > own ? announcement.running - own : 0;
  ledger_.LowerInherited(std::max(extra, last_extra_running_));
  last_extra_running_ = extra;
  if (announcement.draining) {
    return life_.Apply(BackendEvent::kDrain) ? AnnounceDecision::kDraining
                                             : AnnounceDecision::kRenewed;
  }
  if (life_.Apply(BackendEvent::kResumed)) {
    Reenter();
    return AnnounceDecision::kResumed;
  }
  const bool changed = before.address != announcement.address ||
                       before.slots != announcement.slots ||
                       before.max_connections != announcement.max_connections;
  return changed ? AnnounceDecision::kChanged : AnnounceDecision::kRenewed;
}

void BackendServer::BeginProcess(Instant now) {
  std::vector<Fingerprint> running;
  for (const auto& request : ledger_.running()) {
    if (!request.probe) running.push_back(request.fingerprint);
  }
  ConfirmCrash(now, running);
  crash_witness_.BeginLife();
  ledger_.Clear();
  step_.Reset();
  failures_in_row_ = 0;
  probes_bad_in_row_ = 0;
  last_extra_running_ = announcement_.running;
  ++process_count_;
  if (announcement_.draining) {
    life_.Apply(BackendEvent::kDrain);
    return;
  }
  life_.Apply(BackendEvent::kResumed);
  Reenter();
}

void BackendServer::ConfirmCrash(Instant now,
                                 const std::vector<Fingerprint>& running) {
  const bool known = crash_witness_.crash_told();
  auto victims = crash_witness_.Confirm(now, running);
  if (!victims) return;
  if (!known) ++window_.crashes;
  if (!crash_) crash_ = CrashReport{announcement_.backend, {}};
  crash_->running.insert(crash_->running.end(), victims->begin(),
                         victims->end());
}

void BackendServer::Reenter() {
  cold_start_.Restart();
  life_.Apply(BackendEvent::kTurnedCold);
  if (verdict_ && verdict_->kind == VerdictKind::kEject) {
    life_.Apply(BackendEvent::kEjected);
  }
  if (!zone_in_service_) life_.Apply(BackendEvent::kZoneOut);
}

bool BackendServer::SetZoneInService(bool in_service) {
  zone_in_service_ = in_service;
  if (!in_service) return life_.Apply(BackendEvent::kZoneOut);
  if (!life_.Apply(BackendEvent::kZoneIn)) return false;
  Reenter();
  return true;
}

void BackendServer::TurnCold() {
  cold_start_.Restart();
  life_.Apply(BackendEvent::kTurnedCold);
}

void BackendServer::SkipColdStart(const BackendPolicy& policy) {
  while (cold_start_.Limit(policy, announcement_.slots) < announcement_.slots) {
    cold_start_.AddSuccess();
  }
  life_.Apply(BackendEvent::kRamped);
}

void BackendServer::SetVerdict(Instant now, const Verdict& verdict,
                               Instant until) {
  if (verdict.kind != VerdictKind::kEject) EndVerdict();
  verdict_ = verdict;
  verdict_since_ = now;
  verdict_until_ = until;
  if (verdict.kind == VerdictKind::kEject) {
    life_.Apply(BackendEvent::kEjected);
  }
}

void BackendServer::EndVerdict() {
  verdict_.reset();
  if (!life_.Apply(BackendEvent::kEjectionEnded)) return;
  cold_start_.Restart();
  failures_in_row_ = 0;
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
  const std::uint32_t taken = ledger_.taken();
  return limit > taken ? limit - taken : 0;
}

bool BackendServer::Suspect(Instant now, Duration overdue_limit) const {
  if (failures_in_row_ >= kSuspectFailures) return true;
  if (verdict_ && verdict_->kind == VerdictKind::kLimit) return true;
  const auto overdue = ledger_.CountOverdue(now, overdue_limit);
  return overdue.fresh + overdue.old > 0;
}

void BackendServer::Expire(Instant now) {
  ledger_.Expire(now);
  window_.died += crash_witness_.TakeUnconfirmed(now);
  if (verdict_ && verdict_until_ <= now) EndVerdict();
}

void BackendServer::AddOutcome(Instant now, const BackendPolicy& policy,
                               const Outcome& outcome, Fingerprint fingerprint,
                               bool slow) {
  if (outcome.kind == OutcomeKind::kCancelled) return;
  last_answer_ = now;
  if (outcome.kind != OutcomeKind::kSuccess) {
    CountFailure(now, outcome, fingerprint);
    return;
  }
  ++window_.successes;
  crash_witness_.BeginLife();
  window_.latency.Add(outcome.latency);
  step_.Add(outcome.latency);
  failures_in_row_ = 0;
  if (outcome.fresh_connection) needs_fresh_connection_ = false;
  if (state() != BackendState::kCold || slow) return;
  cold_start_.AddSuccess();
  const std::uint32_t slots = announcement_.slots;
  if (cold_start_.Limit(policy, slots) == slots) {
    life_.Apply(BackendEvent::kRamped);
  }
}

void BackendServer::CountFailure(Instant now, const Outcome& outcome,
                                 Fingerprint fingerprint) {
  if (state() == BackendState::kCold) cold_start_.AddFailure();
  const bool old_timeout =
      outcome.kind == OutcomeKind::kTimedOut && !outcome.fresh_connection;
  if (!old_timeout) ++failures_in_row_;
  switch (outcome.kind) {
    case OutcomeKind::kHttpError:
      ++window_.http_errors;
      break;
    case OutcomeKind::kTimedOut:
      needs_fresh_connection_ = true;
      ++(old_timeout ? window_.timeouts_old : window_.timeouts_fresh);
      break;
    case OutcomeKind::kConnectionLost:
      crash_witness_.AddDied(now, fingerprint);
      break;
    case OutcomeKind::kConnectionRefused:
      ConfirmCrash(now, {});
      if (!crash_witness_.Restarting(now)) ++window_.refused;
      last_refused_ = now;
      failures_in_row_ = std::max(failures_in_row_, kSuspectFailures);
      // Whatever listens there next is another process.
      TurnCold();
      break;
    case OutcomeKind::kSuccess:
    case OutcomeKind::kCancelled:
      break;
  }
}

void BackendServer::AddProbe(Instant now, ProbeOutcome outcome) {
  if (outcome == ProbeOutcome::kGood) {
    ++window_.probes_good;
    probes_bad_in_row_ = 0;
    return;
  }
  ++window_.probes_bad;
  ++probes_bad_in_row_;
  if (outcome == ProbeOutcome::kRefused) {
    ConfirmCrash(now, {});
    TurnCold();
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
  ServerWindow taken = window_;
  taken.process_id = announcement_.process_id;
  taken.state = state();
  taken.slots = announcement_.slots;
  taken.in_flight = ledger_.taken();
  const auto overdue = ledger_.CountOverdue(now, overdue_limit);
  taken.overdue_fresh = overdue.fresh;
  taken.overdue_old = overdue.old;
  taken.oldest_in_flight = ledger_.OldestAge(now);
  if (verdict_ && verdict_->kind == VerdictKind::kEject) {
    taken.ejection_left =
        std::max(verdict_->left - (now - verdict_since_), Duration(1));
    taken.ejection_level = verdict_->level;
  }
  window_ = ServerWindow();
  window_.backend = announcement_.backend;
  return taken;
}

std::optional<CrashReport> BackendServer::TakeCrash() {
  auto taken = std::move(crash_);
  crash_.reset();
  return taken;
}

}  // namespace sapphirebank
