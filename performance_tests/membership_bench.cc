// Measures the decisions of Membership on a fake network in one process:
// detection time, false suspicions and failures, bytes and processor time of a
// host, and the spread of a change. Prints JSON lines.
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

constexpr std::uint64_t kCutScale = 1000;

// Faults of the network during a run.
struct Network {
  const char* name;
  double loss;
  // Of 1000 ordered pairs of hosts, those that cannot reach each other.
  std::uint64_t cut_pairs;
};

constexpr Network kNetworks[] = {{"good", 0, 0},
                                 {"1% loss", 0.01, 0},
                                 {"5% loss", 0.05, 0},
                                 {"5% of pairs cut one way", 0, 50}};

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// The settings that the options of the program choose.
MembershipSettings& BaseSettings() {
  static MembershipSettings settings;
  return settings;
}

MembershipSettings Settings() {
  MembershipSettings settings = BaseSettings();
  settings.seeds = FakeFleet::Seeds();
  settings.zone = ZoneId("thrissur");
  settings.metadata = "127.0.0.1:8443 127.0.0.1:7443";
  return settings;
}

// A fleet that found itself on a good network and then meets `network`.
class Fleet {
 public:
  Fleet(int hosts, const Network& network, std::uint64_t seed)
      : hosts_(hosts), fleet_(seed) {
    fleet_.StartMany(hosts, Settings());
    // From then on every answer to a probe carries a stamp.
    fleet_[FakeFleet::Name(0)].ObserveStamp(fleet_.now(),
                                            {1, Duration::zero()});
    fleet_.Run(seconds(60));
    fleet_.set_loss(network.loss);
    fleet_.set_passes([cut = network.cut_pairs](const std::string& from,
                                                const std::string& to) {
      return StableHash(from, StableHash(to)) % kCutScale >= cut;
    });
    fleet_.set_on_event(
        [this](const std::string& at, const MemberEvent& event) {
          if (on_event_) on_event_(at, event);
        });
  }

  FakeFleet& fleet() { return fleet_; }
  int hosts() const { return hosts_; }
  void set_on_event(FakeFleet::OnEvent on_event) {
    on_event_ = std::move(on_event);
  }

 private:
  int hosts_;
  FakeFleet fleet_;
  FakeFleet::OnEvent on_event_;
};

// Kills hosts one after the other, restarts each, and takes the time until
// the first and until each other host counts it as failed.
void MeasureDetection(int hosts, const Network& network, std::uint64_t seed,
                      int kills) {
  Fleet fleet(hosts, network, seed);
  Random random(seed);
  std::vector<double> first;
  std::vector<double> each;
  int missed = 0;
  for (int i = 0; i < kills; ++i) {
    const std::string victim =
        FakeFleet::Name(random.Below(static_cast<std::uint64_t>(hosts)));
    const Instant killed = fleet.fleet().now();
    std::vector<double> times;
    fleet.set_on_event([&](const std::string&, const MemberEvent& event) {
      if (event.kind != MemberEventKind::kFailed) return;
      if (event.member.id.value() != victim) return;
      times.push_back(ToSeconds(fleet.fleet().now() - killed));
    });
    fleet.fleet().Kill(victim);
    fleet.fleet().Run(seconds(30));
    missed += hosts - 1 - static_cast<int>(times.size());
    if (!times.empty()) {
      first.push_back(*std::min_element(times.begin(), times.end()));
    }
    each.insert(each.end(), times.begin(), times.end());
    fleet.set_on_event(nullptr);
    MembershipSettings settings = Settings();
    settings.incarnation = static_cast<Incarnation>(i) + 2;
    fleet.fleet().Start(victim, settings);
    fleet.fleet().Run(seconds(30));
  }
  std::cout << nlohmann::json{{"bench", "membership_detection"},
                              {"hosts", hosts},
                              {"network", network.name},
                              {"seed", seed},
                              {"kills", kills},
                              {"first_p50_s", Percentile(first, 0.5)},
                              {"first_p99_s", Percentile(first, 0.99)},
                              {"each_p50_s", Percentile(each, 0.5)},
                              {"each_p99_s", Percentile(each, 0.99)},
                              {"each_max_s", Percentile(each, 1)},
                              {"not_detected_in_30_s", missed}}
            << std::endl;
}

// Counts what is said of hosts that live.
void MeasureFalseAlarms(int hosts, const Network& network, std::uint64_t seed,
                        Duration time) {
  Fleet fleet(hosts, network, seed);
  std::map<MemberEventKind, int> counts;
  fleet.set_on_event([&](const std::string&, const MemberEvent& event) {
    ++counts[event.kind];
  });
  std::uint64_t sent = 0;
  for (auto& [name, host] : fleet.fleet().hosts()) host.sent_bytes = 0;
  fleet.fleet().Run(time);
  for (auto& [name, host] : fleet.fleet().hosts()) sent += host.sent_bytes;
  const double host_hours = hosts * ToSeconds(time) / 3600;
  std::cout
      << nlohmann::json{{"bench", "membership_false_alarms"},
                        {"hosts", hosts},
                        {"network", network.name},
                        {"seed", seed},
                        {"minutes", ToSeconds(time) / 60},
                        // Views: one suspicion is seen by every other host.
                        {"suspicions_per_host_hour",
                         counts[MemberEventKind::kSuspected] / host_hours /
                             hosts},
                        {"failures_per_host_hour",
                         counts[MemberEventKind::kFailed] / host_hours / hosts},
                        {"failure_views", counts[MemberEventKind::kFailed]},
                        {"sent_bytes_per_host_s",
                         static_cast<double>(sent) / hosts / ToSeconds(time)}}
      << std::endl;
}

struct Cost {
  double hosts = 0;
  double bytes = 0;  // Sent and received by one host in a second.
  double core = 0;   // Share of a core that one host takes.
};

double SentAndReceived(FakeFleet& fleet) {
  double bytes = 0;
  for (const auto& [name, host] : fleet.hosts()) {
    bytes += static_cast<double>(host.sent_bytes + host.received_bytes);
  }
  return bytes;
}

// Measures what a quiet host costs, and then the spread of a change.
Cost MeasureCost(int hosts, std::uint64_t seed, Duration time) {
  Fleet fleet(hosts, kNetworks[0], seed);
  FakeFleet& fake = fleet.fleet();
  const bool whole = fake.AllHostsSee(static_cast<std::size_t>(hosts));
  const double bytes_before = SentAndReceived(fake);
  const double core_before = ProcessorSeconds();
  fake.Run(time);
  Cost cost;
  cost.hosts = hosts;
  cost.core = (ProcessorSeconds() - core_before) / hosts / ToSeconds(time);
  cost.bytes = (SentAndReceived(fake) - bytes_before) / hosts / ToSeconds(time);

  std::vector<double> changes;
  const Instant changed = fake.now();
  fleet.set_on_event([&](const std::string&, const MemberEvent& event) {
    if (event.kind != MemberEventKind::kChanged) return;
    changes.push_back(ToSeconds(fake.now() - changed));
  });
  const auto set = fake["h0005"].SetMetadata("127.0.0.1:9443");
  fake.Run(seconds(30));
  std::cout << nlohmann::json{{"bench", "membership_cost"},
                              {"hosts", hosts},
                              {"seed", seed},
                              {"joined_in_60_s", whole},
                              {"bytes_per_host_s", cost.bytes},
                              {"core_percent", 100 * cost.core},
                              {"change_set", set.has_value()},
                              {"change_p50_s", Percentile(changes, 0.5)},
                              {"change_p99_s", Percentile(changes, 0.99)},
                              {"change_max_s", Percentile(changes, 1)},
                              {"hosts_without_change",
                               hosts - 1 - static_cast<int>(changes.size())}}
            << std::endl;
  return cost;
}

// Fits y = a + b * x by least squares and prints it with its fit.
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
  const auto core = [](const Cost& cost) { return 100 * cost.core; };
  PrintFit("bytes_per_host_s over log10(hosts)", costs, log_hosts, bytes);
  PrintFit("bytes_per_host_s over hosts", costs, hosts, bytes);
  PrintFit("core_percent over log10(hosts)", costs, log_hosts, core);
  PrintFit("core_percent over hosts", costs, hosts, core);
}

}  // namespace
}  // namespace sapphirebank

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::uint64_t seed = 1;
  int hosts = 44;
  int kills = 40;
  int quiet_minutes = 30;
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
      "minutes", options::value(&quiet_minutes)->default_value(quiet_minutes),
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
  if (!sapphirebank::ReadOptions(argc, argv, description)) return 0;
  base.probe_period = std::chrono::milliseconds(period);
  base.probe_timeout = std::chrono::milliseconds(timeout);
  for (const auto& network : sapphirebank::kNetworks) {
    if (kills > 0) {
      sapphirebank::MeasureDetection(hosts, network, seed, kills);
    }
    if (quiet_minutes > 0) {
      sapphirebank::MeasureFalseAlarms(hosts, network, seed,
                                       std::chrono::minutes(quiet_minutes));
    }
  }
  sapphirebank::MeasureCosts(sizes, seed);
}
