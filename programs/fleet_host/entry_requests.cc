#include "programs/fleet_host/entry_requests.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "programs/fleet_host/entry_requests_work.h"
#include "sapphirebank/core/hash.h"
#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;

// A token is waited for this part of the objective: a refusal that comes later
// would leave the caller too little time to come back.
constexpr int kTokenWaitPart = 4;

// Time that must be left for a retry to make sense.
constexpr Duration kLeastRetryTime = std::chrono::milliseconds(30);

// After a refusal for want of a server or token, when to come back: tokens and
// servers return within a fraction of a second.
constexpr Duration kComeBack = std::chrono::milliseconds(300);

HttpClientSettings ClientSettings() {
  HttpClientSettings settings;
  settings.max_idle_per_endpoint = 2;
  settings.max_idle_time = std::chrono::seconds(20);
  return settings;
}

}  // namespace

EntryRequests::EntryRequests(asio::io_context& loop, EntryState& state,
                             EntryDialect dialect, LogWriter& log,
                             FleetMetrics& metrics)
    : state_(state),
      dialect_(std::move(dialect)),
      log_(log),
      metrics_(metrics),
      loop_(loop),
      client_(loop, ClientSettings()) {}

Result<std::uint64_t> EntryRequests::AcceptHead(
    const HttpRequestHead& /*head*/) const {
  const auto& plan = state_.view().plan();
  if (!plan) return CallerLimits().max_body_bytes;
  return plan->parts().limits.max_body_bytes;
}

asio::awaitable<HttpAnswer> EntryRequests::Handle(HttpRequest request) {
  Work work;
  work.arrived = MonotonicNow();
  work.request = std::move(request);
  Result<void> admitted = Admit(work);
  if (admitted) admitted = co_await TakeAllowance(work);
  HttpAnswer answer;
  if (admitted) {
    answer = co_await Forward(work);
  } else {
    const Duration retry_after = AnswerFor(admitted.error().kind).retry_after;
    answer =
        Refuse(work, admitted.error().kind, std::min(retry_after, kComeBack));
  }
  LogEnd(work, answer);
  CountEnd(work);
  co_return answer;
}

// Finds route and workspace. What only a stale host would refuse is refused in
// a way that lets the caller come back.
Result<void> EntryRequests::Admit(Work& work) const {
  const HttpRequestHead& head = work.request.head;
  const EntryView& view = state_.view();
  auto terms = dialect_.read_terms(head);
  if (!terms) return tl::unexpected(terms.error());
  work.terms = std::move(*terms);
  work.plan = view.plan();
  if (!work.plan) return Fail(ErrorKind::kNoConfiguration, "no plan yet");
  const bool is_current = view.IsCurrent(work.arrived);
  work.route = work.plan->FindRoute(work.terms.host, head.target);
  if (work.route == nullptr) {
    return Fail(is_current ? ErrorKind::kNoRoute : ErrorKind::kNoConfiguration,
                "no route");
  }
  if (work.plan->needs_keys() && !work.route->open) {
    if (!is_current) return Fail(ErrorKind::kKeyUnverifiable, "out of reach");
    if (work.terms.key.empty()) return Fail(ErrorKind::kKeyMissing, "no key");
    work.workspace = work.plan->FindKey(work.terms.key);
    if (work.workspace == nullptr) {
      return Fail(ErrorKind::kKeyUnknown, "unknown key");
    }
  }
  work.caller_deadline =
      work.arrived + work.terms.patience.value_or(work.route->timeout);
  work.deadline =
      std::min(work.caller_deadline, work.arrived + work.route->timeout);
  std::string identity = head.method + ' ' + head.target + ' ' + work.terms.key;
  work.fingerprint = StableHash(work.request.body, StableHash(identity));
  if (view.IsQuarantined(work.fingerprint)) {
    return Fail(ErrorKind::kRequestQuarantined, "it crashed servers");
  }
  return {};
}

asio::awaitable<Result<void>> EntryRequests::TakeAllowance(Work& work) {
  if (work.workspace == nullptr || work.workspace->rate <= 0) {
    co_return Result<void>();
  }
  const Duration wait = work.route->latency_objective / kTokenWaitPart;
  const TokenAnswer token = co_await state_.TakeToken(work.workspace->id, wait);
  if (token == TokenAnswer::kGranted) co_return Result<void>();
  if (token == TokenAnswer::kRefused) {
    co_return Fail(ErrorKind::kRateExceeded, "no token left");
  }
  if (state_.TakeOwnShare(MonotonicNow(), *work.workspace)) {
    co_return Result<void>();
  }
  co_return Fail(ErrorKind::kRateUnavailable, "no token and no leader");
}

const PlannedService* EntryRequests::ChooseService(const Work& work) {
  double sum = 0;
  for (const RouteShare& share : work.route->shares) sum += share.weight;
  double draw = state_.Draw() * sum;
  for (const RouteShare& share : work.route->shares) {
    draw -= share.weight;
    if (draw < 0) return work.plan->FindService(share.service);
  }
  return work.plan->FindService(work.route->shares.back().service);
}

asio::awaitable<HttpAnswer> EntryRequests::Forward(Work& work) {
  work.service = ChooseService(work);
  state_.CountRequest(work.service->id);
  TryEnd last;
  last.failure = ErrorKind::kNoBackendServer;
  // A server's own failure is delivered unless a retry brings something better.
  std::optional<HttpAnswer> ready;
  while (true) {
    const Instant now = MonotonicNow();
    if (now >= work.deadline || work.request.watch->hung_up()) {
      last.failure = work.may_have_run ? ErrorKind::kBackendTimeout
                                       : ErrorKind::kQueueTimeout;
      break;
    }
    ServerQuery query;
    query.service = work.service;
    query.repeatable = work.route->idempotent;
    query.is_retry = work.must_pay;
    query.tried = work.tried;
    const EntryState::Choice choice = co_await state_.Choose(query);
    if (!choice.server) break;
    last = co_await Try(work, choice);
    state_.End(choice, last.server);
    if (last.answer) ready = std::exchange(last.answer, std::nullopt);
    if (!MayRetry(work, last, MonotonicNow())) break;
  }
  if (ready) co_return std::move(*ready);
  ErrorKind kind = last.failure;
  const bool promises_not_run = AnswerFor(kind).execution == Execution::kNotRun;
  if (work.may_have_run && promises_not_run) kind = ErrorKind::kBackendBroken;
  const Duration retry_after = work.may_have_run ? Duration::zero() : kComeBack;
  co_return Refuse(work, kind, retry_after);
}

bool EntryRequests::MayRetry(Work& work, const TryEnd& end, Instant now) {
  if (!end.may_retry || work.deadline - now < kLeastRetryTime) return false;
  if (work.arrivals >= work.route->max_tries) return false;
  // A try that no server saw takes nothing from the budget, and one that was
  // given up is paid for.
  work.must_pay = end.arrived && !end.is_paid;
  return true;
}

// Returns whether a try is given up in favour of another one, which is paid for
// then.
bool EntryRequests::GiveUp(const Work& work) {
  const bool is_last = work.arrivals + 1 >= work.route->max_tries;
  return work.route->idempotent && !is_last && !leaving_ &&
         state_.retries().TrySpend(work.service->id);
}

HttpAnswer EntryRequests::Refuse(Work& work, ErrorKind kind,
                                 Duration retry_after) {
  work.refused = kind;
  const Error error(kind, std::string(AnswerFor(kind).title));
  return dialect_.refusal(error, work.terms.id, retry_after);
}

// Requests that found no route are counted under no service.
void EntryRequests::CountEnd(const Work& work) {
  const ServiceId service =
      work.service != nullptr ? work.service->id : ServiceId();
  if (work.refused) {
    metrics_.CountRefusal(service, *work.refused);
    return;
  }
  metrics_.CountAnswer(service);
  metrics_.ObserveAddedLatency(service,
                               MonotonicNow() - work.arrived - work.at_servers);
}

void EntryRequests::LogEnd(const Work& work, const HttpAnswer& answer) {
  const Instant now = MonotonicNow();
  const LogLevel level =
      answer.status < 400 ? LogLevel::kDebug : LogLevel::kInfo;
  if (!log_.Enabled(level)) return;
  nlohmann::json servers = nlohmann::json::array();
  for (const KnownServerPtr& server : work.tried) {
    servers.push_back(server->state.announcement.id.value());
  }
  log_.Write(level, "request",
             {{"request_id", work.terms.id.value()},
              {"route", work.route != nullptr ? work.route->name : ""},
              {"workspace",
               work.workspace != nullptr ? work.workspace->id.value() : ""},
              {"plan", work.plan ? work.plan->version() : 0},
              {"servers", std::move(servers)},
              {"status", answer.status},
              {"ms", ToSeconds(now - work.arrived) * 1e3}});
}

}  // namespace sapphirebank
