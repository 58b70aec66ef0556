#include "sapphirebank/telemetry/fleet_metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace sapphirebank {
namespace {

using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;

constexpr std::string_view kOther = "other";

// Operators may set any rank; this bounds the number of time series.
constexpr int kLeastUrgentLabel = 9;

constexpr std::string_view kAnsweredOutcome = "answered";

// Seconds. 0.0011 is the target for the 99th percentile of the added latency.
const Histogram::BucketBoundaries kLatencyBuckets = {
    0.0001, 0.0002, 0.0004, 0.0005, 0.0008, 0.0011, 0.0016, 0.0025,
    0.005,  0.01,   0.025,  0.05,   0.1,    0.25,   1,      5};
// Seconds.
const Histogram::BucketBoundaries kWaitBuckets = {
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5};
// Seconds.
const Histogram::BucketBoundaries kViewAgeBuckets = {
    0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3, 3.5, 4, 4.5, 5, 10};
// Seconds.
const Histogram::BucketBoundaries kDetectionBuckets = {
    0.1, 0.25, 0.5, 1, 2, 3, 5, 8, 13, 21, 34, 60};

std::string_view SubjectName(DetectionSubject subject) {
  return subject == DetectionSubject::kHost ? "host" : "backend_server";
}

template <typename Metric>
auto NewBuilder() {
  if constexpr (std::is_same_v<Metric, Counter>) {
    return prometheus::BuildCounter();
  } else if constexpr (std::is_same_v<Metric, Gauge>) {
    return prometheus::BuildGauge();
  } else {
    return prometheus::BuildHistogram();
  }
}

// Returns `name` if it is in `known` or can be added to it within `limit`,
// otherwise "other".
std::string BoundedLabel(std::set<std::string, std::less<>>& known,
                         std::size_t limit, const std::string& name) {
  if (known.count(name) > 0) return name;
  if (known.size() >= limit || name == kOther) return std::string(kOther);
  known.insert(name);
  return name;
}

}  // namespace

Result<std::unique_ptr<FleetMetrics>> FleetMetrics::Create(
    FleetMetricsSettings settings) {
  if (settings.host.empty() || settings.zone.empty()) {
    return Fail(ErrorKind::kInvalidSettings,
                "metrics: the host or the zone is missing");
  }
  return std::unique_ptr<FleetMetrics>(new FleetMetrics(std::move(settings)));
}

FleetMetrics::FleetMetrics(FleetMetricsSettings settings)
    : settings_(std::move(settings)),
      requests_(Register<Counter>(
          "sapphirebank_requests_total",
          "Requests by service and outcome: answered, or the error kind.")),
      refusals_inside_rate_(Register<Counter>(
          "sapphirebank_refusals_inside_rate_total",
          "Requests refused although their workspace was inside its rate.")),
      admission_refusals_(Register<Counter>(
          "sapphirebank_admission_refusals_total",
          "Requests that a hub refused or made to wait, by rank and reason.")),
      added_latency_(
          Register<Histogram>("sapphirebank_added_latency_seconds",
                              "Time that the fleet added to a request.")),
      view_age_(Register<Histogram>(
          "sapphirebank_view_age_seconds",
          "Age of the view of the fleet with which a request was handled.")),
      queue_wait_(
          Register<Histogram>("sapphirebank_queue_wait_seconds",
                              "Time that a request waited for a slot.")),
      longest_wait_(
          Register<Gauge>("sapphirebank_longest_wait_seconds",
                          "Longest present wait of any workspace for a slot.")),
      ejections_(Register<Counter>("sapphirebank_ejections_total",
                                   "Ejections of backend servers.")),
      ejections_prevented_(
          Register<Counter>("sapphirebank_ejections_prevented_total",
                            "Ejections left out because of the floor.")),
      rollout_requests_(Register<Counter>(
          "sapphirebank_rollout_requests_total",
          "Requests that reached backend servers during rollouts, by service "
          "and version: new or other.")),
      backend_servers_(Register<Gauge>("sapphirebank_backend_servers",
                                       "Backend servers by state.")),
      request_work_(
          Register<Gauge>("sapphirebank_request_work_seconds",
                          "Mean time for which a request occupies a slot.")),
      work_left_(Register<Gauge>(
          "sapphirebank_work_left_seconds",
          "Time until the backend servers of this hub have no work, summed.")),
      slow_servers_(Register<Gauge>(
          "sapphirebank_slow_backend_servers",
          "Backend servers of this hub that take over twice the usual time.")),
      placements_(Register<Counter>(
          "sapphirebank_placements_total",
          "Requests by the rule that chose their backend server.")),
      detection_(
          Register<Histogram>("sapphirebank_detection_seconds",
                              "Time between a failure and its detection.")),
      rollout_phase_(Register<Gauge>(
          "sapphirebank_rollout_phase",
          "1 for the phase of the last rollout of a service, else 0.")),
      rollout_decisions_(Register<Counter>(
          "sapphirebank_rollout_decisions_total",
          "Phases of rollouts that this host decided on as the leader.")),
      rollout_refusals_(
          Register<Counter>("sapphirebank_rollout_orders_refused_total",
                            "Refused orders of rollouts, by error kind.")),
      configuration_revision_(
          Register<Gauge>("sapphirebank_configuration_revision",
                          "Revision of the configuration in force.")),
      freshness_age_(Register<Gauge>("sapphirebank_control_stamp_age_seconds",
                                     "Age of the freshest stamp of control.")),
      control_group_member_(Register<Gauge>(
          "sapphirebank_control_group_member",
          "1 on a control host that belongs to the control group, else 0.")),
      control_memory_(
          Register<Gauge>("sapphirebank_control_memory_bytes",
                          "Bytes that a control host keeps, by part.")),
      process_memory_(
          Register<Gauge>("sapphirebank_process_memory_bytes",
                          "Memory of the process: resident, anonymous.")),
      members_(Register<Gauge>("sapphirebank_members",
                               "Members of the fleet by state.")),
      zone_in_service_(
          Register<Gauge>("sapphirebank_zone_in_service",
                          "1 when an availability zone takes new work.")),
      control_bytes_(Register<Counter>(
          "sapphirebank_control_bytes_total",
          "Bytes of the fleet's own control messages by direction.")),
      log_lines_dropped_(Register<Gauge>(
          "sapphirebank_log_lines_dropped",
          "Log lines dropped since the start for a slow reader.")) {}

template <typename Metric>
FleetMetrics::Family<Metric>& FleetMetrics::Register(std::string_view name,
                                                     std::string_view help) {
  return NewBuilder<Metric>()
      .Name(std::string(name))
      .Help(std::string(help))
      .Labels(
          {{"host", settings_.host.value()}, {"zone", settings_.zone.value()}})
      .Register(registry_);
}

std::string FleetMetrics::ServiceLabel(const ServiceId& service) {
  const std::lock_guard lock(mutex_);
  return BoundedLabel(services_, settings_.service_limit, service.value());
}

std::string FleetMetrics::ZoneLabel(const ZoneId& zone) {
  const std::lock_guard lock(mutex_);
  return BoundedLabel(zones_, settings_.zone_limit, zone.value());
}

void FleetMetrics::CountAnswer(const ServiceId& service) {
  requests_
      .Add({{"service", ServiceLabel(service)},
            {"outcome", std::string(kAnsweredOutcome)}})
      .Increment();
}

void FleetMetrics::CountRefusal(const ServiceId& service, ErrorKind kind) {
  requests_
      .Add({{"service", ServiceLabel(service)},
            {"outcome", std::string(AnswerFor(kind).name)}})
      .Increment();
}

void FleetMetrics::CountRefusalInsideRate(const ServiceId& service,
                                          ErrorKind kind) {
  refusals_inside_rate_
      .Add({{"service", ServiceLabel(service)},
            {"outcome", std::string(AnswerFor(kind).name)}})
      .Increment();
}

void FleetMetrics::CountAdmissionRefusals(const ServiceId& service,
                                          int workspace_rank, int route_rank,
                                          std::string_view reason,
                                          std::uint32_t count) {
  const auto label = [](int rank) {
    return std::to_string(std::clamp(rank, 0, kLeastUrgentLabel));
  };
  admission_refusals_
      .Add({{"service", ServiceLabel(service)},
            {"workspace_rank", label(workspace_rank)},
            {"route_rank", label(route_rank)},
            {"reason", std::string(reason)}})
      .Increment(count);
}

void FleetMetrics::ObserveAddedLatency(const ServiceId& service,
                                       Duration added) {
  added_latency_.Add({{"service", ServiceLabel(service)}}, kLatencyBuckets)
      .Observe(ToSeconds(added));
}

void FleetMetrics::ObserveViewAge(Duration age) {
  view_age_.Add({}, kViewAgeBuckets).Observe(ToSeconds(age));
}

void FleetMetrics::ObserveQueueWait(const ServiceId& service, Duration wait) {
  queue_wait_.Add({{"service", ServiceLabel(service)}}, kWaitBuckets)
      .Observe(ToSeconds(wait));
}

void FleetMetrics::SetLongestWait(const ServiceId& service, Duration wait) {
  longest_wait_.Add({{"service", ServiceLabel(service)}}).Set(ToSeconds(wait));
}

void FleetMetrics::CountEjection(const ServiceId& service) {
  ejections_.Add({{"service", ServiceLabel(service)}}).Increment();
}

void FleetMetrics::CountEjectionPrevented(const ServiceId& service) {
  ejections_prevented_.Add({{"service", ServiceLabel(service)}}).Increment();
}

void FleetMetrics::CountRolloutRequest(const ServiceId& service,
                                       bool new_version) {
  rollout_requests_
      .Add({{"service", ServiceLabel(service)},
            {"version", new_version ? "new" : "other"}})
      .Increment();
}

void FleetMetrics::SetBackendServers(const ServiceId& service,
                                     std::size_t in_use, std::size_t ejected) {
  const std::string label = ServiceLabel(service);
  backend_servers_.Add({{"service", label}, {"state", "in_use"}})
      .Set(static_cast<double>(in_use));
  backend_servers_.Add({{"service", label}, {"state", "ejected"}})
      .Set(static_cast<double>(ejected));
}

void FleetMetrics::SetServiceWork(const ServiceId& service, Duration mean,
                                  double left_seconds,
                                  std::size_t slow_servers) {
  const std::string label = ServiceLabel(service);
  request_work_.Add({{"service", label}}).Set(ToSeconds(mean));
  work_left_.Add({{"service", label}}).Set(left_seconds);
  slow_servers_.Add({{"service", label}})
      .Set(static_cast<double>(slow_servers));
}

void FleetMetrics::CountPlacements(std::string_view rule,
                                   std::uint64_t requests) {
  placements_.Add({{"rule", std::string(rule)}})
      .Increment(static_cast<double>(requests));
}

void FleetMetrics::ObserveDetection(DetectionSubject subject, Duration time) {
  detection_
      .Add({{"subject", std::string(SubjectName(subject))}}, kDetectionBuckets)
      .Observe(ToSeconds(time));
}

void FleetMetrics::SetRolloutPhase(const ServiceId& service,
                                   RolloutPhase phase) {
  const std::string label = ServiceLabel(service);
  for (const RolloutPhase each : kRolloutPhases) {
    rollout_phase_
        .Add({{"service", label}, {"phase", std::string(ToString(each))}})
        .Set(each == phase ? 1 : 0);
  }
}

void FleetMetrics::CountRolloutDecision(const ServiceId& service,
                                        RolloutPhase phase) {
  rollout_decisions_
      .Add({{"service", ServiceLabel(service)},
            {"phase", std::string(ToString(phase))}})
      .Increment();
}

void FleetMetrics::CountRolloutRefusal(ErrorKind kind) {
  rollout_refusals_.Add({{"kind", std::string(AnswerFor(kind).name)}})
      .Increment();
}

void FleetMetrics::SetConfigurationRevision(Revision revision) {
  configuration_revision_.Add({}).Set(static_cast<double>(revision));
}

void FleetMetrics::SetFreshnessAge(Duration age) {
  freshness_age_.Add({}).Set(ToSeconds(age));
}

void FleetMetrics::SetControlGroupMember(bool is_member) {
  control_group_member_.Add({}).Set(is_member ? 1 : 0);
}

void FleetMetrics::SetControlMemory(const ControlMemory& memory) {
  const std::pair<const char*, std::size_t> bytes_by_part[] = {
      {"log", memory.log},
      {"snapshot", memory.snapshot},
      {"plan", memory.plan},
      {"plan_history", memory.plan_history},
      {"pending_calls", memory.pending_calls}};
  for (const auto& [part, bytes] : bytes_by_part) {
    control_memory_.Add({{"part", part}}).Set(static_cast<double>(bytes));
  }
}

void FleetMetrics::SetProcessMemory(std::uint64_t resident,
                                    std::uint64_t anonymous) {
  process_memory_.Add({{"kind", "resident"}})
      .Set(static_cast<double>(resident));
  process_memory_.Add({{"kind", "anonymous"}})
      .Set(static_cast<double>(anonymous));
}

void FleetMetrics::SetMembers(const MemberCounts& counts) {
  const std::pair<const char*, std::size_t> counts_by_state[] = {
      {"alive", counts.alive},
      {"suspect", counts.suspect},
      {"failed", counts.failed},
      {"left", counts.left}};
  for (const auto& [state, count] : counts_by_state) {
    members_.Add({{"state", state}}).Set(static_cast<double>(count));
  }
}

void FleetMetrics::SetZoneInService(const ZoneId& zone, bool in_service) {
  zone_in_service_.Add({{"availability_zone", ZoneLabel(zone)}})
      .Set(in_service ? 1 : 0);
}

void FleetMetrics::CountControlBytes(std::size_t sent, std::size_t received) {
  control_bytes_.Add({{"direction", "sent"}})
      .Increment(static_cast<double>(sent));
  control_bytes_.Add({{"direction", "received"}})
      .Increment(static_cast<double>(received));
}

void FleetMetrics::SetLogLinesDropped(std::uint64_t lines) {
  log_lines_dropped_.Add({}).Set(static_cast<double>(lines));
}

std::string FleetMetrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace sapphirebank
