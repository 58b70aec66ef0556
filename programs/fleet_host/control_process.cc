#include "programs/fleet_host/control_process.h"

#include <thread>
#include <utility>

#include "sapphirebank/consensus/posix_file_system.h"
#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

// Timers of a control host; wake-ups are paid for.
constexpr Duration kTickPeriod = std::chrono::milliseconds(50);

// How often a leader proves that it leads. It bounds how old a leader's word
// is, well below the time for which a key may outlive its withdrawal.
constexpr Duration kConfirmPeriod = std::chrono::milliseconds(150);

// Without proofs, a leader would still be heard this often.
constexpr Duration kHeartbeat = std::chrono::milliseconds(250);

// A leader that is lost is replaced within one to two of these and a vote.
constexpr Duration kElectionTimeout = std::chrono::milliseconds(800);

// The same right after a start, when links come up within a few tens of
// milliseconds.
constexpr Duration kFirstElectionTimeout = std::chrono::milliseconds(200);

// Least time between two pushes of news, so that many changes share one.
constexpr Duration kPushPeriod = std::chrono::milliseconds(40);

// How often followers are told which entry hosts are ready, at least.
constexpr Duration kPublishPeriod = std::chrono::milliseconds(500);

// A relay reports to the leader this often, and more often when something is
// needed.
constexpr Duration kReportUpPeriod = std::chrono::milliseconds(250);

// Reports whose answers are waited for; older ones were lost with a leader.
constexpr std::size_t kMostReportsUp = 64;

// The gauges of metrics are brought up to date this often: collectors ask every
// few seconds.
constexpr Duration kMetricsPeriod = std::chrono::seconds(2);

// A plan with thousands of routes takes a few megabytes.
constexpr std::uint64_t kMaxCallBytes = std::uint64_t{16} << 20U;

// Time for a handed-on leadership to be taken before the process ends.
constexpr Duration kHandOverTime = std::chrono::milliseconds(250);

HostId FleetHost(const FleetSettings& settings, const Endpoint& at) {
  return HostId(ToString(settings.FleetEndpoint(at)));
}

ControlHostSettings HostSettings(const FleetSettings& settings) {
  ControlHostSettings host;
  host.host = FleetHost(settings, settings.control);
  host.open_group = true;
  host.raft.heartbeat_interval = kHeartbeat;
  host.raft.election_timeout = kElectionTimeout;
  host.raft.first_election_timeout = kFirstElectionTimeout;
  host.hello_interval = std::chrono::milliseconds(300);
  host.stamp_interval = std::chrono::hours(1);
  for (const Endpoint& seed : settings.seeds) {
    host.control_hosts.push_back(FleetHost(settings, seed));
  }
  if (settings.found_group) host.founders = host.control_hosts;
  return host;
}

FleetHubSettings HubSettings(const FleetSettings& settings) {
  FleetHubSettings hub;
  hub.retry_slack = settings.retry_slack;
  return hub;
}

}  // namespace

Result<std::unique_ptr<ControlProcess>> ControlProcess::Start(
    caf::actor_system& system, boost::asio::io_context& loop,
    const FleetSettings& settings, ControlCodec dialect, PlanReader plan_reader,
    LogWriter& log) {
  auto files = PosixFileSystem::Open(settings.data_folder);
  if (!files) return tl::unexpected(files.error());
  auto host = ControlHost::Create(HostSettings(settings), **files,
                                  MonotonicNow(), RandomSeed());
  if (!host) return tl::unexpected(host.error());
  auto metrics = MetricsServer::Listen(loop, settings, log);
  if (!metrics) return tl::unexpected(metrics.error());
  std::unique_ptr<ControlProcess> process(new ControlProcess(
      system, loop, settings, std::move(dialect), std::move(plan_reader),
      std::move(*files), std::move(*host), log, std::move(*metrics)));
  if (auto opened = process->Listen(); !opened) {
    return tl::unexpected(opened.error());
  }
  process->thread_.Post([raw = process.get()] {
    raw->FollowRecord(raw->Now());
    raw->Flush();
  });
  process->thread_.StartTicks(kTickPeriod,
                              [raw = process.get()] { raw->Tick(); });
  return process;
}

ControlProcess::ControlProcess(caf::actor_system& system,
                               boost::asio::io_context& loop,
                               const FleetSettings& settings,
                               ControlCodec dialect, PlanReader plan_reader,
                               std::unique_ptr<FileSystem> files,
                               ControlHost host, LogWriter& log,
                               std::unique_ptr<MetricsServer> metrics)
    : settings_(settings),
      self_(FleetHost(settings, settings.control)),
      dialect_(std::move(dialect)),
      plan_reader_(std::move(plan_reader)),
      log_(log),
      metrics_(std::move(metrics)),
      loop_(loop),
      files_(std::move(files)),
      host_(std::move(host)),
      hub_(HubSettings(settings), RandomSeed(),
           HubHost{self_.value(), settings.zone}, Random(RandomSeed())),
      published_(std::make_shared<const std::vector<ReadyHost>>()),
      random_(RandomSeed()),
      thread_(system),
      links_(self_, FleetSecret(settings.fleet_secret), LinkHooks()) {}

ControlProcess::~ControlProcess() {
  thread_.Post([this] {
    host_.TransferLeadership(Now());
    Flush();
  });
  std::this_thread::sleep_for(kHandOverTime);
  thread_.Stop();
}

Result<void> ControlProcess::Listen() {
  try {
    links_.Listen(settings_.FleetEndpoint(settings_.control));
  } catch (const std::runtime_error& e) {
    return Fail(ErrorKind::kInvalidSettings, e.what());
  }
  const auto open = [&](const Endpoint& at, std::optional<HttpServer>& out) {
    HttpServerSettings server;
    server.ip = at.ip;
    server.port = at.port;
    HttpServer::Hooks hooks;
    hooks.accept_head = [](const HttpRequestHead&) -> Result<std::uint64_t> {
      return kMaxCallBytes;
    };
    hooks.handle = [this](HttpRequest request) {
      return Serve(std::move(request));
    };
    auto opened = HttpServer::Listen(loop_, server, std::move(hooks));
    if (!opened) return Result<void>(tl::unexpected(opened.error()));
    out.emplace(std::move(*opened));
    return Result<void>();
  };
  return open(settings_.control, control_server_).and_then([&] {
    return open(settings_.directory, directory_server_);
  });
}

Instant ControlProcess::Now() const { return MonotonicNow(); }

void ControlProcess::Tick() {
  const Instant now = Now();
  host_.Tick(now, WallNow());
  hub_.Tick(now);
  ConnectToOthers(now);
  UpdateMetrics(now);
  Flush();
}

void ControlProcess::FlushSoon() {
  if (flush_is_posted_) return;
  flush_is_posted_ = true;
  thread_.Post([this] { Flush(); });
}

void ControlProcess::Flush() {
  flush_is_posted_ = false;
  const Instant now = Now();
  FollowLeadership(now);
  if (leads_) ConfirmLeadership(now);
  Send(host_.TakeEarlyMessages(now));
  ControlEffects effects = host_.Flush(now);
  Send(effects.messages);
  if (effects.failure) {
    log_.Write(LogLevel::kError, "data_folder_failed",
               {{"cause", effects.failure->detail}});
  }
  if (effects.fleet_changed) FollowRecord(now);
  for (Completion& completion : effects.completions) {
    const auto callback = completions_.extract(completion.token);
    if (!callback.empty()) callback.mapped()(std::move(completion));
  }
  Advance(now);
  if (!leads_) ReportUp(now);
  PushNews(now);
  PublishReady(now);
  LogJudgements();
}

void ControlProcess::LogJudgements() {
  for (const ServerHealthChange& change : hub_.TakeHealthChanges()) {
    log_.Write(LogLevel::kInfo, "server_judged",
               {{"server", change.server.value()},
                {"standing", ToString(change.health)},
                {"successes", change.successes},
                {"failures", change.failures}});
    if (change.health == ServerHealth::kDown) {
      metrics_->metrics().CountEjection(change.service);
    }
  }
}

void ControlProcess::UpdateMetrics(Instant now) {
  if (now < next_metrics_) return;
  next_metrics_ = now + kMetricsPeriod;
  FleetMetrics& metrics = metrics_->metrics();
  if (plan_) metrics.SetConfigurationRevision(plan_->version());
  metrics.SetFreshnessAge(Age(now));
  struct Counts {
    std::size_t in_use = 0;
    std::size_t ejected = 0;
  };
  std::map<ServiceId, Counts> counts;
  for (const auto& [id, entry] : hub_.registry().entries()) {
    if (entry.state.retired) continue;
    Counts& of_service = counts[entry.state.announcement.service];
    const bool is_down = entry.state.health == ServerHealth::kDown;
    ++(is_down ? of_service.ejected : of_service.in_use);
  }
  for (const auto& [service, of_service] : counts) {
    metrics.SetBackendServers(service, of_service.in_use, of_service.ejected);
  }
}

void ControlProcess::FollowRecord(Instant now) {
  const FleetRecord& record = host_.state().fleet();
  const PlanVersion held = plan_ ? plan_->version() : 0;
  if (record.version() > held) {
    auto plan = plan_reader_(record.document());
    if (plan) {
      plan_ = std::move(*plan);
      log_.Write(LogLevel::kInfo, "plan_in_force",
                 {{"version", plan_->version()}});
    } else {
      log_.Write(
          LogLevel::kError, "plan_unreadable",
          {{"version", record.version()}, {"cause", plan.error().detail}});
    }
  }
  hub_.ApplyRecord(now, record, plan_);
  if (word_ && record.changes() >= word_->record) {
    confirmed_at_ = std::max(confirmed_at_, word_->as_of);
    word_.reset();
  }
}

void ControlProcess::FollowLeadership(Instant now) {
  const bool leads = host_.IsLeader();
  const auto leader = host_.leader();
  if (leader != known_leader_) {
    known_leader_ = leader;
    first_report_up_ = true;
    log_.Write(LogLevel::kInfo, "leader_known",
               {{"leader", leader ? leader->value() : ""},
                {"term", host_.raft().term()}});
    TellHubs();
  }
  if (leads == leads_) return;
  leads_ = leads;
  if (!leads) {
    hub_.BecomeRelay();
    first_report_up_ = true;
    return;
  }
  hub_.BecomeLeader(now);
  hub_.InheritReadyHosts(now, ready_);
  confirming_ = false;
  next_confirm_ = now;
}

// Asks for proof that this host still leads. What was accepted before the
// question is in the record when the answer comes.
void ControlProcess::ConfirmLeadership(Instant now) {
  if (confirming_ || now < next_confirm_) return;
  next_confirm_ = now + kConfirmPeriod;
  confirming_ = true;
  const Token token = next_token_++;
  completions_[token] = [this, now](const Completion& completion) {
    confirming_ = false;
    if (completion.result) confirmed_at_ = std::max(confirmed_at_, now);
  };
  host_.Read(now, token);
}

Duration ControlProcess::Age(Instant now) const {
  constexpr Duration kUnknown = std::chrono::hours(1);
  return std::min(kUnknown, now - confirmed_at_);
}

void ControlProcess::SendUpdate(LinkId link, FleetUpdate update, Instant now) {
  update.quorum_age = Age(now);
  links_.Send(link, {{"t", "update"}, {"u", update}});
}

// Tells entry hosts, and relays while this host leads, what they do not know.
void ControlProcess::PushNews(Instant now) {
  const FleetRecord& record = host_.state().fleet();
  const bool is_due = now >= next_push_;
  bool pushed = false;
  for (const auto& [link, peer] : peers_) {
    if (peer.is_control && !leads_) continue;
    if (!hub_.HasPendingGrants(peer.host) &&
        !(is_due && hub_.HasPendingUpdate(peer.host))) {
      continue;
    }
    SendUpdate(link, hub_.BuildUpdate(now, peer.host, record), now);
    pushed = true;
  }
  if (is_due && pushed) next_push_ = now + kPushPeriod;
}

// Tells the leader the sums of what the entry hosts reported here.
void ControlProcess::ReportUp(Instant now) {
  const auto link = known_leader_ ? LinkTo(*known_leader_) : std::nullopt;
  if (!link) return;
  if (!hub_.MustReportToLeader() && now - last_report_up_ < kReportUpPeriod)
    return;
  last_report_up_ = now;
  EntryReport report =
      hub_.BuildLeaderReport(now, std::exchange(first_report_up_, false));
  report.number = next_report_up_++;
  reports_up_[report.number] = now;
  if (reports_up_.size() > kMostReportsUp) {
    reports_up_.erase(reports_up_.begin());
  }
  links_.Send(*link, {{"t", "report"}, {"r", report}});
}

void ControlProcess::PublishReady(Instant now) {
  if (leads_) {
    std::vector<ReadyHost> ready = hub_.ReadyHosts(now);
    if (ready == ready_ && now < next_publish_) return;
    next_publish_ = now + kPublishPeriod;
    ready_ = std::move(ready);
    SendToControl({{"t", "ready"}, {"list", ready_}});
  }
  if (*std::atomic_load(&published_) == ready_) return;
  std::atomic_store(&published_,
                    std::make_shared<const std::vector<ReadyHost>>(ready_));
}

}  // namespace sapphirebank
