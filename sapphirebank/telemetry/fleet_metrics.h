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

namespace sapphirebank {

struct FleetMetricsSettings {
  HostId host = {};
  ZoneId zone = {};
  // Services and zones with label values of their own; the numbers of further
  // ones are added up under the label value "other".
  std::size_t service_limit = 512;
  std::size_t zone_limit = 64;
};

// What the detection time of a failure was about.
enum class DetectionSubject { kHost, kBackendServer };

// The state of members of the fleet as they are counted.
struct MemberCounts {
  std::size_t alive = 0;
  std::size_t suspect = 0;
  std::size_t failed = 0;
  std::size_t left = 0;
};

// The metrics of one host. No label takes a value from a caller, and none
// names a workspace: there can be too many. All functions may be called from
// any thread.
class FleetMetrics {
 public:
  // Registers the metrics. Fails with kInvalidSettings when the host or zone
  // is missing.
  static Result<std::unique_ptr<FleetMetrics>> Create(
      FleetMetricsSettings settings);

  // Counts a request of `service` that was answered in full.
  void CountAnswer(const ServiceId& service);

  // Counts a request of `service` that was refused or failed with `kind`.
  void CountRefusal(const ServiceId& service, ErrorKind kind);

  // Counts a request that was refused with `kind` although its workspace was
  // inside its rate.
  void CountRefusalInsideRate(const ServiceId& service, ErrorKind kind);

  // Records the time that the fleet added to a request.
  void ObserveAddedLatency(const ServiceId& service, Duration added);

  // Records how long a request waited for a slot.
  void ObserveQueueWait(const ServiceId& service, Duration wait);

  // Sets the longest present wait of any workspace for `service`.
  void SetLongestWait(const ServiceId& service, Duration wait);

  // Counts an ejection of a backend server.
  void CountEjection(const ServiceId& service);

  // Counts an ejection that was left out because of the floor.
  void CountEjectionPrevented(const ServiceId& service);

  // Sets how many backend servers of `service` take work and how many are
  // ejected.
  void SetBackendServers(const ServiceId& service, std::size_t in_use,
                         std::size_t ejected);

  // Records the time between a failure and its detection.
  void ObserveDetection(DetectionSubject subject, Duration time);

  // Sets the revision of the configuration in force on this host.
  void SetConfigurationRevision(Revision revision);

  // Sets the age of the freshest stamp of control on this host.
  void SetFreshnessAge(Duration age);

  // Sets the number of members by state, as this host sees them.
  void SetMembers(const MemberCounts& counts);

  // Sets whether `zone` takes new work.
  void SetZoneInService(const ZoneId& zone, bool in_service);

  // Counts bytes of the fleet's own control messages.
  void CountControlBytes(std::size_t sent, std::size_t received);

  // Sets the number of log lines dropped since the start.
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
  Family<prometheus::Histogram>& added_latency_;
  Family<prometheus::Histogram>& queue_wait_;
  Family<prometheus::Gauge>& longest_wait_;
  Family<prometheus::Counter>& ejections_;
  Family<prometheus::Counter>& ejections_prevented_;
  Family<prometheus::Gauge>& backend_servers_;
  Family<prometheus::Histogram>& detection_;
  Family<prometheus::Gauge>& configuration_revision_;
  Family<prometheus::Gauge>& freshness_age_;
  Family<prometheus::Gauge>& members_;
  Family<prometheus::Gauge>& zone_in_service_;
  Family<prometheus::Counter>& control_bytes_;
  Family<prometheus::Gauge>& log_lines_dropped_;
};

}  // namespace sapphirebank
