#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/rollout.h"

namespace sapphirebank {

struct FleetMetricsSettings {
  HostId host = {};
  ZoneId zone = {};
  // Maximum numbers of distinct label values for services and zones. Services
  // and zones beyond the limit share the label value "other".
  std::size_t service_limit = 512;
  std::size_t zone_limit = 64;
};

// The kind of component whose failure was detected.
enum class DetectionSubject { kHost, kBackendServer };

// What a control host keeps in memory, in bytes of payload.
struct ControlMemory {
  std::size_t log = 0;            // Entries of the replicated log.
  std::size_t snapshot = 0;       // The last snapshot, encoded.
  std::size_t plan = 0;           // The plan document.
  std::size_t plan_history = 0;   // Patches from earlier plans.
  std::size_t pending_calls = 0;  // Plans of calls that have no answer yet.
};

// Numbers of fleet members by membership state.
struct MemberCounts {
  std::size_t alive = 0;
  std::size_t suspect = 0;
  std::size_t failed = 0;
  std::size_t left = 0;
};

// The Prometheus metrics of one host. To bound the number of time series, no
// label value comes from a caller and none names a workspace. All functions are
// thread-safe.
class FleetMetrics {
 public:
  // Registers the metrics. Fails with kInvalidSettings if the host or the zone
  // is empty.
  static Result<std::unique_ptr<FleetMetrics>> Create(
      FleetMetricsSettings settings);

  // Counts a request to `service` whose answer was delivered completely.
  void CountAnswer(const ServiceId& service);

  // Counts a request to `service` that was refused or failed with `kind`.
  void CountRefusal(const ServiceId& service, ErrorKind kind);

  // Counts a request that was refused with `kind` although its workspace was
  // within its rate limit.
  void CountRefusalInsideRate(const ServiceId& service, ErrorKind kind);

  // Counts `count` requests to `service` that a hub refused or made to wait for
  // `reason`, with the ranks of their workspace and route.
  void CountAdmissionRefusals(const ServiceId& service, int workspace_rank,
                              int route_rank, std::string_view reason,
                              std::uint32_t count);

  // Records the latency that the fleet added to a request.
  void ObserveAddedLatency(const ServiceId& service, Duration added);

  // Records the age of the view of the fleet with which a request was handled.
  void ObserveViewAge(Duration age);

  // Records how long a request was queued for a slot.
  void ObserveQueueWait(const ServiceId& service, Duration wait);

  // Sets the longest current queue wait of any workspace for `service`.
  void SetLongestWait(const ServiceId& service, Duration wait);

  // Counts an ejection of a backend server.
  void CountEjection(const ServiceId& service);

  // Counts an ejection that was suppressed because it would have left fewer
  // backend servers than the floor of the service.
  void CountEjectionPrevented(const ServiceId& service);

  // Counts a request that reached a backend server of `service` during a
  // rollout: one of the new version, or another.
  void CountRolloutRequest(const ServiceId& service, bool new_version);

  // Sets how many backend servers of `service` receive requests and how many
  // are ejected.
  void SetBackendServers(const ServiceId& service, std::size_t in_use,
                         std::size_t ejected);

  // Sets what a hub knows of the work of a service's requests: the mean for
  // each, the work left at the hub's own backend servers, and how many of these
  // are slow.
  void SetServiceWork(const ServiceId& service, Duration mean,
                      double left_seconds, std::size_t slow_servers);

  // Counts requests that a hub has placed by the rule of that name.
  void CountPlacements(std::string_view rule, std::uint64_t requests);

  // Records the delay between a failure and its detection.
  void ObserveDetection(DetectionSubject subject, Duration time);

  // Sets the phase of the last rollout of `service`.
  void SetRolloutPhase(const ServiceId& service, RolloutPhase phase);

  // Counts a decision of this host on a rollout of `service`.
  void CountRolloutDecision(const ServiceId& service, RolloutPhase phase);

  // Counts a refused order of a rollout.
  void CountRolloutRefusal(ErrorKind kind);

  // Sets the revision of the configuration in force on this host.
  void SetConfigurationRevision(Revision revision);

  // Sets the age of the newest control stamp that this host has received.
  void SetFreshnessAge(Duration age);

  // Sets whether this control host belongs to the control group.
  void SetControlGroupMember(bool is_member);

  // Sets what this control host keeps in memory, by part.
  void SetControlMemory(const ControlMemory& memory);

  // Sets the memory of this process as the system counts it, in bytes: all that
  // is resident, and the part that no file backs.
  void SetProcessMemory(std::uint64_t resident, std::uint64_t anonymous);

  // Sets the number of members by state, as this host sees them.
  void SetMembers(const MemberCounts& counts);

  // Sets whether `zone` accepts new requests.
  void SetZoneInService(const ZoneId& zone, bool in_service);

  // Counts bytes of control messages between hosts of the fleet.
  void CountControlBytes(std::size_t sent, std::size_t received);

  // Sets the number of log lines dropped since the process started.
  void SetLogLinesDropped(std::uint64_t lines);

  // Returns all metrics in the Prometheus text exposition format.
  std::string Serialize() const;

 private:
  template <typename Metric>
  using Family = prometheus::Family<Metric>;

  explicit FleetMetrics(FleetMetricsSettings settings);

  template <typename Metric>
  Family<Metric>& Register(std::string_view name, std::string_view help);

  std::string ServiceLabel(const ServiceId& service);
  std::string ZoneLabel(const ZoneId& zone);

  FleetMetricsSettings settings_;
  prometheus::Registry registry_;
  std::mutex mutex_;
  std::set<std::string, std::less<>> services_;
  std::set<std::string, std::less<>> zones_;

  Family<prometheus::Counter>& requests_;
  Family<prometheus::Counter>& refusals_inside_rate_;
  Family<prometheus::Counter>& admission_refusals_;
  Family<prometheus::Histogram>& added_latency_;
  Family<prometheus::Histogram>& view_age_;
  Family<prometheus::Histogram>& queue_wait_;
  Family<prometheus::Gauge>& longest_wait_;
  Family<prometheus::Counter>& ejections_;
  Family<prometheus::Counter>& ejections_prevented_;
  Family<prometheus::Counter>& rollout_requests_;
  Family<prometheus::Gauge>& backend_servers_;
  Family<prometheus::Gauge>& request_work_;
  Family<prometheus::Gauge>& work_left_;
  Family<prometheus::Gauge>& slow_servers_;
  Family<prometheus::Counter>& placements_;
  Family<prometheus::Histogram>& detection_;
  Family<prometheus::Gauge>& rollout_phase_;
  Family<prometheus::Counter>& rollout_decisions_;
  Family<prometheus::Counter>& rollout_refusals_;
  Family<prometheus::Gauge>& configuration_revision_;
  Family<prometheus::Gauge>& freshness_age_;
  Family<prometheus::Gauge>& control_group_member_;
  Family<prometheus::Gauge>& control_memory_;
  Family<prometheus::Gauge>& process_memory_;
  Family<prometheus::Gauge>& members_;
  Family<prometheus::Gauge>& zone_in_service_;
  Family<prometheus::Counter>& control_bytes_;
  Family<prometheus::Gauge>& log_lines_dropped_;
};

}  // namespace sapphirebank
