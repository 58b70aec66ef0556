// Compares policies that enforce a workspace's rate over a fleet of hosts: the
// leased shares of the library, with and without a reserve, a static split and
// a central bucket. Prints a JSON line for each policy and scenario over all
// seeds. Time is simulated, so the results are the same on every machine. With
// --slopes it measures processor time, bytes and memory on this machine
// instead.

#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>

#include "performance_tests/rate_policies.h"
#include "performance_tests/rate_slopes.h"

namespace sapphirebank::rate_bench {
namespace {

// Time without an owner after a crash, in microseconds: a lease of 3 s or 1 s
// expires, and another host acquires the next one.
constexpr std::int64_t kLeaseGap = 3 * kSecond + 200'000;
constexpr std::int64_t kShortLeaseGap = 1 * kSecond + 200'000;

// Tolerance for rounding errors in sums of tokens.
constexpr double kRounding = 1e-6;

// Metrics of one simulation.
struct RunMetrics {
  // Refused share of the requests that the reference bucket admits, over all
  // workspaces within their rate, and of the worst of them.
  double wrongful_refusals = 0;
  double wrongful_refusals_worst = 0;
  // Share by which the workspace at ten times its rate has fewer requests
  // admitted than by the reference bucket.
  double shortfall = 0;
  // Share of the requests that waited, and their waits. Workspaces within their
  // rate only.
  double waited_share = 0;
  double wait_p50_ms = 0;
  double wait_p99_ms = 0;
  double messages = 0;   // Per second and host.
  double bytes = 0;      // Per second and host.
  double overshoot = 0;  // Tokens above the limit, of the worst workspace.
};

// Sorts `values` (microseconds) and returns their quantile in milliseconds.
double QuantileMs(std::vector<std::int64_t>& values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1));
  return static_cast<double>(values[index]) / 1000;
}

// Returns the tokens above rate * window + burst in the worst window.
double Overshoot(std::vector<std::int64_t> admitted, const RateLimit& limit) {
  std::sort(admitted.begin(), admitted.end());
  double excess_tokens = 0;
  double worst = 0;
  std::int64_t last_admitted = 0;
  for (const std::int64_t at : admitted) {
    const double refill =
        static_cast<double>(at - last_admitted) / kSecond * limit.rate;
    excess_tokens = std::max(0.0, excess_tokens - refill) + 1;
    last_admitted = at;
    worst = std::max(worst, excess_tokens - limit.burst);
  }
  return worst < kRounding ? 0 : worst;
}

RunMetrics ComputeMetrics(const std::vector<Request>& requests,
                          const SimulationResult& result, std::size_t hosts,
                          std::int64_t length) {
  const std::vector<WorkspaceLoad> loads = Workspaces();
  struct Counts {
    double ideal = 0;
    double refused = 0;  // Although the reference bucket admits the request.
    std::vector<std::int64_t> admitted;
  };
  std::vector<Counts> counts(loads.size());
  std::vector<std::int64_t> waits;
  // Requests of the workspaces within their rate.
  double requests_within_rate = 0;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const RequestOutcome& outcome = result.outcomes[i];
    Counts& count = counts[requests[i].workspace];
    count.ideal += requests[i].admitted_by_ideal ? 1 : 0;
    if (outcome.admitted) count.admitted.push_back(outcome.at);
    if (requests[i].admitted_by_ideal && !outcome.admitted) ++count.refused;
    if (loads[requests[i].workspace].demand > 1) continue;
    ++requests_within_rate;
    if (outcome.wait_time > 0) waits.push_back(outcome.wait_time);
  }
  RunMetrics metrics;
  double ideal = 0;
  double refused = 0;
  for (std::size_t workspace = 0; workspace < loads.size(); ++workspace) {
    const Counts& count = counts[workspace];
    metrics.overshoot = std::max(
        metrics.overshoot, Overshoot(count.admitted, loads[workspace].limit));
    if (loads[workspace].demand > 1) {
      const auto admitted = static_cast<double>(count.admitted.size());
      metrics.shortfall = std::max(0.0, 1 - admitted / count.ideal);
      continue;
    }
    ideal += count.ideal;
    refused += count.refused;
    metrics.wrongful_refusals_worst =
        std::max(metrics.wrongful_refusals_worst, count.refused / count.ideal);
  }
  metrics.wrongful_refusals = refused / ideal;
  metrics.waited_share =
      static_cast<double>(waits.size()) / requests_within_rate;
  metrics.wait_p50_ms = QuantileMs(waits, 0.5);
  metrics.wait_p99_ms = QuantileMs(waits, 0.99);
  const double scale =
      static_cast<double>(hosts) * static_cast<double>(length) / kSecond;
  metrics.messages = static_cast<double>(result.messages) / scale;
  metrics.bytes = static_cast<double>(result.bytes) / scale;
  return metrics;
}

// Prints the mean of each metric over the seeds, and the worst value of some.
void PrintResult(const std::string& policy, const Scenario& scenario,
                 const std::vector<RunMetrics>& runs) {
  const auto mean = [&](double RunMetrics::*field) {
    double sum = 0;
    for (const RunMetrics& run : runs) sum += run.*field;
    return sum / static_cast<double>(runs.size());
  };
  const auto worst = [&](double RunMetrics::*field) {
    double value = 0;
    for (const RunMetrics& run : runs) value = std::max(value, run.*field);
    return value;
  };
  const nlohmann::ordered_json line = {
      {"policy", policy},
      {"scenario", scenario.name},
      {"seeds", runs.size()},
      {"wrongful_share", mean(&RunMetrics::wrongful_refusals)},
      {"wrongful_share_worst_seed", worst(&RunMetrics::wrongful_refusals)},
      {"wrongful_share_worst_workspace",
       mean(&RunMetrics::wrongful_refusals_worst)},
      {"crowding_shortfall", mean(&RunMetrics::shortfall)},
      {"waited_share", mean(&RunMetrics::waited_share)},
      {"wait_p50_ms", mean(&RunMetrics::wait_p50_ms)},
      {"wait_p99_ms", mean(&RunMetrics::wait_p99_ms)},
      {"messages_per_second_and_host", mean(&RunMetrics::messages)},
      {"bytes_per_second_and_host", mean(&RunMetrics::bytes)},
      {"overshoot_worst_seed", worst(&RunMetrics::overshoot)}};
  std::cout << line.dump() << std::endl;
}

void ComparePolicies(const Scenario& scenario, std::uint64_t first_seed,
                     std::size_t seeds, std::size_t hosts,
                     std::int64_t length) {
  RateSettings without_reserve;
  without_reserve.reserve_hosts = static_cast<std::uint32_t>(hosts);
  RateSettings with_reserve = without_reserve;
  with_reserve.reserve = 0.25;
  std::map<std::string, std::vector<RunMetrics>> metrics;
  for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
    const auto requests = GenerateRequests(seed, hosts, length);
    const auto add = [&](const std::string& policy,
                         const SimulationResult& result) {
      metrics[policy].push_back(
          ComputeMetrics(requests, result, hosts, length));
    };
    add("static-split", SimulateStaticSplit(requests, hosts));
    add("central-bucket",
        SimulateCentralBucket(requests, scenario, without_reserve));
    add("leased-shares",
        LeasedSharesSimulation(requests, hosts, scenario, without_reserve)
            .Simulate(length));
    add("leased-shares-reserve-25",
        LeasedSharesSimulation(requests, hosts, scenario, with_reserve)
            .Simulate(length));
  }
  for (const auto& [policy, runs] : metrics)
    PrintResult(policy, scenario, runs);
}

void MeasureScaling() {
  for (const std::size_t keys : {100, 1000, 9000}) MeasureLeaseScaling(keys);
  for (const std::size_t hosts : {44, 400, 1700})
    MeasurePlannerScaling(9000, hosts);
  for (const std::size_t active : {100, 1000, 10000})
    MeasureRateScaling(active);
}

int Main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::uint64_t seed = 1;
  std::size_t seeds = 10;
  std::size_t hosts = 44;
  std::int64_t seconds = 20;
  bool steady_only = false;
  bool slopes = false;
  options::options_description description("rate_bench");
  description.add_options()("help", "print this text")(
      "seed", options::value(&seed), "first seed")(
      "seeds", options::value(&seeds), "number of seeds")(
      "hosts", options::value(&hosts), "number of entry hosts")(
      "seconds", options::value(&seconds), "simulated time of a run")(
      "steady-only", options::bool_switch(&steady_only),
      "leave out lost owners")(
      "slopes", options::bool_switch(&slopes),
      "measure processor time, bytes and memory as sizes grow instead");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  if (slopes) {
    MeasureScaling();
    return 0;
  }
  const std::int64_t length = seconds * kSecond;
  ComparePolicies({"steady", -1, -1}, seed, seeds, hosts, length);
  if (steady_only) return 0;
  ComparePolicies({"owner lost", length / 2, length / 2 + kLeaseGap}, seed,
                  seeds, hosts, length);
  ComparePolicies(
      {"owner lost, lease of 1 s", length / 2, length / 2 + kShortLeaseGap},
      seed, seeds, hosts, length);
  // A released lease is acquired in two round trips.
  ComparePolicies({"owner leaves", length / 2, length / 2 + 4 * kOneWayDelay},
                  seed, seeds, hosts, length);
  return 0;
}

}  // namespace
}  // namespace sapphirebank::rate_bench

int main(int argc, char** argv) {
  try {
    return sapphirebank::rate_bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "rate_bench: " << error.what() << '\n';
    return 1;
  }
}
