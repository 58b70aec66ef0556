#include "programs/fleet_host/entry_requests.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sapphirebank/core/hash.h"
#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;

// A connection within a site is up after a millisecond or two; a server that
// is dark never answers.
constexpr Duration kConnectTime = std::chrono::milliseconds(200);

// A token is waited for this part of the objective: a refusal that comes later
// would leave the caller too little time to come back.
constexpr int kTokenWaitPart = 4;

// A try of a request that may be repeated is given up after this part of the
// objective when another server can still be asked and the server has nothing
// else to do: services answer within a third of it, but for one request in a
// hundred.
constexpr double kTryPartOfObjective = 0.6;

// Time that must be left for a retry to make sense.
constexpr Duration kLeastRetryTime = std::chrono::milliseconds(30);

// After a refusal for want of a server or token, when to come back: tokens and
// servers return within a fraction of a second.
constexpr Duration kComeBack = std::chrono::milliseconds(300);

// An answer that is shorter is held until it is whole.
constexpr std::uint64_t kHoldLimit = std::uint64_t{1} << 20U;

constexpr int kFirstServerError = 500;

HttpClientSettings ClientSettings() {
  HttpClientSettings settings;
  settings.max_idle_per_endpoint = 2;
  settings.max_idle_time = std::chrono::seconds(20);
  return settings;
}

}  // namespace

// A request on its way.
struct EntryRequests::Work {
  HttpRequest request;
  CallerTerms terms;
  // The version by which the request is handled from start to end.
  std::shared_ptr<const TrafficPlan> plan;
  const PlannedRoute* route = nullptr;
  const PlannedWorkspace* workspace = nullptr;
  const PlannedService* service = nullptr;
  Instant arrived;
  Instant deadline;         // Of the caller or the route, the earlier one.
  Instant caller_deadline;  // What backend servers are told of.
  RequestFingerprint fingerprint = 0;
  std::vector<KnownServerPtr> tried;
  int arrivals = 0;
  // A server may have run it.
  bool may_have_run = false;
  // The next try takes from the retry budget.
  bool must_pay = false;
  // Spent at backend servers.
  Duration at_servers{};
  // Why the caller got no server's answer, if it got none.
  std::optional<ErrorKind> refused;
};

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
         state_.retries().Spend(work.service->id);
}

// Ends a try whose server does not answer in time, unless the host has begun
// to leave by then.
std::shared_ptr<void> EntryRequests::WatchTry(
    const Work& work, asio::steady_timer& timer,
    const std::shared_ptr<CallerWatch>& watch) {
  // The timer may have fired already when the try ends and `work` with it.
  auto try_lives = std::make_shared<char>();
  timer.expires_after(FromSeconds(ToSeconds(work.route->latency_objective) *
                                  kTryPartOfObjective));
  timer.async_wait([this, &work, watch, lives = std::weak_ptr(try_lives)](
                       boost::system::error_code error) {
    if (!error && !lives.expired() && GiveUp(work)) watch->HangUp();
  });
  return try_lives;
}

asio::awaitable<EntryRequests::TryEnd> EntryRequests::Try(
    Work& work, EntryState::Choice choice) {
  const KnownServerPtr server = choice.server;
  const Instant now = MonotonicNow();
  const ServerAnnouncement& target = server->state.announcement;
  work.tried.push_back(server);
  // Checked just before the request leaves: the host may have stood still.
  if (work.workspace != nullptr && !state_.view().IsCurrent(now)) {
    TryEnd end;
    end.failure = ErrorKind::kKeyUnverifiable;
    co_return end;
  }
  BackendTerms terms;
  terms.time_left = work.caller_deadline - now;
  terms.server = target.id;
  if (work.workspace != nullptr) terms.workspace = work.workspace->id;
  HttpExchange exchange;
  exchange.to = target.endpoint;
  exchange.method = work.request.head.method;
  exchange.target = work.request.head.target;
  exchange.host = work.terms.host;
  exchange.fields = dialect_.backend_fields(work.request.head.fields, terms);
  exchange.body = work.request.body;
  exchange.connect_timeout = std::min(kConnectTime, work.deadline - now);
  exchange.answer_timeout = work.deadline - now;
  exchange.hold_limit = kHoldLimit;
  const RequestId& id = work.terms.id;
  exchange.belongs = [this, id](const HeaderFields& fields) {
    return dialect_.belongs(fields, id);
  };
  // Work that must run once is not broken off when its caller leaves.
  std::shared_ptr<CallerWatch> watch;
  asio::steady_timer timer(loop_);
  std::shared_ptr<void> try_lives;
  if (work.route->idempotent) {
    watch = std::make_shared<CallerWatch>();
    work.request.watch->set_on_hang_up([watch] { watch->HangUp(); });
    if (!choice.is_busy) try_lives = WatchTry(work, timer, watch);
  }
  ++server->in_flight;
  ExchangeResult result = co_await client_.Exchange(std::move(exchange), watch);
  --server->in_flight;
  work.at_servers += MonotonicNow() - now;
  timer.cancel();
  work.request.watch->set_on_hang_up(nullptr);
  if (auto* failure = std::get_if<AttemptFailure>(&result.outcome)) {
    const bool gave_up =
        watch && watch->hung_up() && !work.request.watch->hung_up();
    failure->timed_out = failure->timed_out || gave_up;
    TryEnd end = JudgeFailure(work, *server, *failure);
    end.is_paid = gave_up;
    co_return end;
  }
  co_return JudgeAnswer(work, *server,
                        std::move(std::get<HttpAnswer>(result.outcome)));
}

EntryRequests::TryEnd EntryRequests::JudgeFailure(
    Work& work, KnownServer& server, const AttemptFailure& failure) {
  TryEnd end;
  const Instant now = MonotonicNow();
  if (failure.stage == AttemptStage::kNotConnected) {
    end.failure = ErrorKind::kBackendUnreachable;
    end.may_retry = true;
    if (work.request.watch->hung_up()) return end;
    end.server = AssignmentEnd::kFailed;
    state_.Unreachable(now, server);
    return end;
  }
  end.arrived = true;
  ++work.arrivals;
  work.may_have_run = true;
  end.failure = failure.timed_out ? ErrorKind::kBackendTimeout
                                  : ErrorKind::kBackendBroken;
  end.may_retry = work.route->idempotent;
  if (work.request.watch->hung_up()) return end;
  end.server = AssignmentEnd::kFailed;
  const bool is_fault = !failure.timed_out || now < work.deadline;
  if (is_fault) {
    client_.Forget(server.state.announcement.endpoint);
    state_.Broke(now, server, work.fingerprint, !failure.timed_out);
  } else {
    state_.Erred(server);
  }
  return end;
}

EntryRequests::TryEnd EntryRequests::JudgeAnswer(Work& work,
                                                 KnownServer& server,
                                                 HttpAnswer answer) {
  TryEnd end;
  const Instant now = MonotonicNow();
  const BackendWord word = dialect_.read_word(answer, now);
  end.arrived = true;
  ++work.arrivals;
  if (word.load) server.load = *word.load;
  if (word.misdirected) {
    end.failure = ErrorKind::kNoBackendServer;
    end.may_retry = true;
    end.server = AssignmentEnd::kFailed;
    state_.Unreachable(now, server);
    return end;
  }
  if (word.not_run) {
    end.failure = ErrorKind::kQueueFull;
    end.may_retry = true;
    // Refusing work with room to spare is a fault; being full is not.
    const bool has_room = word.load && word.load->waiting == 0 &&
                          word.load->running < word.load->slots;
    if (has_room) state_.Erred(server);
    return end;
  }
  work.may_have_run = true;
  StripConnectionFields(answer.fields);
  const bool failed = answer.status >= kFirstServerError;
  end.server = failed ? AssignmentEnd::kFailed : AssignmentEnd::kServed;
  if (failed) {
    state_.Erred(server);
    end.may_retry = work.route->idempotent && !answer.stream;
  } else {
    state_.Succeeded(server);
  }
  end.answer = std::move(answer);
  return end;
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
