#include <algorithm>
#include <optional>
#include <utility>

#include "sapphirebank/core/hash.h"
#include "sapphirebank/transport/await_callback.h"
#include "sapphirebank/transport/request_proxy.h"
#include "sapphirebank/transport/request_proxy_internal.h"

// Attempts of a request: on a backend server that this host owns, or forwarded
// to another entry host.

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
  // A server that wrote an answer of another request did not crash on this one.
  if (result.trace.doubt != AnswerDoubt::kNone) return OutcomeKind::kHttpError;
  return failure.timed_out ? OutcomeKind::kTimedOut
                           : OutcomeKind::kConnectionLost;
}

// Makes `exchange` accept only the answer that names the request `id`.
void MatchAnswers(const RequestId& id, HttpExchange& exchange) {
  exchange.match_request = [id](const HeaderFields& fields) {
    return MatchRequestId(fields, kRequestIdField, id.value());
  };
  exchange.identity = StableHash(id.value());
}

// As MatchAnswers(), for a request that is passed on to another entry host. Its
// refusal may lack the id: of a request that it did not read, or by a host of
// an earlier build.
void MatchPeerAnswers(const RequestId& id, HttpExchange& exchange) {
  exchange.match_request = [id](const HeaderFields& fields) {
    const bool is_refusal = !FieldValue(fields, kRefusalField).empty();
    const bool has_id = !FieldValue(fields, kRequestIdField).empty();
    if (is_refusal && !has_id) return AnswerMatch::kOwn;
    return MatchRequestId(fields, kRequestIdField, id.value());
  };
  exchange.identity = StableHash(id.value());
}

// Converts the refusal of another entry host into the failure of an attempt.
// Returns nothing when the answer is a backend server's.
std::optional<AttemptFailure> FailureFromPeerRefusal(
    const HttpAnswer& answer, const ExchangeTrace& trace) {
  const std::string_view name = FieldValue(answer.fields, kRefusalField);
  if (name.empty()) return std::nullopt;
  AttemptFailure failure;
  failure.peer_kind =
      ErrorKindFromName(name).value_or(ErrorKind::kBackendBroken);
  const bool not_run =
      AnswerFor(failure.peer_kind).execution == Execution::kNotRun;
  failure.stage = not_run && trace.is_first_answer
                      ? AttemptStage::kRefusedByPeer
                      : AttemptStage::kSent;
  failure.timed_out = failure.peer_kind == ErrorKind::kBackendTimeout;
  return failure;
}

}  // namespace

asio::awaitable<bool> RequestProxy::RetryAllowed(ProxiedRequest& proxied,
                                                 const AttemptFailure& failure,
                                                 AttemptDecision& decision) {
  AttemptContext context;
  context.idempotent = proxied.match.route->idempotent && !proxied.hung_up();
  context.attempts = proxied.attempts;
  context.time_left = proxied.deadline - hooks_.now();
  context.retry_budget_left = true;
  decision = DecideAfterFailure(context, failure);
  if (decision.step == NextStep::kRefuse) co_return false;
  const bool granted = co_await AwaitCallback<bool>(loop_, [&](auto callback) {
    hooks_.acquire_retry_token(proxied.match.route->service, callback);
  });
  if (granted) co_return true;
  context.retry_budget_left = false;
  decision = DecideAfterFailure(context, failure);
  co_return false;
}

DispatchRequest RequestProxy::MakeDispatchRequest(
    const ProxiedRequest& proxied) {
  DispatchRequest request;
  request.id = next_dispatch_++;
  request.place.request = proxied.id;
  request.place.service = proxied.match.route->service;
  request.place.workspace = proxied.workspace;
  request.place.fingerprint = StableHash(proxied.digest);
  request.place.excluded = proxied.attempted_backends;
  request.place.idempotent = proxied.match.route->idempotent;
  request.weight = proxied.weight;
  request.deadline = proxied.deadline;
  request.excluded_hosts = proxied.attempted_hosts;
  request.forwarded = proxied.forwarded;
  request.retry = proxied.attempts > 1;
  return request;
}

asio::awaitable<ExchangeResult> RequestProxy::SendAttempt(
    ProxiedRequest& proxied, DispatchDecision dispatch_decision) {
  const Instant start_time = hooks_.now();
  if (const auto* slot = std::get_if<LocalSlot>(&dispatch_decision.place)) {
    ExchangeResult result = co_await SendToBackend(proxied, slot->placement);
    proxied.time_on_backend += hooks_.now() - start_time;
    co_return result;
  }
  ExchangeResult result = co_await ForwardToPeer(
      proxied, std::get<ForwardTo>(dispatch_decision.place));
  proxied.time_on_backend += hooks_.now() - start_time;
  co_return result;
}

asio::awaitable<ExchangeResult> RequestProxy::SendToBackend(
    ProxiedRequest& proxied, const Placement& placement) {
  const Instant start_time = hooks_.now();
  proxied.attempted_backends.push_back(placement.backend);
  HttpExchange exchange;
  const Endpoint server{placement.address.ip, placement.address.port};
  exchange.to = server;
  exchange.method = proxied.head.method;
  exchange.target = proxied.head.target;
  exchange.fields = proxied.head.fields;
  exchange.body = proxied.body;
  exchange.max_buffered_bytes = proxied.match.route->answer_limit;
  const Duration left = proxied.deadline - start_time;
  // Reserve half of the remaining time for a retry if one may follow.
  const bool may_retry =
      proxied.match.route->idempotent && proxied.attempts < kMaxAttempts;
  exchange.answer_timeout = may_retry ? left / 2 : left;
  exchange.connect_timeout = std::min(exchange.connect_timeout, left);
  // A middlebox (NAT, firewall) may have dropped the state of an idle
  // connection without telling either end. A request that is not idempotent
  // could not be resent after such a failure, so it gets a new connection.
  exchange.fresh_connection = proxied.fresh_connection ||
                              placement.needs_fresh_connection ||
                              !proxied.match.route->idempotent;
  exchange.fields.push_back({std::string(kRequestIdField), proxied.id.value()});
  MatchAnswers(proxied.id, exchange);
  exchange.fields.push_back(
      {std::string(kDeadlineField),
       std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                          exchange.answer_timeout)
                          .count())});
  if (!proxied.workspace.empty()) {
    exchange.fields.push_back(
        {std::string(kWorkspaceField), proxied.workspace.value()});
  }
  ExchangeResult result =
      co_await client_.Exchange(std::move(exchange), proxied.watch);

  Outcome outcome;
  outcome.kind = OutcomeOf(result, proxied.hung_up());
  outcome.latency = hooks_.now() - start_time;
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
  hooks_.finish_attempt(
      attempt, outcome, [this, server](ConnectionAdvice advice) {
        if (advice != ConnectionAdvice::kCloseIdle) return;
        asio::post(loop_,
                   [this, server] { client_.CloseIdleConnections(server); });
      });
}

asio::awaitable<ExchangeResult> RequestProxy::ForwardToPeer(
    ProxiedRequest& proxied, const ForwardTo& to) {
  proxied.attempted_hosts.push_back(to.host);
  HttpExchange exchange;
  exchange.to = to.forwards;
  exchange.method = proxied.head.method;
  exchange.target = proxied.head.target;
  exchange.body = proxied.body;
  exchange.max_buffered_bytes = proxied.match.route->answer_limit;
  const Duration left = proxied.deadline - hooks_.now();
  exchange.answer_timeout = left;
  exchange.connect_timeout = std::min(exchange.connect_timeout, left);
  exchange.fresh_connection =
      proxied.fresh_connection || !proxied.match.route->idempotent;
  ForwardedRequest forwarded;
  forwarded.id = proxied.id;
  forwarded.workspace = proxied.workspace;
  forwarded.time_left = left;
  forwarded.weight = proxied.weight;
  HttpRequestHead head = proxied.head;
  AddForwardFields(secret_, forwarded, head, proxied.body);
  exchange.fields = std::move(head.fields);
  MatchPeerAnswers(proxied.id, exchange);
  ExchangeResult result =
      co_await client_.Exchange(std::move(exchange), proxied.watch);
  const auto* answer = std::get_if<HttpAnswer>(&result.outcome);
  if (answer == nullptr) co_return result;
  const auto failure = FailureFromPeerRefusal(*answer, result.trace);
  if (!failure) co_return result;
  // A late copy of a refusal without the id could not be told from the next
  // answer, so no connection that may bring one is kept.
  if (FieldValue(answer->fields, kRequestIdField).empty()) {
    client_.CloseIdleConnections(to.forwards);
  }
  result.outcome = *failure;
  co_return result;
}

}  // namespace sapphirebank
