#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "programs/fleet_host/entry_request_context.h"
#include "programs/fleet_host/entry_request_handler.h"
#include "sapphirebank/core/hash.h"
#include "sapphirebank/transport/process_clock.h"

// One attempt of a request at a backend server, and the classification of its
// result.
namespace sapphirebank {
namespace {

namespace asio = boost::asio;

// Connections within a site are established within 1 to 2 ms; an unreachable
// server never answers.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);

// An attempt of an idempotent request is abandoned after this fraction of the
// latency objective if another attempt is permitted: 99 % of requests are
// answered within a third of it. A request at a busy server may be in its
// queue, so it is left there until the objective has passed.
constexpr double kAttemptTimeoutFraction = 0.6;
constexpr double kBusyAttemptTimeoutFraction = 1.0;

constexpr int kFirstServerError = 500;

}  // namespace

// Replaces an attempt whose server does not answer in time, unless the host has
// begun to drain by then.
std::shared_ptr<void> EntryRequestHandler::StartAttemptTimer(
    RequestContext& context, asio::steady_timer& timer,
    const std::shared_ptr<CallerWatch>& watch, bool is_busy) {
  // The timer handler may already be queued when the attempt ends and `context`
  // is destroyed; it checks the guard for that.
  auto guard = std::make_shared<char>();
  const double fraction =
      is_busy ? kBusyAttemptTimeoutFraction : kAttemptTimeoutFraction;
  timer.expires_after(
      FromSeconds(ToSeconds(context.route->latency_objective) * fraction));
  timer.async_wait([this, &context, watch, lives = std::weak_ptr(guard)](
                       boost::system::error_code error) {
    if (error || lives.expired() || !MayAbandon(context)) return;
    asio::co_spawn(loop_, ReplaceAttempt(context, watch, lives),
                   asio::detached);
  });
  return guard;
}

asio::awaitable<void> EntryRequestHandler::ReplaceAttempt(
    RequestContext& context, std::shared_ptr<CallerWatch> watch,
    std::weak_ptr<void> attempt) {
  if (attempt.expired()) co_return;
  if (state_.path().IsLost() && ShouldDetour(context)) {
    context.abandoned_for_detour = true;
    watch->HangUp();
    co_return;
  }
  // The request may end while the hub is asked.
  const std::shared_ptr<const TrafficPlan> plan = context.plan;
  const std::vector<KnownServerPtr> tried = context.tried;
  ServerQuery query = MakeQuery(context);
  query.tried = tried;
  query.is_retry = true;
  // It does not wait for a retry to be available.
  query.fingerprint = 0;
  const EntryState::Choice choice = co_await state_.Choose(query);
  if (attempt.expired() || watch->hung_up()) {
    state_.EndAssignment(choice, AssignmentOutcome::kInconclusive);
    co_return;
  }
  if (!choice.server) co_return;
  context.next_choice = choice;
  watch->HangUp();
}

asio::awaitable<EntryRequestHandler::AttemptResult>
EntryRequestHandler::RunAttempt(RequestContext& context,
                                EntryState::Choice choice) {
  const KnownServerPtr server = choice.server;
  const Instant now = MonotonicNow();
  const ServerAnnouncement& target = server->state.announcement;
  context.tried.push_back(server);
  const std::size_t bytes = context.request.body.size();
  // The lease may have ended, and the server may have left, while the request
  // waited or the process was suspended.
  if (!state_.view().HasTimeFor(now, client_.ExpectedWay(bytes))) {
    AttemptResult attempt;
    attempt.failure = ErrorKind::kNoConfiguration;
    co_return attempt;
  }
  BackendRequestInfo info;
  info.time_left = context.caller_deadline - now;
  info.server = target.id;
  if (context.workspace != nullptr) info.workspace = context.workspace->id;
  HttpExchange exchange;
  exchange.to = target.endpoint;
  exchange.method = context.request.head.method;
  exchange.target = context.request.head.target;
  exchange.host = context.info.host;
  exchange.fields = codec_.backend_fields(context.request.head.fields, info);
  exchange.body = context.request.body;
  exchange.connect_timeout = std::min(kConnectTimeout, context.deadline - now);
  exchange.answer_timeout = context.deadline - now;
  exchange.max_buffered_bytes = kMaxBufferedAnswer;
  const RequestId& id = context.info.id;
  exchange.match_request = [this, id](const HeaderFields& fields) {
    return codec_.match_request(fields, id);
  };
  exchange.is_genuine = codec_.is_genuine;
  exchange.identity = StableHash(id.value());
  // No earlier answer can come late on it.
  exchange.fresh_connection = !context.route->idempotent;
  // The server may leave, or the process may be suspended, while the request
  // waits for a connection.
  Instant checked_at;
  exchange.may_send = [this, server, bytes, &checked_at] {
    checked_at = MonotonicNow();
    return !AttemptsAreOver() &&
           state_.view().HasTimeFor(checked_at, client_.ExpectedWay(bytes)) &&
           state_.view().MayReceiveRequests(checked_at, *server);
  };
  exchange.arrival_limit = [this, server] {
    return state_.view().ArrivalLimit(*server);
  };
  exchange.on_left = [this, server, &context, &checked_at](Duration way) {
    LogLongWay(context, *server, checked_at, way);
  };
  const std::shared_ptr<CallerWatch> watch = AddAttemptWatch();
  asio::steady_timer timer(loop_);
  std::shared_ptr<void> guard;
  // Only idempotent requests are aborted when the caller disconnects.
  if (context.route->idempotent) {
    context.request.watch->set_on_hang_up([watch] { watch->HangUp(); });
    guard = StartAttemptTimer(context, timer, watch, choice.is_busy);
  }
  ExecutionRecord::Attempt execution(context.execution);
  ++server->in_flight;
  path_prober_.AddAttempt(now);
  ExchangeResult result = co_await client_.Exchange(std::move(exchange), watch);
  path_prober_.RemoveAttempt(now);
  --server->in_flight;
  context.backend_time += MonotonicNow() - now;
  timer.cancel();
  context.request.watch->set_on_hang_up(nullptr);
  AttemptResult attempt = Classify(context, choice, result, guard, now);
  if (attempt.received_by_server) CountRolloutRequest(*server);
  execution.End(attempt.evidence);
  context.attempts.push_back(
      {target.id.value(), result.trace, attempt.evidence});
  co_return attempt;
}

EntryRequestHandler::AttemptResult EntryRequestHandler::Classify(
    RequestContext& context, const EntryState::Choice& choice,
    ExchangeResult& result, std::shared_ptr<void>& guard, Instant sent_at) {
  if (auto* failure = std::get_if<AttemptFailure>(&result.outcome)) {
    guard.reset();
    const bool is_replaced = context.next_choice.has_value();
    const bool abandoned =
        (is_replaced || std::exchange(context.abandoned_for_detour, false)) &&
        !context.request.watch->hung_up();
    const bool is_over = AttemptsAreOver();
    failure->timed_out = failure->timed_out || abandoned || is_over;
    const bool blames_server =
        !is_over && !failure->cut_off && !(abandoned && choice.is_busy);
    // A version in its trial gets requests only where it has a free slot as far
    // as its hub knows, so the attempt tells of its speed.
    if (abandoned && choice.is_busy && !is_over &&
        choice.server->version_use == VersionUse::kByShare) {
      state_.RecordEnd(*choice.server,
                       EndOf(context, *choice.server, sent_at, false));
    }
    AttemptResult attempt =
        ClassifyFailure(context, choice, result, blames_server, sent_at);
    attempt.is_retry_charged = is_replaced;
    path_prober_.Start();
    return attempt;
  }
  return ClassifyAnswer(context, *choice.server, result, sent_at);
}

EntryRequestHandler::AttemptResult EntryRequestHandler::ClassifyFailure(
    RequestContext& context, const EntryState::Choice& choice,
    const ExchangeResult& result, bool blames_server, Instant sent_at) {
  KnownServer& server = *choice.server;
  const auto& failure = std::get<AttemptFailure>(result.outcome);
  AttemptResult attempt;
  const Instant now = MonotonicNow();
  LogFailedAttempt(context, server, result);
  attempt.evidence = EvidenceOf(failure.stage);
  if (failure.stage == AttemptStage::kWithheld) {
    attempt.failure = ErrorKind::kNoBackendServer;
    attempt.may_retry = true;
    return attempt;
  }
  UnansweredAttempt unanswered;
  unanswered.server = server.state.announcement.id;
  unanswered.assignment = choice.assignment;
  if (failure.stage == AttemptStage::kNotConnected) {
    attempt.failure = ErrorKind::kBackendUnreachable;
    attempt.may_retry = true;
    if (context.request.watch->hung_up() || AttemptsAreOver()) return attempt;
    ++context.unreachable_attempts;
    attempt.assignment_outcome.reset();
    state_.RecordUnreachable(now, server, std::move(unanswered));
    return attempt;
  }
  attempt.received_by_server = true;
  ++context.attempts_received;
  attempt.failure = failure.timed_out ? ErrorKind::kBackendTimeout
                                      : ErrorKind::kBackendBroken;
  attempt.may_retry = context.route->idempotent;
  if (context.request.watch->hung_up() || !blames_server) return attempt;
  attempt.assignment_outcome.reset();
  // An attempt that ran into the request's deadline tells of the time at which
  // it was sent; the hub has seen it overdue since.
  unanswered.is_fault = !failure.timed_out || now < context.deadline;
  unanswered.request = context.fingerprint;
  // A server that wrote an answer of another request did not crash on this one,
  // and a version in its trial crashes on requests that are sound.
  unanswered.may_have_crashed = !failure.timed_out &&
                                result.trace.doubt == AnswerDoubt::kNone &&
                                server.version_use != VersionUse::kByShare;
  unanswered.end = EndOf(context, server, sent_at, true);
  if (unanswered.is_fault) {
    client_.CloseIdleConnections(server.state.announcement.endpoint);
  }
  state_.RecordBrokenAttempt(now, server, std::move(unanswered));
  return attempt;
}

AttemptEnd EntryRequestHandler::EndOf(const RequestContext& context,
                                      const KnownServer& server,
                                      Instant sent_at, bool failed) const {
  AttemptEnd end;
  end.route = context.route->name;
  end.failed = failed;
  end.time = MonotonicNow() - sent_at;
  end.server_is_healthy = server.state.health == ServerHealth::kUp;
  return end;
}

void EntryRequestHandler::CountRolloutRequest(const KnownServer& server) {
  const ServerAnnouncement& target = server.state.announcement;
  const Rollout* rollout = state_.view().versions().FindRunning(target.service);
  if (rollout == nullptr) return;
  metrics_.CountRolloutRequest(target.service,
                               target.version == rollout->target_version);
}

void EntryRequestHandler::LogLongWay(const RequestContext& context,
                                     const KnownServer& server,
                                     Instant checked_at, Duration way) {
  const EntryView& view = state_.view();
  const Instant now = MonotonicNow();
  const auto milliseconds = [](Duration time) { return ToSeconds(time) * 1e3; };
  log_.Write(
      LogLevel::kInfo, "request_left_late",
      {{"request_id", context.info.id.value()},
       {"server", server.state.announcement.id.value()},
       {"bytes", context.request.body.size()},
       {"before_check_ms", milliseconds(checked_at - context.arrival_time)},
       {"way_ms", milliseconds(way)},
       {"lease_left_ms", milliseconds(view.current_until() - now)},
       {"update_age_ms", milliseconds(view.LeaderUpdateAge(now))},
       {"changes", view.applied_changes()},
       {"server_has_left", !view.MayReceiveRequests(now, server)}});
}

void EntryRequestHandler::LogFailedAttempt(const RequestContext& context,
                                           const KnownServer& server,
                                           const ExchangeResult& result) {
  const auto& failure = std::get<AttemptFailure>(result.outcome);
  const std::string_view stage =
      failure.stage == AttemptStage::kWithheld       ? "withheld"
      : failure.stage == AttemptStage::kNotConnected ? "not_connected"
                                                     : "sent";
  log_.Write(LogLevel::kInfo, "attempt_failed",
             {{"request_id", context.info.id.value()},
              {"server", server.state.announcement.id.value()},
              {"stage", stage},
              {"timed_out", failure.timed_out},
              {"cut_off", failure.cut_off},
              {"reused_connection", failure.reused_connection},
              {"connection", result.trace.connection},
              {"request_number", result.trace.request_number},
              {"bytes_sent", result.trace.bytes_sent},
              {"answers_skipped", result.trace.answers_skipped},
              {"doubt", DoubtName(result.trace.doubt)},
              {"caller_left", context.request.watch->hung_up()}});
}

EntryRequestHandler::AttemptResult EntryRequestHandler::ClassifyAnswer(
    RequestContext& context, KnownServer& server, ExchangeResult& result,
    Instant sent_at) {
  AttemptResult attempt;
  HttpAnswer answer = std::move(std::get<HttpAnswer>(result.outcome));
  const Instant now = MonotonicNow();
  const BackendResponseInfo info = codec_.read_response_info(answer, now);
  AnswerStatement statement;
  statement.status = answer.status;
  statement.not_run = info.not_run;
  statement.misdirected = info.misdirected;
  statement.match = result.trace.match;
  statement.is_first_answer = result.trace.is_first_answer;
  statement.is_first_request = result.trace.request_number == 1;
  attempt.evidence = EvidenceOf(statement, context.route->idempotent);
  attempt.received_by_server = true;
  ++context.attempts_received;
  state_.RecordAnswer(now);
  if (info.load) server.load = *info.load;
  if (attempt.evidence != NotRunEvidence::kNone) ++context.attempts_rejected;
  if (attempt.evidence == NotRunEvidence::kMisdirected) {
    attempt.failure = ErrorKind::kNoBackendServer;
    attempt.may_retry = true;
    attempt.assignment_outcome = AssignmentOutcome::kFailed;
    state_.RecordMisdirected(now, server);
    return attempt;
  }
  RecordSignals(now, sent_at, server, info);
  if (attempt.evidence == NotRunEvidence::kServerRejected) {
    attempt.failure = ErrorKind::kQueueFull;
    attempt.may_retry = true;
    attempt.assignment_outcome = AssignmentOutcome::kRejected;
    // Refusing requests with free slots is an error; being full is not.
    const bool has_room = info.load && info.load->waiting == 0 &&
                          info.load->running < info.load->slots;
    if (has_room) state_.RecordServerError(server);
    return attempt;
  }
  if (PromisesNotRun(answer.status)) {
    LogUnprovedPromise(context, server, result.trace);
    attempt.failure = ErrorKind::kBackendBroken;
    attempt.may_retry = context.route->idempotent;
    // A rejection behind a stray answer is no error of the server.
    if (info.not_run || info.misdirected) return attempt;
    attempt.assignment_outcome = AssignmentOutcome::kFailed;
    state_.RecordEnd(server, EndOf(context, server, sent_at, true));
    state_.RecordServerError(server);
    return attempt;
  }
  StripConnectionFields(answer.fields);
  if (context.detour) {
    const BackendId& id = server.state.announcement.id;
    answer.fields.push_back({std::string(kServerField), id.value()});
  }
  const bool failed = answer.status >= kFirstServerError;
  state_.RecordEnd(server, EndOf(context, server, sent_at, failed));
  attempt.assignment_outcome =
      failed ? AssignmentOutcome::kFailed : AssignmentOutcome::kServed;
  if (failed) {
    state_.RecordServerError(server);
    attempt.may_retry = context.route->idempotent && !answer.stream;
  } else {
    state_.RecordSuccess(server);
  }
  attempt.answer = std::move(answer);
  return attempt;
}

void EntryRequestHandler::LogUnprovedPromise(const RequestContext& context,
                                             const KnownServer& server,
                                             const ExchangeTrace& trace) {
  log_.Write(LogLevel::kWarning, "promise_not_believed",
             {{"request_id", context.info.id.value()},
              {"server", server.state.announcement.id.value()},
              {"status", trace.status},
              {"connection", trace.connection},
              {"request_number", trace.request_number},
              {"answer_id", MatchName(trace.match)},
              {"is_first_answer", trace.is_first_answer}});
}

void EntryRequestHandler::RecordSignals(Instant now, Instant sent_at,
                                        KnownServer& server,
                                        const BackendResponseInfo& info) {
  const std::string& id = server.state.announcement.id.value();
  if (info.leaving && state_.RecordLeaving(now, server)) {
    log_.Write(LogLevel::kInfo, "server_leaves", {{"server", id}});
  }
  if (info.pause) {
    state_.RecordPause(now, server, *info.pause);
    log_.Write(LogLevel::kInfo, "server_pause",
               {{"server", id}, {"ms", ToSeconds(*info.pause) * 1e3}});
  }
  if (state_.RecordRateLimit(now, sent_at, server, info.rate_limit)) {
    const nlohmann::json rate =
        info.rate_limit ? nlohmann::json(*info.rate_limit) : nlohmann::json();
    log_.Write(LogLevel::kInfo, "server_rate_limit",
               {{"server", id}, {"per_second", rate}});
  }
}

}  // namespace sapphirebank
