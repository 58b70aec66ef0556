#include <algorithm>
#include <optional>
#include <utility>

#include "sapphirebank/core/hash.h"
#include "sapphirebank/transport/await_callback.h"
#include "sapphirebank/transport/request_proxy.h"
#include "sapphirebank/transport/request_proxy_work.h"

// The tries of a request: on a backend server of this host, or by way of
// another entry host.

namespace sapphirebank {
namespace {

namespace asio = boost::asio;

constexpr int kFirstServerError = 500;
constexpr std::string_view kWorkspaceField = "x-sapphirebank-workspace";

OutcomeKind OutcomeOf(const ExchangeResult& result, bool hung_up) {
  if (const auto* answer = std::get_if<HttpAnswer>(&result.outcome)) {
    return answer->status >= kFirstServerError ? OutcomeKind::kHttpError
                                               : OutcomeKind::kSuccess;
  }
  if (hung_up) return OutcomeKind::kCancelled;
  const auto& failure = std::get<AttemptFailure>(result.outcome);
  if (failure.stage == AttemptStage::kNotConnected) {
    return OutcomeKind::kConnectionRefused;
  }
  return failure.timed_out ? OutcomeKind::kTimedOut
                           : OutcomeKind::kConnectionLost;
}

// Turns the refusal of another entry host into the failure of a try.
std::optional<AttemptFailure> RefusalOfPeer(const HttpAnswer& answer) {
  const std::string_view name = FieldValue(answer.fields, kRefusalField);
  if (name.empty()) return std::nullopt;
  AttemptFailure failure;
  failure.peer_kind =
      ErrorKindFromName(name).value_or(ErrorKind::kBackendBroken);
  const bool not_run =
      AnswerFor(failure.peer_kind).execution == Execution::kNotRun;
  failure.stage = not_run ? AttemptStage::kRefusedByPeer : AttemptStage::kSent;
  failure.timed_out = failure.peer_kind == ErrorKind::kBackendTimeout;
  return failure;
}

}  // namespace

asio::awaitable<bool> RequestProxy::RetryAllowed(Work& work,
                                                 const AttemptFailure& failure,
                                                 AttemptDecision& decision) {
  AttemptContext context;
  context.idempotent = work.match.route->idempotent && !work.hung_up();
  context.attempts = work.tries;
  context.time_left = work.deadline - hooks_.now();
  context.retry_budget_left = true;
  decision = DecideAfterFailure(context, failure);
  if (decision.step == NextStep::kRefuse) co_return false;
  const bool granted = co_await AwaitCallback<bool>(loop_, [&](auto callback) {
    hooks_.take_retry(work.match.route->service, callback);
  });
  if (granted) co_return true;
  context.retry_budget_left = false;
  decision = DecideAfterFailure(context, failure);
  co_return false;
}

DispatchRequest RequestProxy::MakeDispatchRequest(const Work& work) {
  DispatchRequest request;
  request.id = next_dispatch_++;
  request.place.request = work.id;
  request.place.service = work.match.route->service;
  request.place.workspace = work.workspace;
  request.place.fingerprint = StableHash(work.digest);
  request.place.excluded = work.tried_backends;
  request.place.idempotent = work.match.route->idempotent;
  request.weight = work.weight;
  request.deadline = work.deadline;
  request.excluded_hosts = work.tried_hosts;
  request.forwarded = work.forwarded;
  request.retry = work.tries > 1;
  return request;
}

asio::awaitable<ExchangeResult> RequestProxy::Try(Work& work,
                                                  DispatchDecision answer) {
  const Instant begun = hooks_.now();
  if (const auto* slot = std::get_if<LocalSlot>(&answer.place)) {
    ExchangeResult result = co_await TryLocal(work, slot->placement);
    work.on_backend += hooks_.now() - begun;
    co_return result;
  }
  ExchangeResult result =
      co_await TryForward(work, std::get<ForwardTo>(answer.place));
  work.on_backend += hooks_.now() - begun;
  co_return result;
}

asio::awaitable<ExchangeResult> RequestProxy::TryLocal(
    Work& work, const Placement& placement) {
  const Instant begun = hooks_.now();
  work.tried_backends.push_back(placement.backend);
  HttpExchange exchange;
  const Endpoint server{placement.address.ip, placement.address.port};
  exchange.to = server;
  exchange.method = work.head.method;
  exchange.target = work.head.target;
  exchange.fields = work.head.fields;
  exchange.body = work.body;
  exchange.hold_limit = work.match.route->answer_limit;
  const Duration left = work.deadline - begun;
  // Half of the time is kept back for a retry where one may follow.
  const bool may_retry =
      work.match.route->idempotent && work.tries < kMaxAttempts;
  exchange.answer_timeout = may_retry ? left / 2 : left;
  exchange.connect_timeout = std::min(exchange.connect_timeout, left);
  // A kept connection may have been forgotten by something in between, and a
  // request that must not run twice could not be sent again after that.
  exchange.fresh_connection = work.fresh_connection ||
                              placement.needs_fresh_connection ||
                              !work.match.route->idempotent;
  exchange.fields.push_back({std::string(kRequestIdField), work.id.value()});
  exchange.fields.push_back(
      {std::string(kDeadlineField),
       std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                          exchange.answer_timeout)
                          .count())});
  if (!work.workspace.empty()) {
    exchange.fields.push_back(
        {std::string(kWorkspaceField), work.workspace.value()});
  }
  ExchangeResult result =
      co_await client_.Exchange(std::move(exchange), work.watch);

  Outcome outcome;
  outcome.kind = OutcomeOf(result, work.hung_up());
  outcome.latency = hooks_.now() - begun;
  outcome.fresh_connection = !result.reused_connection;
  auto* answer = std::get_if<HttpAnswer>(&result.outcome);
  if (answer != nullptr && answer->stream) {
    const auto finish = [this, attempt = placement.attempt, server,
                         outcome](OutcomeKind kind) mutable {
      outcome.kind = kind;
      Finish(attempt, outcome, server);
    };
    answer->stream = std::make_shared<SlotStream>(answer->stream, finish);
    co_return result;
  }
  if (answer != nullptr) outcome.answer_bytes = answer->body.size();
  Finish(placement.attempt, outcome, server);
  co_return result;
}

void RequestProxy::Finish(AttemptId attempt, const Outcome& outcome,
                          const Endpoint& server) {
  hooks_.finish(attempt, outcome, [this, server](ConnectionAdvice advice) {
    if (advice != ConnectionAdvice::kCloseIdle) return;
    asio::post(loop_, [this, server] { client_.Forget(server); });
  });
}

asio::awaitable<ExchangeResult> RequestProxy::TryForward(Work& work,
                                                         const ForwardTo& to) {
  work.tried_hosts.push_back(to.host);
  HttpExchange exchange;
  exchange.to = to.forwards;
  exchange.method = work.head.method;
  exchange.target = work.head.target;
  exchange.body = work.body;
  exchange.hold_limit = work.match.route->answer_limit;
  const Duration left = work.deadline - hooks_.now();
  exchange.answer_timeout = left;
  exchange.connect_timeout = std::min(exchange.connect_timeout, left);
  exchange.fresh_connection =
      work.fresh_connection || !work.match.route->idempotent;
  ForwardedRequest forwarded;
  forwarded.id = work.id;
  forwarded.workspace = work.workspace;
  forwarded.time_left = left;
  forwarded.weight = work.weight;
  HttpRequestHead head = work.head;
  AddForwardFields(secret_, forwarded, head, work.body);
  exchange.fields = std::move(head.fields);
  ExchangeResult result =
      co_await client_.Exchange(std::move(exchange), work.watch);
  if (const auto* answer = std::get_if<HttpAnswer>(&result.outcome)) {
    const auto failure = RefusalOfPeer(*answer);
    if (failure) result.outcome = *failure;
  }
  co_return result;
}

}  // namespace sapphirebank
