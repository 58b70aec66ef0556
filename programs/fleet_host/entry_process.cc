#include "programs/fleet_host/entry_process.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "sapphirebank/fleet/drain_schedule.h"
#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

// Bytes of header fields that another entry host adds to a request.
constexpr std::size_t kMaxDetourFieldBytes = 4096;

// Connections of other entry hosts are closed by those, earlier than this.
constexpr Duration kDetourIdleTimeout = std::chrono::seconds(75);

constexpr Duration kIdleCheckPeriod = std::chrono::milliseconds(50);

HttpAnswer EmptyAnswer(int status) {
  HttpAnswer answer;
  answer.status = status;
  return answer;
}

}  // namespace

Result<std::unique_ptr<EntryProcess>> EntryProcess::Start(
    boost::asio::io_context& loop, const FleetSettings& settings,
    EntryCodec codec, PlanReader plan_reader,
    std::function<std::vector<Endpoint>()> seeds, LogWriter& log) {
  auto metrics = MetricsServer::Listen(loop, settings, log);
  if (!metrics) return tl::unexpected(metrics.error());
  auto path = ServerPathMonitor::Create(ServerPathSettings());
  if (!path) return tl::unexpected(path.error());
  std::unique_ptr<EntryProcess> process(new EntryProcess(
      loop, settings, std::move(codec), std::move(plan_reader),
      std::move(*path), std::move(seeds), log, std::move(*metrics)));
  if (auto opened = process->Listen(); !opened) {
    return tl::unexpected(opened.error());
  }
  process->link_.Start();
  return process;
}

EntryProcess::EntryProcess(boost::asio::io_context& loop,
                           const FleetSettings& settings, EntryCodec codec,
                           PlanReader plan_reader, ServerPathMonitor path,
                           std::function<std::vector<Endpoint>()> seeds,
                           LogWriter& log,
                           std::unique_ptr<MetricsServer> metrics)
    : loop_(loop),
      settings_(settings),
      log_(log),
      metrics_(std::move(metrics)),
      state_(loop, std::move(plan_reader), std::move(path),
             MakeViewLeaseSettings(settings.change_limits),
             settings.retry_slack, settings.zone, RandomSeed(),
             EntryState::Hooks{
                 [this] { ScheduleReport(); },
                 [this](std::uint64_t number, const DispatchQuery& query) {
                   return link_.RequestServer(number, query);
                 },
                 [this](std::uint64_t number, AssignmentOutcome outcome) {
                   link_.EndAssignment(number, outcome);
                 }}),
      requests_(
          loop, state_, std::move(codec),
          settings.FleetEndpoint(settings.callers),
          FleetSecret(settings.fleet_secret),
          EntryHostResources{settings.MaxAnswerBytes(), settings.LinkRate()},
          log, metrics_->metrics()),
      timer_(loop),
      link_(loop, settings,
            EntryLink::Hooks{
                [this](bool first) { return BuildReport(first); },
                [this](std::optional<Instant> asked_at,
                       const FleetUpdate& update) {
                  return ApplyUpdate(asked_at, update);
                },
                [this](std::uint64_t number, const DispatchChoice& choice) {
                  state_.OnServerAssigned(number, choice);
                },
                [this](Instant now) {
                  return state_.view().LeaderUpdateAge(now);
                },
                [this] { return state_.view().applied_changes(); },
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
  auto opened = HttpServer::Listen(loop_, callers, hooks);
  if (!opened) return tl::unexpected(opened.error());
  caller_server_.emplace(std::move(*opened));

  const Endpoint fleet = settings_.FleetEndpoint(settings_.callers);
  HttpServerSettings detours;
  detours.ip = fleet.ip;
  detours.port = fleet.port;
  detours.marks_refusals = true;
  hooks.handle = [this](HttpRequest request) {
    return requests_.HandleDetour(std::move(request));
  };
  auto detour_port = HttpServer::Listen(loop_, detours, std::move(hooks));
  if (!detour_port) return tl::unexpected(detour_port.error());
  detour_server_.emplace(std::move(*detour_port));

  HttpServerSettings readiness;
  readiness.ip = settings_.readiness.ip;
  readiness.port = settings_.readiness.port;
  HttpServer::Hooks readiness_hooks;
  readiness_hooks.accept_head =
      [](const HttpRequestHead&) -> Result<std::uint64_t> { return 0; };
  readiness_hooks.handle =
      [this](HttpRequest) -> boost::asio::awaitable<HttpAnswer> {
    constexpr int kReady = 200;
    constexpr int kNotReady = 503;
    co_return EmptyAnswer(IsReady() ? kReady : kNotReady);
  };
  auto ready = HttpServer::Listen(loop_, readiness, std::move(readiness_hooks));
  if (!ready) return tl::unexpected(ready.error());
  readiness_server_.emplace(std::move(*ready));
  return {};
}

bool EntryProcess::IsReady() const {
  return !draining_ && state_.view().plan() &&
         state_.view().IsCurrent(MonotonicNow());
}

EntryReport EntryProcess::BuildReport(bool first) {
  EntryReport report;
  if (IsReady()) {
    report.ready_hosts->push_back(
        {ToString(settings_.callers), settings_.zone, !state_.path().IsLost()});
  }
  state_.FillReport(MonotonicNow(), report, first);
  return report;
}

// Schedules one report for all changes in one iteration of the event loop.
void EntryProcess::ScheduleReport() {
  if (std::exchange(report_is_posted_, true)) return;
  boost::asio::post(loop_, [this] {
    report_is_posted_ = false;
    link_.ReportNow();
  });
}

Result<void> EntryProcess::ApplyUpdate(std::optional<Instant> asked_at,
                                       const FleetUpdate& update) {
  const bool was_ready = IsReady();
  const auto before = state_.view().plan();
  const std::uint64_t changes_before = state_.view().applied_changes();
  const Instant now = MonotonicNow();
  auto applied = state_.Apply(now, asked_at, update);
  if (!applied) {
    log_.Write(LogLevel::kWarning, "update_not_taken",
               {{"cause", applied.error().detail}});
  }
  const auto& plan = state_.view().plan();
  if (plan != before) {
    const CallerLimits& limits = plan->parts().limits;
    caller_server_->SetLimits(limits.max_head_bytes, limits.head_timeout,
                              limits.idle_timeout);
    detour_server_->SetLimits(limits.max_head_bytes + kMaxDetourFieldBytes,
                              limits.head_timeout, kDetourIdleTimeout);
    log_.Write(LogLevel::kInfo, "plan_in_force",
               {{"version", plan->version()}});
  }
  const std::uint64_t changes = state_.view().applied_changes();
  if (applied && changes != changes_before) {
    const Duration age = state_.view().LeaderUpdateAge(now);
    log_.Write(LogLevel::kInfo, "record_applied",
               {{"changes", changes},
                {"plan", plan ? plan->version() : 0},
                {"hub", link_.hub()},
                {"answers_report", asked_at.has_value()},
                {"age_ms", ToSeconds(age) * 1e3}});
  }
  if (IsReady() != was_ready) ScheduleReport();
  return applied;
}

void EntryProcess::Drain(std::function<void()> done) {
  if (std::exchange(draining_, true)) return;
  log_.Write(LogLevel::kInfo, "leaving",
             {{"in_work", caller_server_->active_requests()}});
  const Instant now = MonotonicNow();
  caller_server_->DisableKeepAlive();
  detour_server_->DisableKeepAlive();
  const DrainSchedule schedule = MakeDrainSchedule(settings_.grace);
  requests_.BeginDrain(now, schedule);
  link_.ReportNow();
  timer_.expires_after(schedule.accept_time);
  timer_.async_wait([this, now, schedule,
                     done = std::move(done)](boost::system::error_code error) {
    if (error) return;
    caller_server_->Drain();
    detour_server_->Drain();
    AwaitIdle(now, schedule, done);
  });
}

void EntryProcess::AwaitIdle(Instant signal, const DrainSchedule& schedule,
                             std::function<void()> done) {
  const std::size_t active =
      caller_server_->active_requests() + detour_server_->active_requests();
  const Duration elapsed = MonotonicNow() - signal;
  if (active == 0 || elapsed >= schedule.end_time) {
    log_.Write(LogLevel::kInfo, "drained", {{"in_work", active}});
    done();
    return;
  }
  if (elapsed >= schedule.answer_time) requests_.EndAttempts();
  timer_.expires_after(kIdleCheckPeriod);
  timer_.async_wait([this, signal, schedule,
                     done = std::move(done)](boost::system::error_code error) {
    if (!error) AwaitIdle(signal, schedule, done);
  });
}

}  // namespace sapphirebank
