#include "programs/fleet_host/entry_state.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

// A server that was unreachable from this host is avoided for this time:
// partial network failures affect the paths to a few hosts only and last for
// seconds.
constexpr Duration kUnreachableBackoff = std::chrono::milliseconds(2500);

// Timeout for the hub's assignment, after which this host chooses a server
// itself. The hub is a fraction of a millisecond away.
constexpr Duration kAssignmentTimeout = std::chrono::milliseconds(25);

// A server is avoided for this time after a broken attempt, until the leader's
// judgement of its health arrives, normally within milliseconds.
constexpr Duration kBrokenBackoff = std::chrono::milliseconds(800);

}  // namespace

EntryState::EntryState(boost::asio::io_context& loop, PlanReader reader,
                       ServerPathMonitor path, ViewLeaseSettings lease,
                       double retry_slack, ZoneId zone, std::uint64_t seed,
                       Hooks hooks)
    : loop_(loop),
      view_(std::move(reader), lease),
      path_(std::move(path)),
      retries_(kEntryHostRetryShare, retry_slack),
      random_(seed),
      chooser_(ServerChooserSettings(), std::move(zone), Random(seed + 1)),
      hooks_(std::move(hooks)) {}

Result<void> EntryState::Apply(Instant now, std::optional<Instant> asked_at,
                               const FleetUpdate& update) {
  hub_breaker_.RecordAnswer();
  if (update.wants_servers) {
    wanted_servers_ = view_.Announcements();
    if (!wanted_servers_.empty()) hooks_.report_now();
  }
  auto applied = view_.Apply(now, asked_at, update);
  retries_.SetShareCount(update.entry_hosts);
  if (update.shared_state) detour_hosts_.Set(update.detour_hosts);
  ApplyGrants(asked_at.value_or(now), update);
  return applied;
}

void EntryState::ApplyGrants(Instant asked_at, const FleetUpdate& update) {
  for (const auto& [workspace, grant] : update.granted) {
    RateAccount& account = accounts_[workspace];
    account.requested -= std::min(account.requested, grant.settled);
    account.stock.Add(asked_at, grant.tokens);
    // Each settled token completes one waiting request, granted or refused.
    for (std::uint32_t i = 0; i < grant.settled; ++i) {
      if (account.waiters.empty()) break;
      account.waiters.front()->answered = true;
      account.waiters.front()->timer.cancel();
      account.waiters.pop_front();
    }
  }
}

boost::asio::awaitable<EntryState::Choice> EntryState::Choose(
    ServerQuery query) {
  const Instant now = MonotonicNow();
  DispatchQuery hub_query;
  hub_query.service = query.service->id;
  hub_query.repeatable = query.repeatable;
  hub_query.is_retry = query.is_retry;
  hub_query.workspace = query.workspace;
  hub_query.latency_objective = query.latency_objective;
  hub_query.route = query.route;
  hub_query.body_bytes = query.body_bytes;
  hub_query.rank = query.rank;
  hub_query.caller = query.caller;
  hub_query.fingerprint = query.fingerprint;
  hub_query.time_left = std::max(query.deadline - now, Duration::zero());
  for (const KnownServerPtr& server : query.tried) {
    hub_query.excluded.insert(server->state.announcement.id);
  }
  for (const KnownServerPtr& server : view_.ServersOf(query.service->id)) {
    // The hub knows the versions itself, and the servers of one are many.
    if (server->version_use == VersionUse::kNone) continue;
    if (now < server->avoid_until || !view_.MayReceiveRequests(now, *server)) {
      hub_query.excluded.insert(server->state.announcement.id);
    }
  }
  Choice choice;
  choice.refusal = refusals_.RefuseEarly(now, hub_query);
  choice.is_own_refusal = choice.refusal.has_value();
  if (choice.refusal) co_return choice;
  if (!query.workspace.empty() && hub_breaker_.IsOpen(now)) {
    choice.hub_is_silent = true;
    choice.refusal = refusals_.RefuseWithoutHub(now, hub_query, random_.Unit());
    choice.is_own_refusal = choice.refusal.has_value();
    co_return choice;
  }
  bool is_answered = false;
  const std::uint64_t number = next_assignment_++;
  if (hooks_.request_server(number, hub_query)) {
    const std::shared_ptr<Waiter> waiter = co_await AwaitAssignment(
        number,
        query.workspace.empty() ? kAssignmentTimeout : query.token_wait);
    is_answered = waiter->answered;
    choice.has_token = waiter->choice.has_token;
    choice.hub_is_silent = !is_answered;
    if (choice.hub_is_silent && !query.workspace.empty()) {
      hub_breaker_.RecordTimeout(MonotonicNow());
    }
    choice.server = view_.Find(waiter->choice.server);
    // The hub and this host learn of a change of a rollout at different times.
    if (choice.server && choice.server->version_use == VersionUse::kNone) {
      choice.server.reset();
    }
    if (choice.server) {
      choice.assignment = number;
      choice.is_busy = waiter->choice.is_busy;
      RecordDecision(hub_query, choice);
      co_return choice;
    }
    choice.refusal = waiter->choice.refusal;
    RecordDecision(hub_query, choice);
    // The hub has no retry left for a request that a server was offered; this
    // host may have one.
    const bool may_retry = choice.refusal && query.is_retry &&
                           retries_.CanRetry(query.service->id);
    if (choice.refusal && !may_retry) co_return choice;
    if (!choice.refusal) {
      hooks_.end_assignment(number, AssignmentOutcome::kInconclusive);
    }
    choice.refusal.reset();
    query.may_use_rate_limited = !is_answered;
  }
  if (!is_answered) {
    choice.refusal = refusals_.RefuseWithoutHub(now, hub_query, random_.Unit());
    choice.is_own_refusal = choice.refusal.has_value();
    if (choice.refusal) co_return choice;
  }
  if (!query.workspace.empty() && !choice.has_token) co_return choice;
  if (query.is_retry && !retries_.TryAcquire(query.service->id))
    co_return choice;
  choice.server = chooser_.Choose(MonotonicNow(), view_, query);
  co_return choice;
}

boost::asio::awaitable<std::shared_ptr<EntryState::Waiter>>
EntryState::AwaitAssignment(std::uint64_t number, Duration wait) {
  auto waiter = std::make_shared<Waiter>(loop_);
  waiter->timer.expires_after(wait);
  pending_assignments_[number] = waiter;
  boost::system::error_code ignored;
  co_await waiter->timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  pending_assignments_.erase(number);
  co_return waiter;
}

void EntryState::RecordDecision(const DispatchQuery& query,
                                const Choice& choice) {
  if (query.is_retry) return;
  const Instant now = MonotonicNow();
  if (choice.refusal) {
    refusals_.RecordRefusal(now, query, *choice.refusal);
  } else if (choice.server) {
    refusals_.RecordAdmission(now, query, !choice.is_busy);
  }
}

void EntryState::OnServerAssigned(std::uint64_t assignment,
                                  const DispatchChoice& choice) {
  const auto found = pending_assignments_.find(assignment);
  if (found == pending_assignments_.end()) return;
  found->second->choice = choice;
  found->second->answered = true;
  found->second->timer.cancel();
  hub_breaker_.RecordAnswer();
}

void EntryState::EndAssignment(const Choice& choice,
                               AssignmentOutcome outcome) {
  if (choice.assignment != 0) hooks_.end_assignment(choice.assignment, outcome);
}

bool EntryState::TryTakeToken(const WorkspaceId& workspace) {
  RateAccount& account = accounts_[workspace];
  const Instant now = MonotonicNow();
  account.to_request +=
      account.stock.PrefetchCount(now, account.requested + account.to_request);
  if (account.to_request > 0) hooks_.report_now();
  return account.stock.TryTake(now);
}

boost::asio::awaitable<TokenOutcome> EntryState::TakeToken(
    WorkspaceId workspace, Duration wait) {
  RateAccount& account = accounts_[workspace];
  if (account.stock.TryTake(MonotonicNow())) co_return TokenOutcome::kGranted;
  ++account.to_request;
  hooks_.report_now();
  auto waiter = std::make_shared<Waiter>(loop_);
  waiter->timer.expires_after(wait);
  account.waiters.push_back(waiter);
  boost::system::error_code ignored;
  co_await waiter->timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  if (!waiter->answered) {
    std::erase(account.waiters, waiter);
    hub_breaker_.RecordTimeout(MonotonicNow());
    co_return TokenOutcome::kNoAnswer;
  }
  co_return account.stock.TryTake(MonotonicNow()) ? TokenOutcome::kGranted
                                                  : TokenOutcome::kRefused;
}

bool EntryState::TakeOwnShare(Instant now, const PlannedWorkspace& workspace) {
  return accounts_[workspace.id].stock.TryTakeLocalShare(now, workspace.rate,
                                                         view_.entry_hosts());
}

void EntryState::CountRequest(const ServiceId& service) {
  ++requests_[service];
  retries_.CountRequest(service);
}

// Ends and reports attempts that are no longer held.
void EntryState::Settle(Instant now, const PathVerdict& verdict) {
  const AssignmentOutcome outcome = verdict.blames_servers
                                        ? AssignmentOutcome::kFailed
                                        : AssignmentOutcome::kInconclusive;
  for (const UnansweredAttempt& attempt : verdict.attempts) {
    if (attempt.assignment != 0) {
      hooks_.end_assignment(attempt.assignment, outcome);
    }
    if (verdict.blames_servers && attempt.end) {
      const KnownServerPtr server = view_.Find(attempt.server);
      if (server) RecordEnd(*server, *attempt.end);
    }
    if (!verdict.blames_servers || !attempt.is_fault) continue;
    ++outcomes_[attempt.server].hard_failures;
    if (attempt.may_have_crashed) {
      crashes_.push_back({attempt.request, attempt.server});
      view_.RecordCrash(now, attempt.request, attempt.server);
    }
    hooks_.report_now();
  }
}

void EntryState::RecordEnd(const KnownServer& server, const AttemptEnd& end) {
  if (path_.IsLost()) return;
  sampler_.Record(view_.versions(), server.state.announcement, end);
}

void EntryState::RecordAnswer(Instant now) {
  Settle(now, path_.RecordAnswer(now));
}

void EntryState::RecordProbes(Instant now, bool connected) {
  const bool was_lost = path_.IsLost();
  Settle(now, path_.RecordProbes(now, connected));
  if (path_.IsLost() == was_lost) return;
  if (was_lost) view_.EndAvoidance();
  hooks_.report_now();
}

void EntryState::RecordSuccess(const KnownServer& server) {
  ++outcomes_[server.state.announcement.id].successes;
  if (server.state.health != ServerHealth::kUp) hooks_.report_now();
}

void EntryState::RecordServerError(const KnownServer& server) {
  ++outcomes_[server.state.announcement.id].errors;
  hooks_.report_now();
}

void EntryState::RecordMisdirected(Instant now, KnownServer& server) {
  server.avoid_until = std::max(server.avoid_until, now + kUnreachableBackoff);
  ++outcomes_[server.state.announcement.id].hard_failures;
  hooks_.report_now();
}

void EntryState::RecordBrokenAttempt(Instant now, KnownServer& server,
                                     UnansweredAttempt attempt) {
  if (attempt.is_fault) {
    server.avoid_until = std::max(server.avoid_until, now + kBrokenBackoff);
  }
  Settle(now, path_.RecordUnanswered(std::move(attempt)));
}

void EntryState::RecordUnreachable(Instant now, KnownServer& server,
                                   UnansweredAttempt attempt) {
  server.avoid_until = std::max(server.avoid_until, now + kUnreachableBackoff);
  Settle(now, path_.RecordUnanswered(std::move(attempt)));
}

bool EntryState::RecordLeaving(Instant now, const KnownServer& server) {
  const ServerAnnouncement& announcement = server.state.announcement;
  return view_.signals().RecordLeaving(now, announcement.id,
                                       announcement.incarnation);
}

void EntryState::RecordPause(Instant now, const KnownServer& server,
                             Duration pause) {
  const ServerAnnouncement& announcement = server.state.announcement;
  view_.signals().RecordPause(now, announcement.id, announcement.incarnation,
                              pause);
}

bool EntryState::RecordRateLimit(Instant now, Instant sent_at,
                                 KnownServer& server,
                                 std::optional<double> limit) {
  if (!server.TakeRateLimit(now, sent_at, limit)) return false;
  rate_limits_[server.state.announcement.id] = limit;
  hooks_.report_now();
  return true;
}

void EntryState::FillReport(Instant now, EntryReport& report, bool first) {
  report.registry_id = view_.registry_id();
  report.known_registry_changes = view_.registry_changes();
  report.known_plan_version = view_.plan() ? view_.plan()->version() : 0;
  report.applied_changes = view_.applied_changes();
  report.ends_without_contact = true;
  report.outcomes = std::exchange(outcomes_, {});
  report.requests = std::exchange(requests_, {});
  report.crashes = std::exchange(crashes_, {});
  if (first) view_.FillCrashes(now, report);
  report.rate_limits = std::exchange(rate_limits_, {});
  report.rollout_samples = sampler_.Take();
  report.known_servers = std::exchange(wanted_servers_, {});
  for (auto& [workspace, account] : accounts_) {
    // Requests that a lost leader did not answer are repeated.
    if (first) account.to_request += std::exchange(account.requested, 0);
    if (account.to_request == 0) continue;
    report.wanted_tokens[workspace] = account.to_request;
    account.requested += std::exchange(account.to_request, 0);
  }
}

}  // namespace sapphirebank
