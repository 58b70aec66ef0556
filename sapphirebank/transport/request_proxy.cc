#include "sapphirebank/transport/request_proxy.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "sapphirebank/core/hash.h"
#include "sapphirebank/request/refusal.h"
#include "sapphirebank/transport/await_callback.h"
#include "sapphirebank/transport/request_proxy_internal.h"
#include "sapphirebank/transport/stored_answer.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::string_view kIdempotencyField = "idempotency-key";
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
// Time for which a claim is repeated while another request holds the key: far
// above that of storing an outcome, and short beside callers' deadlines.
constexpr Duration kMaxClaimWait = std::chrono::milliseconds(500);
constexpr Duration kFirstClaimDelay = std::chrono::milliseconds(10);
constexpr int kServiceUnavailable = 503;   // Sent by servers that shed load.
constexpr int kClientClosedRequest = 499;  // Logged when the caller hung up.

Error NoConfiguration() {
  return {ErrorKind::kNoConfiguration,
          "this host has not received a configuration yet"};
}

// Returns the time limit that the caller states in its deadline field, if it is
// valid.
std::optional<Duration> CallerTimeout(const HeaderFields& fields) {
  const std::string_view text = FieldValue(fields, kDeadlineField);
  std::int64_t milliseconds = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  constexpr std::int64_t kMaxTimeoutMs = 24LL * 3600 * 1000;
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      milliseconds <= 0 || milliseconds > kMaxTimeoutMs) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

std::string_view ClaimStateName(ClaimState state) {
  switch (state) {
    case ClaimState::kGranted:
      return "granted";
    case ClaimState::kAnswered:
      return "answered";
    case ClaimState::kAnswerNotKept:
      return "answer not kept";
    case ClaimState::kRunning:
      return "running";
    case ClaimState::kUnknown:
      return "unknown";
    case ClaimState::kFingerprintMismatch:
      return "other request";
  }
  return "unknown";
}

// Returns the error with which a request is refused whose claim is in `state`;
// nothing when it may run or has a stored answer.
std::optional<ErrorKind> RefusalFor(ClaimState state) {
  switch (state) {
    case ClaimState::kGranted:
    case ClaimState::kAnswered:
      return std::nullopt;
    case ClaimState::kRunning:
      return ErrorKind::kIdempotencyRunning;
    case ClaimState::kFingerprintMismatch:
      return ErrorKind::kIdempotencyKeyReused;
    case ClaimState::kAnswerNotKept:
    case ClaimState::kUnknown:
      break;
  }
  return ErrorKind::kIdempotencyUnknown;
}

std::string RequestDigest(const RouteTable::Match& match,
                          const HttpRequestHead& head, std::string_view body) {
  return Sha256Hex(fmt::format("{}\n{}\n{}\n{}", match.route->service.value(),
                               head.method, head.target, Sha256Hex(body)));
}

}  // namespace

RequestProxy::RequestProxy(asio::io_context& loop,
                           RequestProxySettings settings, FleetSecret secret,
                           RequestProxyHooks hooks)
    : loop_(loop),
      settings_(std::move(settings)),
      secret_(std::move(secret)),
      hooks_(std::move(hooks)),
      client_(loop, HttpClientSettings()) {}

Result<RouteTable::Match> RequestProxy::Authorize(
    const RouteTable& table, const HttpRequestHead& head) const {
  const std::string_view key = FieldValue(head.fields, settings_.key_field);
  auto match = table.Authorize(head.method, head.target, key);
  if (match && match->workspace != nullptr && !hooks_.keys_verifiable()) {
    return Fail(ErrorKind::kKeyUnverifiable,
                "this host has no recent contact with the control hosts and "
                "cannot verify keys");
  }
  return match;
}

Result<std::uint64_t> RequestProxy::AcceptCallerHead(
    const HttpRequestHead& head) const {
  const auto table = hooks_.routes();
  if (!table) return Fail(ErrorKind::kNoConfiguration, "no configuration yet");
  const auto match = Authorize(*table, head);
  if (!match) return tl::unexpected(match.error());
  return match->route->body_limit;
}

asio::awaitable<HttpAnswer> RequestProxy::HandleCaller(HttpRequest request) {
  ProxiedRequest proxied;
  proxied.start_time = hooks_.now();
  proxied.id = NextRequestId();
  proxied.table = hooks_.routes();
  if (!proxied.table) {
    co_return Refuse(proxied, NoConfiguration());
  }
  // Authorize again: the key may have been revoked while the body was read.
  const auto match = Authorize(*proxied.table, request.head);
  if (!match) co_return Refuse(proxied, match.error());
  proxied.match = *match;
  if (match->workspace != nullptr) {
    proxied.workspace = match->workspace->id;
    proxied.weight = match->workspace->weight;
  }
  const auto allowed = CallerTimeout(request.head.fields);
  proxied.deadline =
      proxied.start_time +
      std::min(match->route->deadline, allowed.value_or(Duration::max()));
  proxied.idempotency_key =
      std::string(FieldValue(request.head.fields, kIdempotencyField));
  if (proxied.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    const Error error(ErrorKind::kMalformedRequest,
                      fmt::format("Idempotency-Key is longer than {} bytes",
                                  kMaxIdempotencyKeyBytes));
    co_return Refuse(proxied, error);
  }
  const std::string key(FieldValue(request.head.fields, settings_.key_field));
  proxied.head = std::move(request.head);
  StripConnectionFields(proxied.head.fields);
  StripKey(settings_.key_field, key, proxied.head.fields, proxied.head.target);
  proxied.body = std::move(request.body);
  proxied.watch = std::move(request.watch);
  proxied.digest = RequestDigest(proxied.match, proxied.head, proxied.body);
  co_return co_await Serve(proxied);
}

Result<std::uint64_t> RequestProxy::AcceptForwardHead(
    const HttpRequestHead& head) const {
  const auto table = hooks_.routes();
  if (!table) return Fail(ErrorKind::kNoConfiguration, "no configuration yet");
  const auto route = table->FindRoute(head.method, head.target);
  if (!route) return tl::unexpected(route.error());
  return (*route)->body_limit;
}

asio::awaitable<HttpAnswer> RequestProxy::HandleForward(HttpRequest request) {
  ProxiedRequest proxied;
  proxied.start_time = hooks_.now();
  proxied.forwarded = true;
  proxied.table = hooks_.routes();
  const auto forwarded = ReadForwardFields(secret_, request.head, request.body);
  if (!forwarded) co_return Refuse(proxied, forwarded.error());
  proxied.id = forwarded->id;
  if (!proxied.table) {
    co_return Refuse(proxied, NoConfiguration());
  }
  const auto route =
      proxied.table->FindRoute(request.head.method, request.head.target);
  if (!route) co_return Refuse(proxied, route.error());
  proxied.match.route = *route;
  proxied.match.service = proxied.table->FindService((*route)->service.value());
  proxied.workspace = forwarded->workspace;
  proxied.weight = forwarded->weight;
  proxied.deadline = proxied.start_time + forwarded->time_left;
  proxied.head = std::move(request.head);
  StripConnectionFields(proxied.head.fields);
  proxied.body = std::move(request.body);
  proxied.watch = std::move(request.watch);
  proxied.digest = RequestDigest(proxied.match, proxied.head, proxied.body);
  co_return co_await Serve(proxied);
}

asio::awaitable<HttpAnswer> RequestProxy::Serve(ProxiedRequest& proxied) {
  if (!proxied.forwarded && !proxied.workspace.empty()) {
    const auto admitted =
        co_await AwaitCallback<Result<void>>(loop_, [&](auto callback) {
          hooks_.acquire_rate_token(proxied.workspace, callback);
        });
    if (!admitted) co_return Refuse(proxied, admitted.error());
  }
  Result<HttpAnswer> result = Fail(ErrorKind::kInternal, "request not run");
  if (proxied.needs_claim()) {
    result = co_await RunWithClaim(proxied);
  } else {
    result = co_await RunAttemptsWithProof(proxied);
  }
  if (!result) co_return Refuse(proxied, result.error());
  HttpAnswer answer = std::move(*result);
  StripConnectionFields(answer.fields);
  answer.fields.push_back({std::string(kRequestIdField), proxied.id.value()});
  LogAndCount(proxied, answer, nullptr);
  co_return answer;
}

asio::awaitable<Result<HttpAnswer>> RequestProxy::RunWithClaim(
    ProxiedRequest& proxied) {
  Claim claim;
  claim.key = {proxied.workspace, proxied.idempotency_key};
  claim.fingerprint = proxied.digest;
  claim.holder = {proxied.id, settings_.host, settings_.incarnation};
  const auto found = co_await AcquireClaim(proxied, claim);
  if (!found) {
    // The claim may be granted after this failure. Completing it as not run
    // releases the key, so that a resend by the caller can run.
    const Result<HttpAnswer> claim_failure = tl::unexpected(found.error());
    hooks_.complete_claim(ClaimCompletion(claim, claim_failure));
    co_return claim_failure;
  }
  hooks_.log("claim", {{"request_id", proxied.id.value()},
                       {"workspace", proxied.workspace.value()},
                       {"state", ClaimStateName(found->state)}});
  if (found->state == ClaimState::kAnswered) {
    Result<HttpAnswer> stored = DecodeAnswer(found->answer);
    // The request has run, so its refusal must not say otherwise.
    if (!stored) stored.error().kind = ErrorKind::kIdempotencyUnknown;
    co_return stored;
  }
  if (const auto refusal = RefusalFor(found->state)) {
    co_return Fail(*refusal,
                   "the idempotency key was used by an earlier request");
  }
  // Run to the end even if the caller hangs up: the answer is stored for a
  // resend with the same key.
  proxied.watch = nullptr;
  Result<HttpAnswer> result = co_await RunAttemptsWithProof(proxied);
  hooks_.complete_claim(ClaimCompletion(claim, result));
  co_return result;
}

// Claims the key. While an earlier request with it runs, the claim is repeated
// for a while: the answer of that request may have reached its caller before
// the control hosts have stored it.
asio::awaitable<Result<ClaimResult>> RequestProxy::AcquireClaim(
    const ProxiedRequest& proxied, const Claim& claim) {
  const Instant give_up =
      std::min(proxied.deadline, hooks_.now() + kMaxClaimWait);
  Duration delay = kFirstClaimDelay;
  while (true) {
    auto found = co_await AwaitCallback<Result<ClaimResult>>(
        loop_, [&](auto callback) { hooks_.claim(claim, callback); });
    const bool is_running = found && found->state == ClaimState::kRunning;
    if (!is_running || proxied.hung_up() || hooks_.now() + delay >= give_up) {
      co_return found;
    }
    asio::steady_timer timer(loop_, delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    delay *= 2;
  }
}

CompleteClaim RequestProxy::ClaimCompletion(
    const Claim& claim, const Result<HttpAnswer>& result) const {
  CompleteClaim completion;
  completion.key = claim.key;
  completion.holder = claim.holder;
  if (!result) {
    const bool not_run =
        AnswerFor(result.error().kind).execution == Execution::kNotRun;
    completion.outcome =
        not_run ? ClaimOutcome::kNotRun : ClaimOutcome::kUnknown;
    return completion;
  }
  completion.outcome = ClaimOutcome::kAnswerTooLarge;
  if (result->stream) return completion;
  std::string stored = EncodeAnswer(*result);
  if (stored.size() > settings_.max_stored_answer) return completion;
  completion.outcome = ClaimOutcome::kAnswered;
  completion.answer = std::move(stored);
  return completion;
}

// Runs the request. A failure says that it has not run only if that is proved
// for all of its attempts.
asio::awaitable<Result<HttpAnswer>> RequestProxy::RunAttemptsWithProof(
    ProxiedRequest& proxied) {
  Result<HttpAnswer> result = co_await RunAttempts(proxied);
  if (!result) {
    result.error().kind = KindWithProof(proxied.execution, result.error().kind);
  }
  co_return result;
}

asio::awaitable<Result<HttpAnswer>> RequestProxy::RunAttempts(
    ProxiedRequest& proxied) {
  while (true) {
    ++proxied.attempts;
    if (hooks_.now() >= proxied.deadline) {
      co_return Fail(ErrorKind::kDeadlineTooShort,
                     "the deadline passed before an attempt could start");
    }
    const DispatchRequest request = MakeDispatchRequest(proxied);
    if (proxied.watch) {
      proxied.watch->set_on_hang_up(
          [this, id = request.id] { hooks_.cancel_dispatch(id); });
    }
    DispatchDecision dispatch_decision =
        co_await AwaitCallback<DispatchDecision>(
            loop_, [&](auto callback) { hooks_.dispatch(request, callback); });
    if (proxied.watch) proxied.watch->set_on_hang_up(nullptr);
    if (const auto* error = std::get_if<Error>(&dispatch_decision.place)) {
      co_return tl::unexpected(*error);
    }
    ExecutionRecord::Attempt attempt(proxied.execution);
    ExchangeResult result =
        co_await SendAttempt(proxied, std::move(dispatch_decision));
    AttemptFailure failure;
    if (auto* answer = std::get_if<HttpAnswer>(&result.outcome)) {
      const bool shed = answer->status == kServiceUnavailable &&
                        proxied.match.route->idempotent && !answer->stream;
      if (!shed) co_return std::move(*answer);
      failure.stage = AttemptStage::kSent;
    } else {
      failure = std::get<AttemptFailure>(result.outcome);
    }
    attempt.End(EvidenceOf(failure.stage));
    AttemptDecision decision;
    const bool retry = co_await RetryAllowed(proxied, failure, decision);
    if (!retry) {
      // Without a retry the caller gets the 503 of the server that shed load.
      if (auto* answer = std::get_if<HttpAnswer>(&result.outcome)) {
        co_return std::move(*answer);
      }
      co_return Fail(decision.refusal,
                     fmt::format("failed after {} attempts", proxied.attempts));
    }
    proxied.fresh_connection = decision.step == NextStep::kRetryNewConnection;
    if (proxied.fresh_connection && !proxied.attempted_backends.empty()) {
      proxied.attempted_backends.pop_back();
    }
  }
}

HttpAnswer RequestProxy::Refuse(const ProxiedRequest& proxied,
                                const Error& error) const {
  const ErrorAnswer& row = AnswerFor(error.kind);
  HttpAnswer answer;
  answer.status = row.http_status;
  answer.fields.push_back({"content-type", std::string(kProblemMediaType)});
  answer.fields.push_back({std::string(kRefusalField), std::string(row.name)});
  if (row.retry_after > Duration::zero()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(row.retry_after);
    answer.fields.push_back({"retry-after", std::to_string(seconds.count())});
  }
  if (proxied.forwarded && !proxied.id.empty()) {
    answer.fields.push_back({std::string(kRequestIdField), proxied.id.value()});
  }
  answer.body = RefusalBody(error, proxied.id);
  LogAndCount(proxied, answer, &error.kind);
  return answer;
}

void RequestProxy::LogAndCount(const ProxiedRequest& proxied,
                               const HttpAnswer& answer,
                               const ErrorKind* kind) const {
  const ServiceId service = proxied.match.route != nullptr
                                ? proxied.match.route->service
                                : ServiceId();
  const Duration total = hooks_.now() - proxied.start_time;
  json line = {
      {"request_id", proxied.id.value()},
      {"service", service.value()},
      {"workspace", proxied.workspace.value()},
      {"status", proxied.hung_up() ? kClientClosedRequest : answer.status},
      {"tries", proxied.attempts},
      {"total_us", total.count()},
      {"added_us", (total - proxied.time_on_backend).count()}};
  if (proxied.forwarded) line["forwarded"] = true;
  if (kind != nullptr) line["refusal"] = AnswerFor(*kind).name;
  hooks_.log("request", std::move(line));
  hooks_.count_request(service, proxied.workspace, kind,
                       total - proxied.time_on_backend, answer.body.size());
}

RequestId RequestProxy::NextRequestId() {
  return RequestId(fmt::format("{}-{:x}-{:x}", settings_.host.value(),
                               settings_.incarnation, next_request_++));
}

}  // namespace sapphirebank
