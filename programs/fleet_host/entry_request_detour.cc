#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

#include "programs/fleet_host/entry_request_context.h"
#include "programs/fleet_host/entry_request_handler.h"
#include "sapphirebank/core/hash.h"
#include "sapphirebank/fleet/detour_hosts.h"
#include "sapphirebank/transport/http_guards.h"
#include "sapphirebank/transport/process_clock.h"
#include "sapphirebank/transport/signed_field.h"

// Requests that this host sends to another entry host because it reaches no
// backend server, and those that it gets from others.
namespace sapphirebank {
namespace {

namespace asio = boost::asio;

// Entry hosts are a few milliseconds apart, but a link may be busy with a body.
constexpr Duration kDetourConnectTimeout = std::chrono::milliseconds(400);

// The other host answers at the request's deadline; its answer takes this time.
constexpr Duration kDetourSlack = std::chrono::milliseconds(20);

// Returns whether a host that refuses a request so would refuse others too,
// rather than the servers or the workspace being at their limits.
bool CannotServe(ErrorKind kind) {
  return kind == ErrorKind::kBackendUnreachable ||
         kind == ErrorKind::kHostLeaving ||
         kind == ErrorKind::kNoConfiguration ||
         kind == ErrorKind::kKeyUnverifiable;
}

}  // namespace

asio::awaitable<HttpAnswer> EntryRequestHandler::HandleDetour(
    HttpRequest request) {
  RequestContext context;
  context.arrival_time = MonotonicNow();
  context.request = std::move(request);
  HttpRequestHead& head = context.request.head;
  const auto detour =
      ReadDetourFields(secret_, self_, head, context.request.body);
  // Refusals are marked as this host's and name the request.
  context.detour = detour.value_or(DetourRequest());
  if (const auto info = codec_.read_request_info(head)) context.info = *info;
  if (!detour) {
    log_.Write(LogLevel::kWarning, "detour_rejected",
               {{"cause", detour.error().detail}});
    co_return Refuse(context, detour.error().kind);
  }
  context.attempts_received = detour->attempts_received;
  context.charge_retry_budget = detour->is_retry;
  const std::shared_ptr<std::size_t> in_progress = detours_in_progress_;
  if (*in_progress >= kMaxDetoursInProgress) {
    co_return Refuse(context, ErrorKind::kQueueFull);
  }
  const ScopedCount counted(*in_progress);
  co_return co_await Serve(context);
}

bool EntryRequestHandler::ShouldDetour(const RequestContext& context) const {
  DetourQuery query;
  query.path_is_lost = state_.path().IsLost();
  query.unreachable_attempts = context.unreachable_attempts;
  query.came_by_detour = context.detour.has_value();
  query.must_not_run_again =
      context.execution.MayHaveRun() && !context.route->idempotent;
  query.detours_tried = static_cast<int>(context.detour_hosts.size());
  return TakesDetour(query) &&
         state_.detour_hosts().HasOne(MonotonicNow(), context.detour_hosts);
}

HttpExchange EntryRequestHandler::MakeDetour(const RequestContext& context,
                                             const std::string& host,
                                             Instant now) const {
  HttpExchange exchange;
  // The list has the addresses for callers.
  exchange.to = EndpointFromString(host).value_or(Endpoint());
  exchange.to.port = fleet_port_;
  DetourRequest detour;
  detour.to = ToString(exchange.to);
  detour.time_left = context.deadline - now;
  detour.caller_time_left = context.caller_deadline - now;
  detour.plan_version = context.plan->version();
  detour.attempts_received = context.attempts_received;
  detour.may_have_run = context.execution.MayHaveRun();
  detour.is_retry = context.charge_retry_budget;
  detour.has_token = !context.needs_token;
  HttpRequestHead head = context.request.head;
  StripConnectionFields(head.fields);
  AddDetourFields(secret_, detour, head, context.request.body);
  exchange.method = std::move(head.method);
  exchange.target = std::move(head.target);
  exchange.fields = std::move(head.fields);
  exchange.host = context.info.host;
  exchange.body = context.request.body;
  exchange.connect_timeout =
      std::min(kDetourConnectTimeout, context.deadline - now);
  exchange.answer_timeout = context.deadline - now + kDetourSlack;
  exchange.max_buffered_bytes = kMaxBufferedAnswer;
  const RequestId& id = context.info.id;
  exchange.match_request = [this, id](const HeaderFields& fields) {
    return codec_.match_request(fields, id);
  };
  // A host that refuses a request unread does not know its id.
  exchange.is_genuine = [this](const AnswerHead& answer, AnswerMatch match) {
    return !FieldValue(answer.fields, kRefusalField).empty() ||
           codec_.is_genuine(answer, match);
  };
  exchange.identity = StableHash(id.value());
  exchange.fresh_connection = !context.route->idempotent;
  if (context.workspace != nullptr) {
    exchange.may_send = [this] {
      return state_.view().IsCurrent(MonotonicNow());
    };
  }
  return exchange;
}

asio::awaitable<std::optional<HttpAnswer>> EntryRequestHandler::TakeDetour(
    RequestContext& context, AttemptResult& last) {
  const Instant now = MonotonicNow();
  const std::string host =
      state_.detour_hosts().Take(now, context.detour_hosts);
  context.detour_hosts.push_back(host);
  HttpExchange exchange = MakeDetour(context, host, now);
  const std::shared_ptr<CallerWatch> watch = AddAttemptWatch();
  // Only idempotent requests are aborted when the caller disconnects.
  if (context.route->idempotent) {
    context.request.watch->set_on_hang_up([watch] { watch->HangUp(); });
  }
  ExecutionRecord::Attempt execution(context.execution);
  ExchangeResult result = co_await client_.Exchange(std::move(exchange), watch);
  context.request.watch->set_on_hang_up(nullptr);
  context.backend_time += MonotonicNow() - now;
  const ExchangeTrace trace = result.trace;
  auto answer =
      ClassifyDetour(context, std::move(result), host, execution, last);
  context.attempts.push_back({host, trace, last.evidence});
  co_return answer;
}

std::optional<HttpAnswer> EntryRequestHandler::ClassifyDetour(
    RequestContext& context, ExchangeResult result, const std::string& host,
    ExecutionRecord::Attempt& execution, AttemptResult& last) {
  const Instant now = MonotonicNow();
  last = AttemptResult();
  if (const auto* failure = std::get_if<AttemptFailure>(&result.outcome)) {
    const bool is_sent = failure->stage == AttemptStage::kSent;
    const bool timed_out =
        AttemptsAreOver() || (failure->timed_out && now >= context.deadline);
    if (!timed_out && !context.request.watch->hung_up()) {
      state_.detour_hosts().RecordFailure(now, host);
    }
    log_.Write(LogLevel::kInfo, "detour_failed",
               {{"request_id", context.info.id.value()},
                {"host", host},
                {"stage", is_sent ? "sent" : "not_connected"},
                {"timed_out", failure->timed_out}});
    last.evidence = EvidenceOf(failure->stage);
    execution.End(last.evidence);
    last.received_by_server = is_sent;
    last.may_retry = !is_sent || context.route->idempotent;
    last.failure = !is_sent ? ErrorKind::kBackendUnreachable
                   : timed_out || failure->timed_out
                       ? ErrorKind::kBackendTimeout
                       : ErrorKind::kBackendBroken;
    if (!is_sent) return std::nullopt;
    ++context.attempts_received;
    return std::nullopt;
  }
  const ExchangeTrace& trace = result.trace;
  // A host that refuses a request unread does not know its id.
  const bool is_matched =
      trace.request_number == 1 ||
      (context.route->idempotent && trace.match == AnswerMatch::kOwn);
  const bool is_certain = is_matched && trace.is_first_answer;
  HttpAnswer answer = std::move(std::get<HttpAnswer>(result.outcome));
  const std::string refusal(FieldValue(answer.fields, kRefusalField));
  if (refusal.empty()) {
    execution.End(NotRunEvidence::kNone);
    const BackendId id(std::string(FieldValue(answer.fields, kServerField)));
    const KnownServerPtr server = state_.view().Find(id);
    const BackendResponseInfo info = codec_.read_response_info(answer, now);
    // The caller gets the answer from this host, which is bound by it as well.
    if (server && info.leaving) state_.RecordLeaving(now, *server);
    StripConnectionFields(answer.fields);
    return answer;
  }
  const std::string_view attempts = FieldValue(answer.fields, kAttemptsField);
  int received = context.attempts_received;
  std::from_chars(attempts.data(), attempts.data() + attempts.size(), received);
  last.received_by_server = received > context.attempts_received;
  context.attempts_received = std::max(context.attempts_received, received);
  const ErrorKind kind =
      ErrorKindFromName(refusal).value_or(ErrorKind::kInternal);
  const ErrorAnswer& row = AnswerFor(kind);
  last.failure = kind;
  // A host of an earlier build says so without a proof.
  const bool is_proved =
      context.route->idempotent ||
      FieldValue(answer.fields, kNotRunField) == kNotRunProved;
  if (row.execution == Execution::kNotRun && is_certain && is_proved) {
    last.evidence = NotRunEvidence::kHostRefused;
  }
  execution.End(last.evidence);
  // Another host may be able to help.
  constexpr int kUnavailableStatus = 503;
  const bool is_final = last.evidence == NotRunEvidence::kNone ||
                        row.http_status != kUnavailableStatus;
  if (is_final) return Refuse(context, kind);
  if (CannotServe(kind)) state_.detour_hosts().RecordFailure(now, host);
  last.may_retry = true;
  return std::nullopt;
}

}  // namespace sapphirebank
