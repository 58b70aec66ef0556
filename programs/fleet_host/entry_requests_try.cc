#include <algorithm>
#include <utility>

#include "programs/fleet_host/entry_requests.h"
#include "programs/fleet_host/entry_requests_work.h"
#include "sapphirebank/transport/process_clock.h"

// One try of a request at one backend server, and what it says.
namespace sapphirebank {
namespace {

namespace asio = boost::asio;

// A connection within a site is up after a millisecond or two; a server that
// is dark never answers.
constexpr Duration kConnectTime = std::chrono::milliseconds(200);

// A try of a request that may be repeated is given up after this part of the
// objective when another server can still be asked and the server has nothing
// else to do: services answer within a third of it, but for one request in a
// hundred.
constexpr double kTryPartOfObjective = 0.6;

// An answer that is shorter is held until it is whole.
constexpr std::uint64_t kHoldLimit = std::uint64_t{1} << 20U;

constexpr int kFirstServerError = 500;

}  // namespace

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
    end.server = AssignmentOutcome::kFailed;
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
  end.server = AssignmentOutcome::kFailed;
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
    end.server = AssignmentOutcome::kFailed;
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
  end.server = failed ? AssignmentOutcome::kFailed : AssignmentOutcome::kServed;
  if (failed) {
    state_.Erred(server);
    end.may_retry = work.route->idempotent && !answer.stream;
  } else {
    state_.Succeeded(server);
  }
  end.answer = std::move(answer);
  return end;
}

}  // namespace sapphirebank
