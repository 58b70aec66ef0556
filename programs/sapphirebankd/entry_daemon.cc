#include "programs/sapphirebankd/entry_daemon.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "programs/sapphirebankd/process.h"
#include "sapphirebank/backend/backend_codec.h"
#include "sapphirebank/config/zone_plans.h"
#include "sapphirebank/entry/host_contact.h"
#include "sapphirebank/entry/ownership_keys.h"
#include "sapphirebank/request/refusal.h"
#include "sapphirebank/transport/await_callback.h"
#include "sapphirebank/transport/operator_messages.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr Duration kControlTick = std::chrono::milliseconds(50);
constexpr Duration kTrafficTick = std::chrono::milliseconds(2);
constexpr Duration kConnectPeriod = std::chrono::milliseconds(500);
constexpr Duration kDrainPollPeriod = std::chrono::milliseconds(20);
constexpr std::uint64_t kMaxAnnouncementBytes = 4096;
constexpr Duration kPollPeriod = std::chrono::seconds(1);
constexpr Duration kReportPeriod = std::chrono::seconds(2);

json DispatchLogFields(const DispatchDecision& decision) {
  json line = {{"request_id", decision.request.value()},
               {"waited_us", decision.waited.count()}};
  if (const auto* slot = std::get_if<LocalSlot>(&decision.place)) {
    json candidates = json::object();
    for (const PlacementCandidate& candidate : slot->placement.candidates) {
      candidates[candidate.backend.value()] =
          PlacementReasonName(candidate.reason);
    }
    line["choice"] = slot->placement.backend.value();
    line["candidates"] = std::move(candidates);
  } else if (const auto* forward = std::get_if<ForwardTo>(&decision.place)) {
    line["choice"] = "host " + forward->host.value();
  } else {
    line["refusal"] = AnswerFor(std::get<Error>(decision.place).kind).name;
    line["detail"] = std::get<Error>(decision.place).detail;
  }
  return line;
}

Result<void> ResultOf(const RateAdmission::Decision& decision) {
  if (decision.outcome == AcquireOutcome::kAdmitted) return {};
  if (decision.outcome == AcquireOutcome::kRateExceeded) {
    return Fail(ErrorKind::kRateExceeded,
                "the workspace has used up its rate and burst");
  }
  return Fail(ErrorKind::kRateUnavailable,
              "the owner of the workspace's token bucket did not respond");
}

Result<Membership> StartMembership(const DaemonSettings& settings,
                                   Incarnation start) {
  MembershipSettings membership;
  membership.id = settings.host_id;
  membership.zone = settings.zone;
  membership.address = ToString(settings.listeners.datagrams);
  membership.metadata =
      ToMetadata({settings.advertised.front(), settings.listeners.fleet});
  membership.incarnation = start;
  for (const PeerSettings& seed : settings.seeds) {
    if (seed.id == settings.host_id) continue;
    membership.seeds.push_back(ToString(seed.endpoint));
  }
  return Membership::Create(std::move(membership), RandomSeed(),
                            MonotonicNow());
}

}  // namespace

Result<std::unique_ptr<EntryDaemon>> EntryDaemon::Start(
    caf::actor_system& system, asio::io_context& loop,
    const DaemonSettings& settings, FleetSecret secret, LogWriter& log) {
  const Incarnation start = IncarnationFromClock();
  EntryControlSettings control_settings;
  control_settings.host = settings.host_id;
  control_settings.voters.hosts = settings.lease_voters;
  control_settings.seed = RandomSeed();
  control_settings.term_floor = (start / 1000) << LeaseVoter::kTermBits;
  auto control = EntryControl::Create(control_settings, MonotonicNow());
  if (!control) return tl::unexpected(control.error());

  EntryTrafficSettings traffic_settings;
  traffic_settings.host = settings.host_id;
  traffic_settings.zone = settings.zone;
  traffic_settings.forwards = settings.listeners.forwards;
  traffic_settings.incarnation = start;
  traffic_settings.seed = RandomSeed();
  auto traffic = EntryTraffic::Create(
      traffic_settings,
      [leases = control->leases()](Instant now, std::string_view key) {
        return leases->Holds(now, key);
      });
  if (!traffic) return tl::unexpected(traffic.error());

  auto membership = StartMembership(settings, start);
  if (!membership) return tl::unexpected(membership.error());

  FreshnessSettings freshness_settings;
  freshness_settings.self = settings.host_id;
  freshness_settings.witnesses = settings.lease_voters;
  auto freshness = FreshnessMonitor::Create(freshness_settings, MonotonicNow());
  if (!freshness) return tl::unexpected(freshness.error());

  FleetMetricsSettings metrics_settings;
  metrics_settings.host = settings.host_id;
  metrics_settings.zone = settings.zone;
  auto metrics = FleetMetrics::Create(metrics_settings);
  if (!metrics) return tl::unexpected(metrics.error());

  std::unique_ptr<EntryDaemon> daemon(new EntryDaemon(
      system, loop, settings, std::move(*control), std::move(*traffic),
      std::move(*membership), std::move(*freshness), std::move(*metrics),
      std::move(secret), log));
  const auto opened = daemon->OpenPorts();
  if (!opened) return tl::unexpected(opened.error());
  daemon->control_thread_.StartTicks(
      kControlTick, [raw = daemon.get()] { raw->TickControl(); });
  daemon->traffic_thread_.StartTicks(kTrafficTick, [raw = daemon.get()] {
    raw->ExecuteEffects(raw->traffic_.Tick(MonotonicNow()));
  });
  return daemon;
}

EntryDaemon::EntryDaemon(caf::actor_system& system, asio::io_context& loop,
                         const DaemonSettings& settings, EntryControl control,
                         EntryTraffic traffic, Membership membership,
                         FreshnessMonitor freshness,
                         std::unique_ptr<FleetMetrics> metrics,
                         FleetSecret secret, LogWriter& log)
    : loop_(loop),
      settings_(settings),
      log_(log),
      secret_(std::move(secret)),
      metrics_(std::move(metrics)),
      freshness_(std::move(freshness)),
      control_(std::move(control)),
      membership_(std::move(membership)),
      traffic_(std::move(traffic)),
      probe_client_(loop, HttpClientSettings()),
      control_thread_(system),
      traffic_thread_(system),
      links_(settings.host_id, secret_, LinkHooks()) {
  RequestProxySettings proxy;
  proxy.host = settings_.host_id;
  proxy.incarnation = IncarnationFromClock();
  proxy.key_field = settings_.key_header;
  proxy_ = std::make_unique<RequestProxy>(loop_, std::move(proxy), secret_,
                                          ProxyHooks());
}

EntryDaemon::~EntryDaemon() {
  control_thread_.Stop();
  traffic_thread_.Stop();
}

HttpServerSettings EntryDaemon::ServerSettings(const Endpoint& local) const {
  HttpServerSettings server;
  server.ip = local.ip;
  server.port = local.port;
  server.max_connections = settings_.limits.max_caller_connections;
  server.max_head_bytes = settings_.limits.header_bytes;
  server.idle_timeout = settings_.limits.idle_timeout;
  server.body_timeout = settings_.limits.body_timeout;
  return server;
}

Result<void> EntryDaemon::Open(std::optional<HttpServer>& server,
                               const Endpoint& local, HttpServer::Hooks hooks) {
  HttpServerSettings server_settings = ServerSettings(local);
  server_settings.marks_refusals = &server == &forward_server_;
  if (&server == &caller_server_ && settings_.listeners.callers_tls) {
    server_settings.tls_certificate_file =
        settings_.listeners.callers_tls->certificate_file;
    server_settings.tls_key_file = settings_.listeners.callers_tls->key_file;
  }
  auto opened = HttpServer::Listen(loop_, server_settings, std::move(hooks));
  if (!opened) return tl::unexpected(opened.error());
  server = std::move(*opened);
  return {};
}

Result<void> EntryDaemon::OpenPorts() {
  const ListenerSettings& listeners = settings_.listeners;
  const auto no_body = [](const HttpRequestHead&) -> Result<std::uint64_t> {
    return std::uint64_t{0};
  };
  const auto small_body = [](const HttpRequestHead&) -> Result<std::uint64_t> {
    return kMaxAnnouncementBytes;
  };
  auto opened =
      Open(caller_server_, listeners.callers,
           {[this](const auto& head) { return AcceptCallerHead(head); },
            [this](HttpRequest request) {
              return HandleCaller(std::move(request));
            }});
  if (opened) {
    opened = Open(
        forward_server_, listeners.forwards,
        {[this](const auto& head) { return proxy_->AcceptForwardHead(head); },
         [this](HttpRequest request) {
           return proxy_->HandleForward(std::move(request));
         }});
  }
  if (opened) {
    opened = Open(announcement_server_, listeners.announcements,
                  {small_body, [this](HttpRequest request) {
                     return HandleAnnouncement(std::move(request));
                   }});
  }
  if (opened) {
    opened = Open(metrics_server_, listeners.metrics,
                  {no_body, [this](HttpRequest request) {
                     return HandleMetrics(std::move(request));
                   }});
  }
  if (!opened) return opened;
  auto datagrams = DatagramSocket::Open(
      loop_, listeners.datagrams, settings_.host_id, secret_,
      [this](const HostId& from, const std::string& type, const json& body,
             const Endpoint& sender) {
        control_thread_.Post([this, from, type, body, sender] {
          OnDatagram(from, type, body, sender);
        });
      });
  if (!datagrams) return tl::unexpected(datagrams.error());
  datagrams_ = std::move(*datagrams);
  try {
    links_.Listen(listeners.fleet);
  } catch (const std::runtime_error& e) {
    return Fail(ErrorKind::kInvalidSettings, e.what());
  }
  return {};
}

void EntryDaemon::Drain(std::function<void()> done) {
  draining_ = true;
  log_.Write(LogLevel::kInfo, "leaving");
  // Leave the membership, so that lookups on other hosts no longer return this
  // host.
  control_thread_.Post(
      [this] { ExecuteEffects(membership_.Leave(MonotonicNow())); });
  // New requests are refused, but the port stays open until the host is idle:
  // closing it now would reset connections in the accept backlog.
  AwaitIdle(std::move(done));
}

void EntryDaemon::AwaitIdle(std::function<void()> done) {
  const bool idle =
      caller_server_->active_requests() + forward_server_->active_requests() ==
      0;
  if (idle) {
    caller_server_->Drain();
    forward_server_->Drain();
    announcement_server_->Drain();
    control_thread_.Post([this, done = std::move(done)] {
      ExecuteEffects(control_.Leave(MonotonicNow()));
      asio::post(loop_, done);
    });
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(loop_, kDrainPollPeriod);
  timer->async_wait(
      [this, timer, done = std::move(done)](const auto&) { AwaitIdle(done); });
}

void EntryDaemon::TickControl() {
  const Instant now = MonotonicNow();
  if (now >= next_connect_) {
    next_connect_ = now + kConnectPeriod;
    ConnectToControl();
  }
  ExecuteEffects(membership_.Tick(now));
  UpdateMembers();
  TickFreshness();
  if (now >= next_poll_) {
    next_poll_ = now + kPollPeriod;
    PollControl();
  }
  if (now >= next_report_) {
    next_report_ = now + kReportPeriod;
    ReportToControl();
  }
  if (next_zone_plan_ && WallNow() >= *next_zone_plan_) ApplyConfiguration();
  ExecuteEffects(control_client_.Tick(now));
  ExecuteEffects(control_.Tick(now));
}

void EntryDaemon::ExecuteEffects(EntryEffects effects) {
  Log(effects);
  if (!effects.messages.empty()) {
    asio::post(loop_, [this, messages = std::move(effects.messages)] {
      for (const HostMessage& message : messages) {
        const auto address = datagram_addresses_.find(message.to);
        if (address == datagram_addresses_.end()) continue;
        datagrams_->Send(address->second, message.type, message.body);
      }
    });
  }
  effects.messages.clear();
  const bool has_updates =
      !effects.leases.empty() || !effects.owners.empty() ||
      !effects.token_responses.empty() || !effects.token_recalls.empty() ||
      !effects.loads.empty() || !effects.announcements.empty() ||
      !effects.verdicts.empty();
  if (!has_updates) return;
  traffic_thread_.Post([this, moved = std::move(effects)] {
    ExecuteEffects(traffic_.OnControl(MonotonicNow(), moved));
  });
}

void EntryDaemon::Log(const EntryEffects& effects) {
  for (const LeaseEvent& event : effects.leases) {
    const bool acquired = event.kind == LeaseEvent::Kind::kAcquired;
    log_.Write(event.takeover ? LogLevel::kWarning : LogLevel::kInfo,
               acquired ? "lease_acquired" : "lease_ended",
               {{"key", event.key},
                {"term", event.term},
                {"expired", event.kind == LeaseEvent::Kind::kExpired},
                {"previous_holder", event.previous_holder.value()},
                {"takeover", event.takeover}});
  }
  for (const HealthDecision& decision : effects.decisions) {
    log_.Write(LogLevel::kWarning, "backend_judged",
               {{"decision", HealthDecisionName(decision.kind)},
                {"backend", decision.backend.value()},
                {"service", decision.key.service.value()},
                {"zone", decision.key.zone.value()},
                {"cause", VerdictCauseName(decision.cause)},
                {"score", decision.score},
                {"level", decision.level}});
    if (decision.kind == HealthDecision::Kind::kEjected) {
      metrics_->CountEjection(decision.key.service);
    }
    if (decision.kind == HealthDecision::Kind::kLimited) {
      metrics_->CountEjectionPrevented(decision.key.service);
    }
  }
  for (const Error& error : effects.errors) {
    log_.Write(LogLevel::kWarning, "message_refused",
               {{"cause", error.detail}});
  }
}

void EntryDaemon::ExecuteEffects(TrafficEffects effects) {
  for (const AnnounceOutcome& outcome : effects.announced) {
    if (outcome.decision == AnnounceDecision::kRenewed) continue;
    log_.Write(
        LogLevel::kInfo, "announcement",
        {{"backend", outcome.backend.value()},
         {"decision", outcome.decision ? AnnounceDecisionName(*outcome.decision)
                                       : outcome.decision.error().detail}});
  }
  for (DispatchDecision& decision : effects.dispatched) {
    log_.Write(LogLevel::kInfo, "placement", DispatchLogFields(decision));
    const auto callback = pending_dispatches_.extract(decision.id);
    if (!callback.empty()) callback.mapped()(std::move(decision));
  }
  for (const RateAdmission::Decision& decision : effects.admitted) {
    const auto callback = pending_admissions_.extract(decision.request);
    if (!callback.empty()) callback.mapped()(ResultOf(decision));
  }
  for (const ProbeRequest& probe : effects.probes) {
    asio::co_spawn(loop_, Probe(probe), asio::detached);
  }
  if (effects.token_requests.empty() && effects.reports.empty() &&
      effects.loads.empty()) {
    return;
  }
  control_thread_.Post([this, moved = std::move(effects)] {
    const Instant now = MonotonicNow();
    ExecuteEffects(control_.SendTokenRequests(now, moved.token_requests));
    ExecuteEffects(control_.SendReports(now, moved.reports));
    ExecuteEffects(control_.SendLoads(moved.loads));
  });
}

}  // namespace sapphirebank
