#include "programs/fleet_host/entry_request_handler.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "programs/fleet_host/entry_request_context.h"
#include "sapphirebank/core/hash.h"
#include "sapphirebank/fleet/detour_hosts.h"
#include "sapphirebank/transport/process_clock.h"
#include "sapphirebank/transport/signed_field.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;

// The wait for a rate token is the latency objective divided by this: a later
// refusal would leave the caller too little time for a retry.
constexpr int kTokenWaitDivisor = 4;

// Minimum time left before the deadline for a retry to be worthwhile.
constexpr Duration kMinTimeToRetry = std::chrono::milliseconds(30);

// Maximum Retry-After of a refusal for lack of a server or token: both become
// available again within a fraction of a second.
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(300);

// Attempts of a request that servers may reject unrun. Beyond that the service
// rejects whatever it gets.
constexpr int kMaxRejectedAttempts = 8;

// Requests that one host holds at most, as their bodies are kept meanwhile.
constexpr int kMaxHeldRequests = 256;

// Returns how long a request of the route may wait for a rate token.
Duration TokenWait(const PlannedRoute& route) {
  return route.latency_objective / kTokenWaitDivisor;
}

nlohmann::json AttemptJson(const AttemptRecord& attempt) {
  const ExchangeTrace& trace = attempt.trace;
  return {{"to", attempt.to},
          {"connection", trace.connection},
          {"request_number", trace.request_number},
          {"bytes_sent", trace.bytes_sent},
          {"answers_skipped", trace.answers_skipped},
          {"status", trace.status},
          {"answer_id", MatchName(trace.match)},
          {"doubt", DoubtName(trace.doubt)},
          {"not_run_by", EvidenceName(attempt.evidence)}};
}

HttpClientSettings ClientSettings(const EntryHostResources& resources) {
  HttpClientSettings settings;
  settings.max_answer_bytes = resources.max_answer_bytes;
  settings.link_rate = resources.link_rate;
  settings.max_idle_per_endpoint = 2;
  settings.max_idle_time = std::chrono::seconds(20);
  return settings;
}

}  // namespace

EntryRequestHandler::EntryRequestHandler(asio::io_context& loop,
                                         EntryState& state, EntryCodec codec,
                                         const Endpoint& self,
                                         FleetSecret secret,
                                         const EntryHostResources& resources,
                                         LogWriter& log, FleetMetrics& metrics)
    : state_(state),
      codec_(std::move(codec)),
      log_(log),
      metrics_(metrics),
      loop_(loop),
      self_(ToString(self)),
      secret_(std::move(secret)),
      fleet_port_(self.port),
      client_(loop, ClientSettings(resources)),
      path_prober_(loop, state, client_, self.port, log, RandomSeed()) {}

Result<std::uint64_t> EntryRequestHandler::AcceptHead(
    const HttpRequestHead& /*head*/) const {
  const auto& plan = state_.view().plan();
  if (!plan) return CallerLimits().max_body_bytes;
  return plan->parts().limits.max_body_bytes;
}

asio::awaitable<HttpAnswer> EntryRequestHandler::Handle(HttpRequest request) {
  RequestContext context;
  context.arrival_time = MonotonicNow();
  context.request = std::move(request);
  co_return co_await Serve(context);
}

asio::awaitable<HttpAnswer> EntryRequestHandler::Serve(
    RequestContext& context) {
  const Result<void> admitted = Admit(context);
  HttpAnswer answer;
  if (admitted) {
    const bool has_token = context.detour && context.detour->has_token;
    context.needs_token = context.workspace != nullptr &&
                          context.workspace->rate > 0 && !has_token &&
                          !state_.TryTakeToken(context.workspace->id);
    answer = ReplaceUnprovedPromise(context, co_await Forward(context));
  } else {
    answer = Refuse(context, admitted.error().kind);
  }
  LogRequest(context, answer);
  RecordMetrics(context);
  co_return answer;
}

// Finds route and workspace and checks the key, by a plan that is known to be
// in force.
Result<void> EntryRequestHandler::Admit(RequestContext& context) const {
  const HttpRequestHead& head = context.request.head;
  const EntryView& view = state_.view();
  auto info = codec_.read_request_info(head);
  if (!info) return tl::unexpected(info.error());
  context.info = std::move(*info);
  context.plan = view.plan();
  if (!context.plan) return Fail(ErrorKind::kNoConfiguration, "no plan yet");
  if (context.detour &&
      context.plan->version() < context.detour->plan_version) {
    return Fail(ErrorKind::kNoConfiguration,
                "the plan is older than that of the sending host");
  }
  metrics_.ObserveViewAge(view.LeaderUpdateAge(context.arrival_time));
  if (!view.IsCurrent(context.arrival_time)) {
    return Fail(ErrorKind::kNoConfiguration,
                "the plan may have been replaced since the last update");
  }
  context.route = context.plan->FindRoute(context.info.host, head.target);
  if (context.route == nullptr) {
    return Fail(ErrorKind::kNoRoute, "no route for host and path");
  }
  if (context.plan->needs_keys() && !context.route->open) {
    if (context.info.key.empty()) return Fail(ErrorKind::kKeyMissing, "no key");
    context.workspace = context.plan->FindKey(context.info.key);
    if (context.workspace == nullptr) {
      return Fail(ErrorKind::kKeyUnknown, "unknown key");
    }
  }
  SetDeadlines(context);
  if (!FitsDrain(context)) {
    return Fail(ErrorKind::kHostLeaving,
                "the process may end before the request is answered");
  }
  std::string fingerprint_input =
      head.method + ' ' + head.target + ' ' + context.info.key;
  context.fingerprint =
      StableHash(context.request.body, StableHash(fingerprint_input));
  if (view.IsQuarantined(MonotonicNow(), context.fingerprint)) {
    return Fail(ErrorKind::kRequestQuarantined,
                "the request crashed backend servers");
  }
  return {};
}

void EntryRequestHandler::SetDeadlines(RequestContext& context) const {
  const Duration caller_timeout =
      context.detour
          ? context.detour->caller_time_left
          : context.info.caller_timeout.value_or(context.route->timeout);
  const Duration timeout =
      context.detour ? context.detour->time_left : context.route->timeout;
  context.caller_deadline = context.arrival_time + caller_timeout;
  context.deadline =
      std::min(context.caller_deadline, context.arrival_time + timeout);
}

bool EntryRequestHandler::FitsDrain(const RequestContext& context) const {
  if (!drain_) return true;
  const Duration limit = context.deadline - context.arrival_time;
  // The caller is served by another host, whose own shutdown may have begun
  // later: that host must not see the request broken off here.
  const Duration objective =
      context.detour ? limit : context.route->latency_objective;
  const RequestTimes times = {objective, limit};
  return AcceptsWhileDraining(drain_->schedule,
                              context.arrival_time - drain_->started_at, times,
                              context.route->idempotent);
}

std::shared_ptr<CallerWatch> EntryRequestHandler::AddAttemptWatch() {
  std::erase_if(attempt_watches_,
                [](const auto& watch) { return watch.expired(); });
  auto watch = std::make_shared<CallerWatch>();
  attempt_watches_.push_back(watch);
  return watch;
}

void EntryRequestHandler::EndAttempts() {
  if (!drain_ || std::exchange(drain_->attempts_are_over, true)) return;
  for (const auto& attempt : std::exchange(attempt_watches_, {})) {
    if (const auto watch = attempt.lock()) watch->HangUp();
  }
}

asio::awaitable<Result<void>> EntryRequestHandler::AcquireRateToken(
    RequestContext& context) {
  const TokenOutcome token = co_await state_.TakeToken(
      context.workspace->id, TokenWait(*context.route));
  if (token == TokenOutcome::kGranted) co_return Result<void>();
  if (token == TokenOutcome::kRefused) {
    co_return Fail(ErrorKind::kRateExceeded, "rate limit exceeded");
  }
  co_return TakeLocalToken(context);
}

// Takes a token from this host's share of the workspace's rate.
Result<void> EntryRequestHandler::TakeLocalToken(
    const RequestContext& context) {
  if (state_.TakeOwnShare(MonotonicNow(), *context.workspace)) return {};
  return Fail(ErrorKind::kRateUnavailable,
              "the hub did not answer and the local share is used up");
}

const PlannedService* EntryRequestHandler::ChooseService(
    const RequestContext& context) {
  double sum = 0;
  for (const RouteShare& share : context.route->shares) sum += share.weight;
  double remaining = state_.RandomUnit() * sum;
  for (const RouteShare& share : context.route->shares) {
    remaining -= share.weight;
    if (remaining < 0) return context.plan->FindService(share.service);
  }
  return context.plan->FindService(context.route->shares.back().service);
}

asio::awaitable<HttpAnswer> EntryRequestHandler::Forward(
    RequestContext& context) {
  context.service = ChooseService(context);
  if (context.detour) {
    // The host that callers sent the request to has reported it.
    state_.retries().CountRequest(context.service->id);
  } else {
    state_.CountRequest(context.service->id);
  }
  AttemptResult last;
  last.failure = ErrorKind::kNoBackendServer;
  // An error answer of a server is passed on unless a retry gets another
  // answer.
  std::optional<HttpAnswer> fallback;
  while (true) {
    co_await path_prober_.AwaitVerdict();
    const Instant now = MonotonicNow();
    if (now >= context.deadline || AttemptsAreOver() ||
        context.request.watch->hung_up()) {
      last.failure = context.execution.MayHaveRun() ? ErrorKind::kBackendTimeout
                                                    : ErrorKind::kQueueTimeout;
      break;
    }
    if (ShouldDetour(context)) {
      const bool is_charged_next = context.charge_retry_budget;
      auto answer = co_await TakeDetour(context, last);
      if (answer) co_return std::move(*answer);
      if (!MayRetry(context, last, MonotonicNow())) break;
      context.charge_retry_budget =
          context.charge_retry_budget || is_charged_next;
      continue;
    }
    // Without a detour left, the request is not held for a path that is known
    // to be lost.
    if (state_.path().IsLost() &&
        (context.detour ||
         context.unreachable_attempts >= kMaxUnreachableAttempts)) {
      last.failure = ErrorKind::kBackendUnreachable;
      break;
    }
    const Result<EntryState::Choice> choice = co_await ChooseServer(context);
    if (!choice) co_return Refuse(context, choice.error().kind);
    if (choice->refusal && MayHold(context, *choice->refusal, MonotonicNow())) {
      co_await Hold(context, choice->refusal->retry_after);
      continue;
    }
    if (choice->refusal) {
      last.failure = choice->refusal->kind;
      context.return_after = choice->refusal->retry_after;
      context.is_refused_by_host = choice->is_own_refusal;
      break;
    }
    if (!choice->server) break;
    last = co_await RunAttempt(context, *choice);
    if (last.assignment_outcome) {
      state_.EndAssignment(*choice, *last.assignment_outcome);
    }
    if (last.answer) fallback = std::exchange(last.answer, std::nullopt);
    if (!MayRetry(context, last, MonotonicNow())) break;
  }
  if (context.next_choice) {
    state_.EndAssignment(*context.next_choice,
                         AssignmentOutcome::kInconclusive);
  }
  if (fallback) co_return std::move(*fallback);
  co_return Refuse(context, last.failure);
}

ServerQuery EntryRequestHandler::MakeQuery(
    const RequestContext& context) const {
  ServerQuery query;
  query.service = context.service;
  query.repeatable = context.route->idempotent;
  query.is_retry = context.charge_retry_budget;
  query.tried = context.tried;
  query.latency_objective = context.route->latency_objective;
  query.deadline = context.deadline;
  query.route = context.route->name;
  query.body_bytes = context.request.body.size();
  query.rank.route = context.route->rank;
  query.fingerprint = context.fingerprint;
  if (context.workspace != nullptr) {
    query.rank.workspace = context.workspace->rank;
    query.caller = context.workspace->id;
  }
  return query;
}

asio::awaitable<Result<EntryState::Choice>> EntryRequestHandler::ChooseServer(
    RequestContext& context) {
  if (context.next_choice) {
    co_return *std::exchange(context.next_choice, std::nullopt);
  }
  ServerQuery query = MakeQuery(context);
  if (context.needs_token) {
    query.workspace = context.workspace->id;
    query.token_wait = TokenWait(*context.route);
  }
  EntryState::Choice choice = co_await state_.Choose(query);
  if (!context.needs_token || choice.refusal) co_return choice;
  context.needs_token = false;
  if (choice.has_token) co_return choice;
  Result<void> token;
  if (choice.hub_is_silent) {
    // Asking a hub that is late once more would make it later.
    token = TakeLocalToken(context);
  } else {
    token = co_await AcquireRateToken(context);
  }
  if (!token) co_return tl::unexpected(token.error());
  query.workspace = WorkspaceId();
  choice = co_await state_.Choose(query);
  co_return choice;
}

int EntryRequestHandler::AttemptsRun(const RequestContext& context) {
  return context.attempts_received - context.attempts_rejected;
}

bool EntryRequestHandler::MayHold(const RequestContext& context,
                                  const DispatchRefusal& refusal,
                                  Instant now) const {
  return refusal.hold && !drain_ && held_requests_ < kMaxHeldRequests &&
         now + refusal.retry_after + kMinTimeToRetry < context.deadline;
}

asio::awaitable<void> EntryRequestHandler::Hold(RequestContext& context,
                                                Duration time) {
  asio::steady_timer timer(loop_);
  timer.expires_after(time);
  const std::shared_ptr<CallerWatch> watch = AddAttemptWatch();
  watch->set_on_hang_up([&timer] { timer.cancel(); });
  context.request.watch->set_on_hang_up([&timer] { timer.cancel(); });
  ++held_requests_;
  const Instant begun_at = MonotonicNow();
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  context.held_time += MonotonicNow() - begun_at;
  --held_requests_;
  context.request.watch->set_on_hang_up(nullptr);
  watch->set_on_hang_up(nullptr);
}

bool EntryRequestHandler::MayRetry(RequestContext& context,
                                   const AttemptResult& last, Instant now) {
  if (!last.may_retry || AttemptsAreOver()) return false;
  if (context.deadline - now < kMinTimeToRetry) return false;
  if (AttemptsRun(context) >= context.route->max_tries ||
      context.attempts_rejected >= kMaxRejectedAttempts) {
    return false;
  }
  // A retry is not charged when the attempt before reached no server, nor when
  // that attempt was abandoned, which has charged the budget already.
  context.charge_retry_budget =
      last.received_by_server && !last.is_retry_charged;
  return true;
}

// Returns whether a slow attempt may be abandoned for a retry on another
// server.
bool EntryRequestHandler::MayAbandon(const RequestContext& context) const {
  const bool is_last = AttemptsRun(context) + 1 >= context.route->max_tries;
  return context.route->idempotent && !is_last && !drain_;
}

HttpAnswer EntryRequestHandler::Refuse(RequestContext& context,
                                       ErrorKind kind) {
  const ErrorAnswer& row = AnswerFor(kind);
  const bool says_not_run = row.execution == Execution::kNotRun;
  if (!says_not_run && !PromisesNotRun(row.http_status)) {
    return MakeRefusal(context, kind, Duration::zero());
  }
  const std::optional<NotRunProof> proof = context.execution.Proof();
  if (!proof) {
    return MakeRefusal(context, ErrorKind::kBackendBroken, Duration::zero());
  }
  return MakeNotRunRefusal(*proof, context, kind);
}

HttpAnswer EntryRequestHandler::ReplaceUnprovedPromise(RequestContext& context,
                                                       HttpAnswer answer) {
  const bool is_own_refusal = context.refusal_kind.has_value();
  if (is_own_refusal || !PromisesNotRun(answer.status)) return answer;
  log_.Write(
      LogLevel::kWarning, "promise_not_passed_on",
      {{"request_id", context.info.id.value()}, {"status", answer.status}});
  return Refuse(context, ErrorKind::kBackendBroken);
}

// The proof is an argument so that nothing else can ask for such a refusal.
HttpAnswer EntryRequestHandler::MakeNotRunRefusal(const NotRunProof& /*proof*/,
                                                  RequestContext& context,
                                                  ErrorKind kind) {
  const Duration retry_after = context.return_after.value_or(
      std::min(AnswerFor(kind).retry_after, kMaxRetryAfter));
  HttpAnswer answer = MakeRefusal(context, kind, retry_after);
  if (context.detour) {
    answer.fields.push_back(
        {std::string(kNotRunField), std::string(kNotRunProved)});
  }
  return answer;
}

HttpAnswer EntryRequestHandler::MakeRefusal(RequestContext& context,
                                            ErrorKind kind,
                                            Duration retry_after) {
  context.refusal_kind = kind;
  const Error error(kind, std::string(AnswerFor(kind).title));
  HttpAnswer answer = codec_.refusal(error, context.info.id, retry_after);
  if (context.detour) {
    answer.fields.push_back(
        {std::string(kRefusalField), std::string(AnswerFor(kind).name)});
    answer.fields.push_back({std::string(kAttemptsField),
                             std::to_string(context.attempts_received)});
  }
  return answer;
}

// Requests without a route are counted under an empty service id.
void EntryRequestHandler::RecordMetrics(const RequestContext& context) {
  // Counted by the host that callers sent the request to.
  if (context.detour) return;
  const ServiceId service =
      context.service != nullptr ? context.service->id : ServiceId();
  if (context.refusal_kind) {
    metrics_.CountRefusal(service, *context.refusal_kind);
    return;
  }
  metrics_.CountAnswer(service);
  metrics_.ObserveAddedLatency(
      service, MonotonicNow() - context.arrival_time - context.backend_time);
}

void EntryRequestHandler::LogRequest(const RequestContext& context,
                                     const HttpAnswer& answer) {
  const Instant now = MonotonicNow();
  const LogLevel level =
      answer.status < 400 ? LogLevel::kDebug : LogLevel::kInfo;
  if (!log_.Enabled(level)) return;
  nlohmann::json servers = nlohmann::json::array();
  for (const KnownServerPtr& server : context.tried) {
    servers.push_back(server->state.announcement.id.value());
  }
  nlohmann::json attempts = nlohmann::json::array();
  for (const AttemptRecord& attempt : context.attempts) {
    attempts.push_back(AttemptJson(attempt));
  }
  log_.Write(
      level, "request",
      {{"request_id", context.info.id.value()},
       {"route", context.route != nullptr ? context.route->name : ""},
       {"workspace",
        context.workspace != nullptr ? context.workspace->id.value() : ""},
       {"plan", context.plan ? context.plan->version() : 0},
       {"service",
        context.service != nullptr ? context.service->id.value() : ""},
       {"servers", std::move(servers)},
       {"attempts", std::move(attempts)},
       {"detours", context.detour_hosts},
       {"by_detour", context.detour.has_value()},
       {"refusal", context.refusal_kind
                       ? std::string(AnswerFor(*context.refusal_kind).name)
                       : std::string()},
       {"refused_without_hub", context.is_refused_by_host},
       {"status", answer.status},
       {"held_ms", ToSeconds(context.held_time) * 1e3},
       {"time_left_ms", ToSeconds(context.deadline - now) * 1e3},
       {"ms", ToSeconds(now - context.arrival_time) * 1e3}});
}

}  // namespace sapphirebank
