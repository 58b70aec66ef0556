#include "sapphirebank/transport/request_proxy.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "sapphirebank/core/hash.h"
#include "sapphirebank/request/refusal.h"
#include "sapphirebank/transport/await_callback.h"
#include "sapphirebank/transport/request_proxy_work.h"
#include "sapphirebank/transport/stored_answer.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::string_view kIdempotencyField = "idempotency-key";
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr int kShedding = 503;  // HTTP status of a server that sheds load.
constexpr int kNoAnswerStatus = 499;  // In logs: the caller hung up.

Error NoConfiguration() {
  return {ErrorKind::kNoConfiguration, "this host has no configuration yet"};
}

// Returns the time that the caller allows, if it says so.
std::optional<Duration> CallerTimeout(const HeaderFields& fields) {
  const std::string_view text = FieldValue(fields, kDeadlineField);
  std::int64_t milliseconds = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  constexpr std::int64_t kMost = 24LL * 3600 * 1000;
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      milliseconds <= 0 || milliseconds > kMost) {
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

// Returns why a request with a claim in `state` must not run, if so.
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

std::string DigestOf(const RouteTable::Match& match,
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
                "this host is cut off and cannot tell which keys are valid");
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
  Work work;
  work.begun = hooks_.now();
  work.id = NextRequestId();
  work.table = hooks_.routes();
  if (!work.table) {
    co_return Refuse(work, NoConfiguration());
  }
  // A second look: the key may have been withdrawn while the body came in.
  const auto match = Authorize(*work.table, request.head);
  if (!match) co_return Refuse(work, match.error());
  work.match = *match;
  if (match->workspace != nullptr) {
    work.workspace = match->workspace->id;
    work.weight = match->workspace->weight;
  }
  const auto allowed = CallerTimeout(request.head.fields);
  work.deadline = work.begun + std::min(match->route->deadline,
                                        allowed.value_or(Duration::max()));
  work.idempotency_key =
      std::string(FieldValue(request.head.fields, kIdempotencyField));
  if (work.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    const Error error(ErrorKind::kMalformedRequest,
                      fmt::format("Idempotency-Key is longer than {} bytes",
                                  kMaxIdempotencyKeyBytes));
    co_return Refuse(work, error);
  }
  const std::string key(FieldValue(request.head.fields, settings_.key_field));
  work.head = std::move(request.head);
  StripConnectionFields(work.head.fields);
  StripKey(settings_.key_field, key, work.head.fields, work.head.target);
  work.body = std::move(request.body);
  work.watch = std::move(request.watch);
  work.digest = DigestOf(work.match, work.head, work.body);
  co_return co_await Serve(work);
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
  Work work;
  work.begun = hooks_.now();
  work.forwarded = true;
  work.table = hooks_.routes();
  const auto forwarded = ReadForwardFields(secret_, request.head, request.body);
  if (!forwarded) co_return Refuse(work, forwarded.error());
  work.id = forwarded->id;
  if (!work.table) {
    co_return Refuse(work, NoConfiguration());
  }
  const auto route =
      work.table->FindRoute(request.head.method, request.head.target);
  if (!route) co_return Refuse(work, route.error());
  work.match.route = *route;
  work.match.service = work.table->FindService((*route)->service.value());
  work.workspace = forwarded->workspace;
  work.weight = forwarded->weight;
  work.deadline = work.begun + forwarded->time_left;
  work.head = std::move(request.head);
  StripConnectionFields(work.head.fields);
  work.body = std::move(request.body);
  work.watch = std::move(request.watch);
  work.digest = DigestOf(work.match, work.head, work.body);
  co_return co_await Serve(work);
}

asio::awaitable<HttpAnswer> RequestProxy::Serve(Work& work) {
  if (!work.forwarded && !work.workspace.empty()) {
    const auto spent = co_await AwaitCallback<Result<void>>(
        loop_, [&](auto callback) { hooks_.spend(work.workspace, callback); });
    if (!spent) co_return Refuse(work, spent.error());
  }
  Result<HttpAnswer> result = Fail(ErrorKind::kInternal, "not decided");
  if (work.claimed()) {
    result = co_await Claimed(work);
  } else {
    result = co_await Run(work);
  }
  if (!result) co_return Refuse(work, result.error());
  HttpAnswer answer = std::move(*result);
  StripConnectionFields(answer.fields);
  answer.fields.push_back({std::string(kRequestIdField), work.id.value()});
  Report(work, answer, nullptr);
  co_return answer;
}

asio::awaitable<Result<HttpAnswer>> RequestProxy::Claimed(Work& work) {
  Claim claim;
  claim.key = {work.workspace, work.idempotency_key};
  claim.fingerprint = work.digest;
  claim.holder = {work.id, settings_.host, settings_.incarnation};
  const auto found = co_await AwaitCallback<Result<ClaimResult>>(
      loop_, [&](auto callback) { hooks_.claim(claim, callback); });
  if (!found) {
    // The claim may still be granted: give it back, so that a resend may run.
    const Result<HttpAnswer> nothing_ran = tl::unexpected(found.error());
    hooks_.end_claim(EndOf(claim, nothing_ran));
    co_return nothing_ran;
  }
  hooks_.log("claim", {{"request_id", work.id.value()},
                       {"workspace", work.workspace.value()},
                       {"state", ClaimStateName(found->state)}});
  if (found->state == ClaimState::kAnswered) {
    co_return DecodeAnswer(found->answer);
  }
  if (const auto refusal = RefusalFor(found->state)) {
    co_return Fail(*refusal, "idempotency key of an earlier request");
  }
  // The answer is worth keeping although the caller may be gone.
  work.watch = nullptr;
  Result<HttpAnswer> result = co_await Run(work);
  hooks_.end_claim(EndOf(claim, result));
  co_return result;
}

CompleteClaim RequestProxy::EndOf(const Claim& claim,
                                  const Result<HttpAnswer>& result) const {
  CompleteClaim end;
  end.key = claim.key;
  end.holder = claim.holder;
  if (!result) {
    const bool not_run =
        AnswerFor(result.error().kind).execution == Execution::kNotRun;
    end.outcome = not_run ? ClaimOutcome::kNotRun : ClaimOutcome::kUnknown;
    return end;
  }
  end.outcome = ClaimOutcome::kAnswerTooLarge;
  if (result->stream) return end;
  std::string stored = EncodeAnswer(*result);
  if (stored.size() > settings_.max_stored_answer) return end;
  end.outcome = ClaimOutcome::kAnswered;
  end.answer = std::move(stored);
  return end;
}

asio::awaitable<Result<HttpAnswer>> RequestProxy::Run(Work& work) {
  while (true) {
    ++work.tries;
    if (hooks_.now() >= work.deadline) {
      co_return Fail(ErrorKind::kDeadlineTooShort,
                     "the deadline passed before a try could begin");
    }
    const DispatchRequest request = MakeDispatchRequest(work);
    if (work.watch) {
      work.watch->set_on_hang_up(
          [this, id = request.id] { hooks_.cancel_dispatch(id); });
    }
    DispatchDecision where = co_await AwaitCallback<DispatchDecision>(
        loop_, [&](auto callback) { hooks_.dispatch(request, callback); });
    if (work.watch) work.watch->set_on_hang_up(nullptr);
    if (const auto* error = std::get_if<Error>(&where.place)) {
      co_return tl::unexpected(*error);
    }
    ExchangeResult result = co_await Try(work, std::move(where));
    AttemptFailure failure;
    if (auto* answer = std::get_if<HttpAnswer>(&result.outcome)) {
      const bool shed = answer->status == kShedding &&
                        work.match.route->idempotent && !answer->stream;
      if (!shed) co_return std::move(*answer);
      failure.stage = AttemptStage::kSent;
    } else {
      failure = std::get<AttemptFailure>(result.outcome);
    }
    AttemptDecision decision;
    const bool retry = co_await RetryAllowed(work, failure, decision);
    if (!retry) {
      // A server that sheds load has answered, and that is passed on.
      if (auto* answer = std::get_if<HttpAnswer>(&result.outcome)) {
        co_return std::move(*answer);
      }
      co_return Fail(decision.refusal,
                     fmt::format("after {} tries", work.tries));
    }
    work.fresh_connection = decision.step == NextStep::kRetryNewConnection;
    if (work.fresh_connection && !work.tried_backends.empty()) {
      work.tried_backends.pop_back();
    }
  }
}

HttpAnswer RequestProxy::Refuse(const Work& work, const Error& error) const {
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
  answer.body = RefusalBody(error, work.id);
  Report(work, answer, &error.kind);
  return answer;
}

void RequestProxy::Report(const Work& work, const HttpAnswer& answer,
                          const ErrorKind* kind) const {
  const ServiceId service =
      work.match.route != nullptr ? work.match.route->service : ServiceId();
  const Duration total = hooks_.now() - work.begun;
  json line = {{"request_id", work.id.value()},
               {"service", service.value()},
               {"workspace", work.workspace.value()},
               {"status", work.hung_up() ? kNoAnswerStatus : answer.status},
               {"tries", work.tries},
               {"total_us", total.count()},
               {"added_us", (total - work.on_backend).count()}};
  if (work.forwarded) line["forwarded"] = true;
  if (kind != nullptr) line["refusal"] = AnswerFor(*kind).name;
  hooks_.log("request", std::move(line));
  hooks_.count(service, work.workspace, kind, total - work.on_backend,
               answer.body.size());
}

RequestId RequestProxy::NextRequestId() {
  return RequestId(fmt::format("{}-{:x}-{:x}", settings_.host.value(),
                               settings_.incarnation, next_request_++));
}

}  // namespace sapphirebank
