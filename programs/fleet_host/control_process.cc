#include "programs/fleet_host/control_process.h"

#include <thread>
#include <utility>

#include "sapphirebank/consensus/posix_file_system.h"
#include "sapphirebank/fleet/control_timing.h"
#include "sapphirebank/fleet/detour_hosts.h"
#include "sapphirebank/telemetry/process_memory.h"
#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

// Period of leadership confirmations by a quorum, at least, and for each
// control host: a confirmation costs the leader two messages with each of them.
// The period bounds the leader update age, which is well below the time for
// which a withdrawn key may remain usable.
constexpr Duration kMinConfirmPeriod = std::chrono::milliseconds(150);
constexpr Duration kConfirmPeriodPerHost = std::chrono::milliseconds(16);

// Minimum time between two pushed updates, so that changes are batched.
constexpr Duration kPushPeriod = std::chrono::milliseconds(40);

// Period with which the leader collects which entry hosts are ready, and the
// maximum time between two messages on that to followers.
constexpr Duration kReadyCheckPeriod = std::chrono::milliseconds(100);
constexpr Duration kPublishPeriod = std::chrono::milliseconds(2000);

// Maximum number of unanswered reports that are tracked; older ones were lost
// when the leader changed.
constexpr std::size_t kMaxUnansweredReports = 64;

// Update period of gauge metrics: collectors scrape every few seconds.
constexpr Duration kMetricsPeriod = std::chrono::seconds(2);

// Refusals for lack of room are many at once, so they are summed up.
constexpr Duration kAdmissionLogPeriod = std::chrono::seconds(1);

// Minimum time between two log lines about hosts that lack changes.
constexpr Duration kBehindLogPeriod = std::chrono::milliseconds(250);

// A period of the decision thread that is late by more than this is logged.
constexpr Duration kLateTick = std::chrono::milliseconds(150);

// Time for another host to take over the leadership before the process ends.
constexpr Duration kLeadershipTransferTime = std::chrono::milliseconds(250);

HostId FleetHost(const FleetSettings& settings, const Endpoint& at) {
  return HostId(ToString(settings.FleetEndpoint(at)));
}

ControlHostSettings HostSettings(const FleetSettings& settings) {
  ControlHostSettings host;
  host.host = FleetHost(settings, settings.control);
  host.dynamic_membership = true;
  host.raft.heartbeat_interval = kControlHeartbeat;
  host.raft.election_timeout = kControlElectionTimeout;
  host.raft.first_election_timeout = kFirstElectionTimeout;
  host.hello_interval = std::chrono::milliseconds(300);
  host.stamp_interval = std::chrono::hours(1);
  host.retention.trailing_bytes = settings.MaxTrailingLogBytes();
  for (const Endpoint& seed : settings.seeds) {
    host.control_hosts.push_back(FleetHost(settings, seed));
  }
  if (settings.found_group) host.founders = host.control_hosts;
  return host;
}

FleetHubSettings HubSettings(const FleetSettings& settings) {
  FleetHubSettings hub;
  hub.retry_slack = settings.retry_slack;
  // The rest of the limits is for requests that are assigned twice and for
  // those in flight when a version is rolled back.
  constexpr double kShareFraction = 0.8;
  constexpr double kStartFraction = 0.4;
  hub.rollout_share = kShareFraction * settings.rollout_share;
  hub.rollout_start = kStartFraction * settings.rollout_slack;
  hub.dispatcher.place_by_work = settings.place_by_work;
  return hub;
}

RolloutControllerSettings RolloutSettings(const FleetSettings& settings) {
  RolloutControllerSettings rollouts;
  rollouts.change_bound =
      UngatedLease(MakeViewLeaseSettings(settings.change_limits));
  // An operator repeats an order for as long as its acknowledgement may take.
  constexpr int kRepeatFactor = 2;
  rollouts.repeat_window =
      kRepeatFactor * settings.change_limits.acknowledgement;
  return rollouts;
}

}  // namespace

Result<std::unique_ptr<ControlProcess>> ControlProcess::Start(
    caf::actor_system& system, boost::asio::io_context& loop,
    const FleetSettings& settings, ControlCodec codec, PlanReader plan_reader,
    LogWriter& log) {
  auto files = PosixFileSystem::Open(settings.data_folder);
  if (!files) return tl::unexpected(files.error());
  auto host = ControlHost::Create(HostSettings(settings), **files,
                                  MonotonicNow(), RandomSeed());
  if (!host) return tl::unexpected(host.error());
  auto metrics = MetricsServer::Listen(loop, settings, log);
  if (!metrics) return tl::unexpected(metrics.error());
  std::unique_ptr<ControlProcess> process(new ControlProcess(
      system, loop, settings, std::move(codec), std::move(plan_reader),
      std::move(*files), std::move(*host), log, std::move(*metrics)));
  if (auto opened = process->Listen(); !opened) {
    return tl::unexpected(opened.error());
  }
  process->thread_.Post([raw = process.get()] {
    raw->ApplyRecord(raw->Now());
    raw->Flush();
  });
  process->thread_.StartTicks(kControlTick,
                              [raw = process.get()] { raw->Tick(); });
  return process;
}

ControlProcess::ControlProcess(caf::actor_system& system,
                               boost::asio::io_context& loop,
                               const FleetSettings& settings,
                               ControlCodec codec, PlanReader plan_reader,
                               std::unique_ptr<FileSystem> files,
                               ControlHost host, LogWriter& log,
                               std::unique_ptr<MetricsServer> metrics)
    : settings_(settings),
      self_(FleetHost(settings, settings.control)),
      codec_(std::move(codec)),
      plan_reader_(std::move(plan_reader)),
      log_(log),
      metrics_(std::move(metrics)),
      loop_(loop),
      files_(std::move(files)),
      host_(std::move(host)),
      hub_(HubSettings(settings), RandomSeed(),
           HubHost{self_.value(), settings.zone}, Random(RandomSeed())),
      gate_(MakeViewLeaseSettings(settings.change_limits), MonotonicNow()),
      rollouts_(RolloutSettings(settings)),
      started_at_(MonotonicNow()),
      published_addresses_(std::make_shared<const AddressesByZone>()),
      random_(RandomSeed()),
      thread_(system),
      links_(self_, FleetSecret(settings.fleet_secret), LinkHooks()) {
  if (!log_.Enabled(LogLevel::kDebug)) return;
  hub_.set_placement_observer(
      [this](const DispatchQuery& query, const Placement& placement) {
        LogPlacement(query, placement);
      });
}

ControlProcess::~ControlProcess() {
  thread_.Post([this] {
    host_.TransferLeadership(Now());
    Flush();
  });
  std::this_thread::sleep_for(kLeadershipTransferTime);
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
    server.tracks_arrival = true;
    server.max_held_bytes = settings_.MaxPendingPlanBytes();
    // Operators send a plan as a whole before they read the answer.
    constexpr std::size_t kLingerPlans = 4;
    server.max_linger_bytes = kLingerPlans * settings_.MaxPlanBytes();
    HttpServer::Hooks hooks;
    hooks.accept_head = [this](const HttpRequestHead& head) {
      return AcceptCallHead(head);
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
  if (last_tick_at_ && now - *last_tick_at_ > kControlTick + kLateTick) {
    const Duration late = now - *last_tick_at_ - kControlTick;
    log_.Write(LogLevel::kInfo, "decisions_late",
               {{"ms", ToSeconds(late) * 1e3}, {"is_leader", is_leader_}});
  }
  last_tick_at_ = now;
  suspension_.RecordTick(now);
  const WallTime wall = WallNow();
  latest_start_.Read(now, wall);
  host_.Tick(now, wall);
  hub_.Tick(now);
  ConnectToOthers(now);
  has_newest_update_ = HasNewestUpdate(now);
  UpdateMetrics(now);
  Flush();
}

void ControlProcess::FlushSoon(bool is_urgent) {
  bool& is_posted = is_urgent ? urgent_flush_is_posted_ : flush_is_posted_;
  if (std::exchange(is_posted, true)) return;
  if (is_urgent) {
    thread_.PostUrgent([this] {
      urgent_flush_is_posted_ = false;
      Flush();
    });
    return;
  }
  thread_.Post([this] {
    flush_is_posted_ = false;
    Flush();
  });
}

void ControlProcess::Flush() {
  const Instant now = Now();
  UpdateLeadership(now);
  UpdateMembership(now);
  if (is_leader_) {
    ConfirmLeadership(now);
    DecideRollouts(now);
  }
  Send(host_.TakeEarlyMessages(now));
  ControlEffects effects = host_.Flush(now);
  Send(effects.messages);
  if (effects.failure) {
    log_.Write(LogLevel::kError, "data_folder_failed",
               {{"cause", effects.failure->detail}});
  }
  if (effects.recovered) {
    log_.Write(LogLevel::kInfo, "data_folder_recovered",
               {{"term", host_.raft().term()},
                {"last_index", host_.raft().log().last().index}});
  }
  if (effects.compaction) LogCompactionOf(*effects.compaction);
  if (effects.fleet_changed) ApplyRecord(now);
  for (Completion& completion : effects.completions) {
    const auto callback = completions_.extract(completion.token);
    if (!callback.empty()) callback.mapped()(std::move(completion));
  }
  ReleaseAcknowledgements(now);
  ProcessPendingCalls(now);
  if (!is_leader_) {
    ReportToLeader(now);
    ConfirmToLeader(now);
  }
  PushUpdates(now);
  PublishReady(now);
  LogHealthChanges();
  LogShareChanges();
  LogAdmission(Now());
}

void ControlProcess::LogCompactionOf(const LogCompaction& compaction) {
  log_.Write(LogLevel::kInfo, "log_compacted",
             {{"entries_before", compaction.entries_before},
              {"bytes_before", compaction.bytes_before},
              {"entries_after", compaction.entries_after},
              {"bytes_after", compaction.bytes_after},
              {"snapshot_bytes", compaction.snapshot_bytes}});
}

void ControlProcess::LogHealthChanges() {
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

void ControlProcess::LogShareChanges() {
  for (const RolloutShareChange& change : hub_.TakeShareChanges()) {
    log_.Write(
        LogLevel::kInfo, "rollout_share",
        {{"service", change.service.value()},
         {"order", change.order},
         {"grants", change.is_granting},
         {"reason", change.is_granting
                        ? "the leader has confirmed this hub"
                        : "the confirmation of this hub is too old"},
         {"confirmation_age_ms", ToSeconds(change.confirmation_age) * 1e3}});
  }
}

// Logs the refusals for lack of room, summed up by rank and reason.
void ControlProcess::LogAdmission(Instant now) {
  if (now < next_admission_log_) return;
  next_admission_log_ = now + kAdmissionLogPeriod;
  const auto milliseconds = [](Duration time) { return ToSeconds(time) * 1e3; };
  for (const AdmissionTally& tally : hub_.TakeAdmissionTallies()) {
    metrics_->metrics().CountAdmissionRefusals(
        tally.service, tally.rank.workspace, tally.rank.route,
        ToString(tally.reason), tally.requests);
    log_.Write(LogLevel::kInfo, "requests_refused",
               {{"service", tally.service.value()},
                {"workspace_rank", tally.rank.workspace},
                {"route_rank", tally.rank.route},
                {"reason", ToString(tally.reason)},
                {"requests", tally.requests},
                {"held", tally.held},
                {"waiting", tally.waiting},
                {"slots", tally.forecast.slots},
                {"busy", tally.forecast.busy},
                {"wait_ms", milliseconds(tally.forecast.shortest_wait)},
                {"max_wait_ms", milliseconds(tally.max_wait)},
                {"work_ms", milliseconds(tally.forecast.work)},
                {"forecast_age_ms", milliseconds(tally.forecast_age)},
                {"time_left_ms", milliseconds(tally.time_left)},
                {"return_after_ms", milliseconds(tally.return_after)}});
  }
}

void ControlProcess::UpdateMetrics(Instant now) {
  if (now < next_metrics_) return;
  next_metrics_ = now + kMetricsPeriod;
  FleetMetrics& metrics = metrics_->metrics();
  if (plan_) metrics.SetConfigurationRevision(plan_->version());
  metrics.SetFreshnessAge(StateAge(now));
  UpdateRolloutMetrics();
  struct Counts {
    std::size_t in_use = 0;
    std::size_t ejected = 0;
  };
  std::map<ServiceId, Counts> counts;
  for (const auto& [id, entry] : hub_.registry().entries()) {
    if (entry.state.retired) continue;
    Counts& service_counts = counts[entry.state.announcement.service];
    const bool is_down = entry.state.health == ServerHealth::kDown;
    ++(is_down ? service_counts.ejected : service_counts.in_use);
  }
  for (const auto& [service, service_counts] : counts) {
    metrics.SetBackendServers(service, service_counts.in_use,
                              service_counts.ejected);
  }
  UpdateWorkMetrics(now);
  UpdateMemoryMetrics();
}

void ControlProcess::UpdateMemoryMetrics() {
  ControlMemory memory;
  memory.log = host_.raft().log().bytes();
  if (const auto& data = host_.raft().snapshot().data) {
    memory.snapshot = data->size();
  }
  memory.plan = host_.state().fleet().document().size();
  memory.plan_history = hub_.plan_history_bytes();
  for (const auto& [number, call] : pending_) {
    const auto* plan =
        call.command ? std::get_if<StorePlan>(&*call.command) : nullptr;
    if (plan != nullptr) memory.pending_calls += plan->document.size();
  }
  metrics_->metrics().SetControlMemory(memory);
  if (const auto process = ReadProcessMemory()) {
    metrics_->metrics().SetProcessMemory(process->resident, process->anonymous);
  }
}

void ControlProcess::UpdateWorkMetrics(Instant now) {
  FleetMetrics& metrics = metrics_->metrics();
  for (const auto& [service, work] : hub_.dispatcher().Work(now)) {
    metrics.SetServiceWork(service, work.mean, work.left_seconds,
                           work.slow_servers);
  }
  const PlacementCounts& counts = hub_.dispatcher().placement_counts();
  for (std::size_t i = 0; i < counts.size(); ++i) {
    metrics.CountPlacements(ToString(static_cast<PlacementRule>(i)),
                            counts[i] - placement_counts_[i]);
  }
  placement_counts_ = counts;
}

void ControlProcess::LogPlacement(const DispatchQuery& query,
                                  const Placement& placement) {
  log_.Write(LogLevel::kDebug, "request_placed",
             {{"service", query.service.value()},
              {"route", query.route},
              {"body_bytes", query.body_bytes},
              {"server", placement.server.value()},
              {"rule", ToString(placement.rule)},
              {"work_ms", placement.work.mean_seconds * 1e3},
              {"work_confidence", placement.work.confidence},
              {"wait_ms", placement.status.wait_seconds * 1e3},
              {"slowness", placement.status.slowness},
              {"rejected", placement.status.rejected},
              {"in_flight", placement.in_flight}});
}

void ControlProcess::ApplyRecord(Instant now) {
  const FleetRecord& record = host_.state().fleet();
  const PlanVersion applied_version = plan_ ? plan_->version() : 0;
  if (record.version() > applied_version) {
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
  log_.Write(LogLevel::kInfo, "record_applied",
             {{"changes", record.changes()},
              {"plan", record.version()},
              {"is_leader", is_leader_}});
  if (is_leader_) gate_.RecordCommit(now, record.changes());
  hub_.ApplyRecord(now, record, plan_);
  ApplyRollouts(now);
  if (pending_confirmation_ &&
      record.changes() >= pending_confirmation_->record) {
    confirmed_as_of_ = std::max(confirmed_as_of_, pending_confirmation_->as_of);
    pending_confirmation_.reset();
  }
}

void ControlProcess::UpdateLeadership(Instant now) {
  const bool leads = host_.IsLeader();
  const auto leader = host_.leader();
  if (leader != known_leader_) {
    known_leader_ = leader;
    leader_changed_at_ = now;
    is_first_report_ = true;
    leader_gates_changes_ = false;
    log_.Write(LogLevel::kInfo, "leader_known",
               {{"leader", leader ? leader->value() : ""},
                {"term", host_.raft().term()}});
    UpdateHubList();
  }
  if (leads == is_leader_) return;
  is_leader_ = leads;
  zone_orders_.Clear();
  if (!leads) {
    hub_.BecomeRelay();
    gate_.EndLeadership(ControlPeers());
    is_first_report_ = true;
    return;
  }
  hub_.BecomeLeader(now);
  rollouts_.BecomeLeader(now);
  const Instant former_rounds_end = host_.raft().former_rounds_end();
  gate_.BecomeLeader(now, host_.state().fleet().changes(), former_rounds_end);
  log_.Write(LogLevel::kInfo, "leadership_begun",
             {{"term", host_.raft().term()},
              {"former_silence_ms", ToSeconds(now - former_rounds_end) * 1e3}});
  hub_.InheritReadyHosts(now, ready_hosts_);
  is_confirming_ = false;
  next_confirm_ = now;
}

// Starts a linearizable read to confirm that this host still leads. When it
// completes, the record contains everything accepted before it started.
void ControlProcess::ConfirmLeadership(Instant now) {
  if (is_confirming_ || now < next_confirm_) return;
  const std::size_t members = host_.raft().membership().members().size();
  next_confirm_ = now + std::max<Duration>(kMinConfirmPeriod,
                                           kConfirmPeriodPerHost * members);
  is_confirming_ = true;
  const RequestToken token = next_token_++;
  completions_[token] = [this, now](const Completion& completion) {
    is_confirming_ = false;
    if (completion.result) confirmed_as_of_ = std::max(confirmed_as_of_, now);
  };
  host_.Read(now, token);
}

Duration ControlProcess::StateAge(Instant now) const {
  constexpr Duration kUnknownAge = std::chrono::hours(1);
  return std::min(kUnknownAge, now - confirmed_as_of_);
}

void ControlProcess::SendUpdate(LinkId link, FleetUpdate update, Instant now) {
  update.quorum_age = StateAge(now);
  update.is_electing = IsElectingLeader(now);
  update.has_newest_update = has_newest_update_;
  update.gates_changes =
      is_leader_ ? AllHubsGateChanges() : leader_gates_changes_;
  links_.Send(link, {{"t", "update"}, {"u", update}});
}

// Sends pending updates to entry hosts and, while this host leads, to relays.
void ControlProcess::PushUpdates(Instant now) {
  const FleetRecord& record = host_.state().fleet();
  const bool is_due = now >= next_push_;
  if (!hub_.TakePendingGrantsFlag() && !is_due) return;
  bool pushed = false;
  for (const auto& [link, peer] : peers_) {
    if (peer.is_control && !is_leader_) continue;
    if (!hub_.HasPendingGrants(peer.host) &&
        !(is_due && hub_.HasPendingUpdate(now, peer.host))) {
      continue;
    }
    SendUpdate(link, hub_.BuildUpdate(now, peer.host, record), now);
    pushed = true;
  }
  if (is_due && pushed) next_push_ = now + kPushPeriod;
}

// Logs which host this relay's confirmation to the leader waits for.
void ControlProcess::LogHostsBehind(Instant now) {
  const std::uint64_t changes = host_.state().fleet().changes();
  if (reported_applied_ >= changes || now < next_behind_log_at_) return;
  const auto behind =
      gate_.HoldersBehind(now, changes, UngatedLease(gate_.settings()));
  if (behind.empty()) return;
  next_behind_log_at_ = now + kBehindLogPeriod;
  log_.Write(LogLevel::kInfo, "hosts_behind",
             {{"changes", changes},
              {"applied_by_all", reported_applied_},
              {"behind", behind.size()},
              {"first_behind", behind.front().value()}});
}

// Sends the leader the aggregated reports of this relay's entry hosts.
void ControlProcess::ReportToLeader(Instant now) {
  const auto link = known_leader_ ? LinkTo(*known_leader_) : std::nullopt;
  if (!link) return;
  if (!hub_.LeaderReportIsDue(now)) return;
  EntryReport report =
      hub_.BuildLeaderReport(now, std::exchange(is_first_report_, false));
  report.number = next_report_number_++;
  reported_applied_ = gate_.AppliedByAll(now, host_.state().fleet().changes());
  report.applied_changes = reported_applied_;
  LogHostsBehind(now);
  unanswered_reports_[report.number] = now;
  if (unanswered_reports_.size() > kMaxUnansweredReports) {
    unanswered_reports_.erase(unanswered_reports_.begin());
  }
  links_.Send(*link, {{"t", "report"}, {"r", report}});
}

// Tells the leader when it need not wait any longer for a host of this relay,
// as all of them act on a further change or the lease of one has ended. Reports
// wait for their answers, which acknowledgements do not need.
void ControlProcess::ConfirmToLeader(Instant now) {
  const std::uint64_t changes = host_.state().fleet().changes();
  if (reported_applied_ >= changes || now < next_confirmation_) return;
  const auto link = known_leader_ ? LinkTo(*known_leader_) : std::nullopt;
  const std::uint64_t applied = gate_.AppliedByAll(now, changes);
  if (!link || applied <= reported_applied_) return;
  next_confirmation_ = now + kMinConfirmationPerHub * hub_.hub_count();
  reported_applied_ = applied;
  links_.Send(*link, {{"t", "applied"}, {"c", applied}});
}

void ControlProcess::PublishReady(Instant now) {
  if (is_leader_ && now >= next_ready_check_) {
    next_ready_check_ = now + kReadyCheckPeriod;
    std::vector<ReadyHost> ready = hub_.ReadyHosts(now);
    if (ready != ready_hosts_ || now >= next_publish_) {
      next_publish_ = now + kPublishPeriod;
      ready_hosts_ = std::move(ready);
      hub_.SetFleetHosts(ready_hosts_);
      SendToControl({{"t", "ready"}, {"list", ready_hosts_}});
    }
  }
  if (ready_hosts_ == listed_hosts_) return;
  listed_hosts_ = ready_hosts_;
  auto addresses = std::make_shared<AddressesByZone>();
  for (const ReadyHost& host : HostsForCallers(listed_hosts_)) {
    (*addresses)[host.zone].push_back(host.address);
  }
  std::atomic_store(&published_addresses_,
                    std::shared_ptr<const AddressesByZone>(addresses));
}

}  // namespace sapphirebank
