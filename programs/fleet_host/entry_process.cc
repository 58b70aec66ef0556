#include "programs/fleet_host/entry_process.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

// Part of the bound on withdrawn keys for which the leader's word is good; the
// rest is for a request on its way to a backend server.
constexpr double kPartOfKeyWithdrawal = 0.85;

// Part of the grace time in which callers that still come are served: they
// keep addresses for some seconds.
constexpr double kServeOnPart = 0.6;

// Part of the grace time after which the process ends in any case.
constexpr double kEndPart = 0.88;

constexpr Duration kIdleCheckPeriod = std::chrono::milliseconds(50);

Duration Part(Duration whole, double part) {
  return FromSeconds(ToSeconds(whole) * part);
}

HttpAnswer PlainAnswer(int status) {
  HttpAnswer answer;
  answer.status = status;
  return answer;
}

}  // namespace

Result<std::unique_ptr<EntryProcess>> EntryProcess::Start(
    boost::asio::io_context& loop, const FleetSettings& settings,
    EntryDialect dialect, PlanReader plan_reader,
    std::function<std::vector<Endpoint>()> seeds, LogWriter& log) {
  auto metrics = MetricsServer::Listen(loop, settings, log);
  if (!metrics) return tl::unexpected(metrics.error());
  std::unique_ptr<EntryProcess> process(new EntryProcess(
      loop, settings, std::move(dialect), std::move(plan_reader),
      std::move(seeds), log, std::move(*metrics)));
  if (auto opened = process->Listen(); !opened) {
    return tl::unexpected(opened.error());
  }
  process->link_.Start();
  return process;
}

EntryProcess::EntryProcess(boost::asio::io_context& loop,
                           const FleetSettings& settings, EntryDialect dialect,
                           PlanReader plan_reader,
                           std::function<std::vector<Endpoint>()> seeds,
                           LogWriter& log,
                           std::unique_ptr<MetricsServer> metrics)
    : loop_(loop),
      settings_(settings),
      log_(log),
      metrics_(std::move(metrics)),
      state_(loop, std::move(plan_reader),
             Part(settings.key_withdrawal, kPartOfKeyWithdrawal),
             settings.retry_slack, settings.zone, RandomSeed(),
             EntryState::Hooks{
                 [this] { ReportSoon(); },
                 [this](std::uint64_t number, const DispatchQuery& query) {
                   return link_.Ask(number, query);
                 },
                 [this](std::uint64_t number, AssignmentOutcome end) {
                   link_.End(number, end);
                 }}),
      requests_(loop, state_, std::move(dialect), log, metrics_->metrics()),
      timer_(loop),
      link_(loop, settings,
            EntryLink::Hooks{
                [this](bool first) { return Report(first); },
                [this](std::optional<Instant> asked_at,
                       const FleetUpdate& update) {
                  return TakeUpdate(asked_at, update);
                },
                [this](std::uint64_t number, const DispatchChoice& choice) {
                  state_.TakeChoice(number, choice);
                },
                [this]() -> const std::vector<HubHost>& {
                  return state_.view().hubs();
                },
                std::move(seeds)},
            log) {
  metrics_->set_refresh([this] { RefreshMetrics(); });
}

void EntryProcess::RefreshMetrics() {
  const EntryView& view = state_.view();
  FleetMetrics& metrics = metrics_->metrics();
  if (view.plan()) metrics.SetConfigurationRevision(view.plan()->version());
  metrics.SetFreshnessAge(view.LeaderUpdateAge(MonotonicNow()));
}

Result<void> EntryProcess::Listen() {
  HttpServerSettings callers;
  callers.ip = settings_.callers.ip;
  callers.port = settings_.callers.port;
  HttpServer::Hooks hooks;
  hooks.accept_head = [this](const HttpRequestHead& head) {
    return requests_.AcceptHead(head);
  };
  hooks.handle = [this](HttpRequest request) {
    return requests_.Handle(std::move(request));
  };
  auto opened = HttpServer::Listen(loop_, callers, std::move(hooks));
  if (!opened) return tl::unexpected(opened.error());
  callers_.emplace(std::move(*opened));

  HttpServerSettings readiness;
  readiness.ip = settings_.readiness.ip;
  readiness.port = settings_.readiness.port;
  HttpServer::Hooks check;
  check.accept_head = [](const HttpRequestHead&) -> Result<std::uint64_t> {
    return 0;
  };
  check.handle = [this](HttpRequest) -> boost::asio::awaitable<HttpAnswer> {
    constexpr int kReady = 200;
    constexpr int kNotReady = 503;
    co_return PlainAnswer(IsReady() ? kReady : kNotReady);
  };
  auto ready = HttpServer::Listen(loop_, readiness, std::move(check));
  if (!ready) return tl::unexpected(ready.error());
  readiness_.emplace(std::move(*ready));
  return {};
}

bool EntryProcess::IsReady() const {
  return !leaving_ && state_.view().plan() &&
         state_.view().IsCurrent(MonotonicNow());
}

EntryReport EntryProcess::Report(bool first) {
  EntryReport report;
  if (IsReady()) {
    report.ready_hosts.push_back({ToString(settings_.callers), settings_.zone});
  }
  state_.Fill(report, first);
  return report;
}

// One report for all that one turn of the loop brings.
void EntryProcess::ReportSoon() {
  if (std::exchange(report_is_posted_, true)) return;
  boost::asio::post(loop_, [this] {
    report_is_posted_ = false;
    link_.ReportNow();
  });
}

Result<void> EntryProcess::TakeUpdate(std::optional<Instant> asked_at,
                                      const FleetUpdate& update) {
  const bool was_ready = IsReady();
  const auto before = state_.view().plan();
  auto applied = state_.Apply(MonotonicNow(), asked_at, update);
  if (!applied) {
    log_.Write(LogLevel::kWarning, "update_not_taken",
               {{"cause", applied.error().detail}});
  }
  const auto& plan = state_.view().plan();
  if (plan != before) {
    const CallerLimits& limits = plan->parts().limits;
    callers_->SetLimits(limits.max_head_bytes, limits.head_timeout,
                        limits.idle_timeout);
    log_.Write(LogLevel::kInfo, "plan_in_force",
               {{"version", plan->version()}});
  }
  if (IsReady() != was_ready) ReportSoon();
  return applied;
}

void EntryProcess::Drain(std::function<void()> done) {
  if (std::exchange(leaving_, true)) return;
  log_.Write(LogLevel::kInfo, "leaving",
             {{"in_work", callers_->requests_in_work()}});
  const Instant now = MonotonicNow();
  callers_->AnnounceEnd();
  requests_.Leave();
  link_.ReportNow();
  timer_.expires_after(Part(settings_.grace, kServeOnPart));
  const Instant end = now + Part(settings_.grace, kEndPart);
  timer_.async_wait(
      [this, end, done = std::move(done)](boost::system::error_code error) {
        if (error) return;
        callers_->Drain();
        AwaitIdle(end, done);
      });
}

void EntryProcess::AwaitIdle(Instant until, std::function<void()> done) {
  if (callers_->requests_in_work() == 0 || MonotonicNow() >= until) {
    done();
    return;
  }
  timer_.expires_after(kIdleCheckPeriod);
  timer_.async_wait(
      [this, until, done = std::move(done)](boost::system::error_code error) {
        if (!error) AwaitIdle(until, done);
      });
}

}  // namespace sapphirebank
