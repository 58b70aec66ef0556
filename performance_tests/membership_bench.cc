// Measures the membership protocol on a simulated network in one process:
// failure detection time, false suspicions and false failures, network bytes
// and processor time per host, and the dissemination time of a change. Prints
// JSON lines.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "performance_tests/bench_support.h"
#include "sapphirebank/core/hash.h"
#include "unit_tests/membership/fake_fleet.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kPairScale = 1000;

// Faults of the simulated network during a measurement.
struct Network {
  const char* name;
  double loss;  // Share of the messages that are lost.
  // Of 1000 ordered pairs of hosts, the number whose first host cannot reach
  // the second.
  std::uint64_t unreachable_pairs;
};

constexpr Network kNetworks[] = {{"good", 0, 0},
                                 {"1% loss", 0.01, 0},
                                 {"5% loss", 0.05, 0},
                                 {"5% of pairs cut one way", 0, 50}};

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Returns the settings that the command line options modify.
MembershipSettings& BaseSettings() {
  static MembershipSettings settings;
  return settings;
}

MembershipSettings MakeSettings() {
  MembershipSettings settings = BaseSettings();
  settings.seeds = FakeFleet::Seeds();
  settings.zone = ZoneId("thrissur");
  settings.metadata = "127.0.0.1:8443 127.0.0.1:7443";
  return settings;
}

// A fleet that converged for 60 s on a network without faults and then runs on
// `network`.
class ConvergedFleet {
 public:
  ConvergedFleet(int hosts, const Network& network, std::uint64_t seed)
      : hosts_(hosts), fleet_(seed) {
    fleet_.StartMany(hosts, MakeSettings());
    // From now on every response to a probe carries a stamp.
    fleet_[FakeFleet::Name(0)].ObserveStamp(fleet_.now(),
                                            {1, Duration::zero()});
    fleet_.Run(seconds(60));
    fleet_.set_loss(network.loss);
    fleet_.set_passes([unreachable_pairs = network.unreachable_pairs](
                          const std::string& from, const std::string& to) {
      return StableHash(from, StableHash(to)) % kPairScale >= unreachable_pairs;
    });
    fleet_.set_on_event(
        [this](const std::string& host, const MemberEvent& event) {
          if (on_event_) on_event_(host, event);
        });
  }

  FakeFleet& simulation() { return fleet_; }
  int hosts() const { return hosts_; }
  void set_on_event(FakeFleet::OnEvent on_event) {
    on_event_ = std::move(on_event);
  }

 private:
  int hosts_;
  FakeFleet fleet_;
  FakeFleet::OnEvent on_event_;
};

// Kills and restarts one host after the other. Measures the time until the
// first other host and until each other host regards the killed host as failed.
void MeasureDetection(int hosts, const Network& network, std::uint64_t seed,
                      int kills) {
  ConvergedFleet fleet(hosts, network, seed);
  Random random(seed);
  std::vector<double> first_detections;
  std::vector<double> all_detections;
  int undetected = 0;
  for (int i = 0; i < kills; ++i) {
    const std::string victim =
        FakeFleet::Name(random.Below(static_cast<std::uint64_t>(hosts)));
    const Instant killed_at = fleet.simulation().now();
    std::vector<double> detection_delays;
    fleet.set_on_event([&](const std::string&, const MemberEvent& event) {
      if (event.kind != MemberEventKind::kFailed) return;
      if (event.member.id.value() != victim) return;
      detection_delays.push_back(
          ToSeconds(fleet.simulation().now() - killed_at));
    });
    fleet.simulation().Kill(victim);
    fleet.simulation().Run(seconds(30));
    undetected += hosts - 1 - static_cast<int>(detection_delays.size());
    if (!detection_delays.empty()) {
      first_detections.push_back(
          *std::min_element(detection_delays.begin(), detection_delays.end()));
    }
    all_detections.insert(all_detections.end(), detection_delays.begin(),
                          detection_delays.end());
    fleet.set_on_event(nullptr);
    MembershipSettings settings = MakeSettings();
    settings.incarnation = static_cast<Incarnation>(i) + 2;
    fleet.simulation().Start(victim, settings);
    fleet.simulation().Run(seconds(30));
  }
  std::cout << nlohmann::json{{"bench", "membership_detection"},
                              {"hosts", hosts},
                              {"network", network.name},
                              {"seed", seed},
                              {"kills", kills},
                              {"first_p50_s", Quantile(first_detections, 0.5)},
                              {"first_p99_s", Quantile(first_detections, 0.99)},
                              {"each_p50_s", Quantile(all_detections, 0.5)},
                              {"each_p99_s", Quantile(all_detections, 0.99)},
                              {"each_max_s", Quantile(all_detections, 1)},
                              {"not_detected_in_30_s", undetected}}
            << std::endl;
}

// Counts suspicions and failures that hosts report although no host failed.
void MeasureFalseAlarms(int hosts, const Network& network, std::uint64_t seed,
                        Duration duration) {
  ConvergedFleet fleet(hosts, network, seed);
  std::map<MemberEventKind, int> counts;
  fleet.set_on_event([&](const std::string&, const MemberEvent& event) {
    ++counts[event.kind];
  });
  std::uint64_t sent_bytes = 0;
  for (auto& [name, host] : fleet.simulation().hosts()) host.sent_bytes = 0;
  fleet.simulation().Run(duration);
  for (auto& [name, host] : fleet.simulation().hosts())
    sent_bytes += host.sent_bytes;
  const double host_hours = hosts * ToSeconds(duration) / 3600;
  std::cout
      << nlohmann::json{{"bench", "membership_false_alarms"},
                        {"hosts", hosts},
                        {"network", network.name},
                        {"seed", seed},
                        {"minutes", ToSeconds(duration) / 60},
                        // Events are counted at every host that reports them,
                        // so one suspicion counts once for each other host.
                        {"suspicions_per_host_hour",
                         counts[MemberEventKind::kSuspected] / host_hours /
                             hosts},
                        {"failures_per_host_hour",
                         counts[MemberEventKind::kFailed] / host_hours / hosts},
                        {"failure_views", counts[MemberEventKind::kFailed]},
                        {"sent_bytes_per_host_s",
                         static_cast<double>(sent_bytes) / hosts /
                             ToSeconds(duration)}}
      << std::endl;
}

struct Cost {
  double hosts = 0;
  double bytes = 0;       // Sent and received per host and second.
  double core_share = 0;  // Share of a processor core that one host uses.
};

double SentAndReceived(FakeFleet& fleet) {
  double bytes = 0;
  for (const auto& [name, host] : fleet.hosts()) {
    bytes += static_cast<double>(host.sent_bytes + host.received_bytes);
  }
  return bytes;
}

// Measures the cost of a host in a fleet without faults, and then the time
// until a change of one host is known to the others.
Cost MeasureCost(int hosts, std::uint64_t seed, Duration duration) {
  ConvergedFleet fleet(hosts, kNetworks[0], seed);
  FakeFleet& simulation = fleet.simulation();
  const bool all_joined =
      simulation.AllHostsSee(static_cast<std::size_t>(hosts));
  const double bytes_before = SentAndReceived(simulation);
  const double cpu_seconds_before = CpuSeconds();
  simulation.Run(duration);
  Cost cost;
  cost.hosts = hosts;
  cost.core_share =
      (CpuSeconds() - cpu_seconds_before) / hosts / ToSeconds(duration);
  cost.bytes = (SentAndReceived(simulation) - bytes_before) / hosts /
               ToSeconds(duration);

  std::vector<double> change_delays;
  const Instant changed_at = simulation.now();
  fleet.set_on_event([&](const std::string&, const MemberEvent& event) {
    if (event.kind != MemberEventKind::kChanged) return;
    change_delays.push_back(ToSeconds(simulation.now() - changed_at));
  });
  const auto set_metadata_result =
      simulation["h0005"].SetMetadata("127.0.0.1:9443");
  simulation.Run(seconds(30));
  std::cout << nlohmann::json{{"bench", "membership_cost"},
                              {"hosts", hosts},
                              {"seed", seed},
                              {"joined_in_60_s", all_joined},
                              {"bytes_per_host_s", cost.bytes},
                              {"core_percent", 100 * cost.core_share},
                              {"change_set", set_metadata_result.has_value()},
                              {"change_p50_s", Quantile(change_delays, 0.5)},
                              {"change_p99_s", Quantile(change_delays, 0.99)},
                              {"change_max_s", Quantile(change_delays, 1)},
                              {"hosts_without_change",
                               hosts - 1 -
                                   static_cast<int>(change_delays.size())}}
            << std::endl;
  return cost;
}

// Fits y = a + b * x by least squares and prints a, b and R squared.
void PrintFit(const char* name, const std::vector<Cost>& costs,
              const std::function<double(const Cost&)>& x,
              const std::function<double(const Cost&)>& y) {
  const auto count = static_cast<double>(costs.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  double sum_yy = 0;
  for (const Cost& cost : costs) {
    sum_x += x(cost);
    sum_y += y(cost);
    sum_xx += x(cost) * x(cost);
    sum_xy += x(cost) * y(cost);
    sum_yy += y(cost) * y(cost);
  }
  const double var_x = sum_xx - sum_x * sum_x / count;
  const double var_y = sum_yy - sum_y * sum_y / count;
  const double cov = sum_xy - sum_x * sum_y / count;
  const double slope = cov / var_x;
  std::cout << nlohmann::json{{"bench", "membership_fit"},
                              {"fit", name},
                              {"intercept", (sum_y - slope * sum_x) / count},
                              {"slope", slope},
                              {"r_squared", cov * cov / (var_x * var_y)}}
            << std::endl;
}

// Measures fleets of all `sizes` and fits the costs over the number of hosts.
void MeasureCosts(const std::vector<int>& sizes, std::uint64_t seed) {
  std::vector<Cost> costs;
  costs.reserve(sizes.size());
  for (const int hosts : sizes) {
    costs.push_back(MeasureCost(hosts, seed, seconds(60)));
  }
  if (costs.size() < 3) return;
  const auto log_hosts = [](const Cost& cost) {
    return std::log10(cost.hosts);
  };
  const auto hosts = [](const Cost& cost) { return cost.hosts; };
  const auto bytes = [](const Cost& cost) { return cost.bytes; };
  const auto core_share = [](const Cost& cost) {
    return 100 * cost.core_share;
  };
  PrintFit("bytes_per_host_s over log10(hosts)", costs, log_hosts, bytes);
  PrintFit("bytes_per_host_s over hosts", costs, hosts, bytes);
  PrintFit("core_percent over log10(hosts)", costs, log_hosts, core_share);
  PrintFit("core_percent over hosts", costs, hosts, core_share);
}

}  // namespace
}  // namespace sapphirebank

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::uint64_t seed = 1;
  int hosts = 44;
  int kills = 40;
  int false_alarm_minutes = 30;
  std::vector<int> sizes;
  sapphirebank::MembershipSettings& base = sapphirebank::BaseSettings();
  auto period = base.probe_period / sapphirebank::milliseconds(1);
  auto timeout = base.probe_timeout / sapphirebank::milliseconds(1);
  options::options_description description("membership_bench");
  description.add_options()("seed", options::value(&seed)->default_value(seed),
                            "seed")(
      "hosts", options::value(&hosts)->default_value(hosts),
      "hosts for detection and false alarms")(
      "kills", options::value(&kills)->default_value(kills),
      "hosts killed for each network; 0 leaves detection out")(
      "minutes",
      options::value(&false_alarm_minutes)->default_value(false_alarm_minutes),
      "minutes watched for false alarms; 0 leaves them out")(
      "period-ms", options::value(&period)->default_value(period),
      "probe period in ms")("timeout-ms",
                            options::value(&timeout)->default_value(timeout),
                            "probe timeout in ms")(
      "suspicion",
      options::value(&base.suspicion_factor)
          ->default_value(base.suspicion_factor),
      "shortest suspicion in probe periods times log10(hosts)")(
      "sizes", options::value(&sizes)->multitoken(),
      "numbers of hosts for the costs; none leaves them out");
  if (!sapphirebank::ParseOptions(argc, argv, description)) return 0;
  base.probe_period = std::chrono::milliseconds(period);
  base.probe_timeout = std::chrono::milliseconds(timeout);
  for (const auto& network : sapphirebank::kNetworks) {
    if (kills > 0) {
      sapphirebank::MeasureDetection(hosts, network, seed, kills);
    }
    if (false_alarm_minutes > 0) {
      sapphirebank::MeasureFalseAlarms(
          hosts, network, seed, std::chrono::minutes(false_alarm_minutes));
    }
  }
  sapphirebank::MeasureCosts(sizes, seed);
}
