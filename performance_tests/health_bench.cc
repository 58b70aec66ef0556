// Measures how fast faults of backend servers are detected, with which false
// ejections and failed requests, and the processor time and memory of the
// decisions as the number of servers grows. Prints JSON lines.

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "sapphirebank/backend/backend_codec.h"
#include "unit_tests/backend/fault_script.h"

namespace sapphirebank::fake {
namespace {

constexpr double kSecondsPerHour = 3600;
// Operations per measurement, and the number of measurements of which the
// median is reported.
constexpr std::size_t kPlaceRounds = 200'000;
constexpr std::size_t kDecideRounds = 100;
constexpr std::size_t kTrials = 5;

// How servers are ejected: by the library, by the baseline, or not at all.
enum class Policy { kFleet, kConsecutive5, kNone };

const char* PolicyName(Policy policy) {
  switch (policy) {
    case Policy::kFleet:
      return "fleet";
    case Policy::kConsecutive5:
      return "consecutive-5";
    case Policy::kNone:
      return "none";
  }
  return "unknown";
}

// The baseline policy: each owner ejects a server on its own after five
// consecutive failures, for ten seconds times the number of ejections of the
// server so far.
class ConsecutiveFailureBaseline {
 public:
  explicit ConsecutiveFailureBaseline(Fleet& fleet)
      : servers_(fleet.servers.size()) {
    fleet.on_finish = [this](Fleet& simulated_fleet, std::size_t server,
                             bool success) {
      RecordAttempt(simulated_fleet, server, success);
    };
    fleet.local_verdicts = [this](Fleet& simulated_fleet,
                                  const WindowReport& report) {
      return VerdictsFor(simulated_fleet, report);
    };
  }

 private:
  static constexpr int kFailures = 5;
  static constexpr Duration kEjectionTime = std::chrono::seconds(10);

  struct ServerState {
    int consecutive_failures = 0;
    int ejections = 0;
    Instant ejected_until;
  };

  void RecordAttempt(Fleet& fleet, std::size_t server, bool success) {
    ServerState& state = servers_[server];
    state.consecutive_failures = success ? 0 : state.consecutive_failures + 1;
    if (state.consecutive_failures < kFailures ||
        state.ejected_until > fleet.now)
      return;
    state.consecutive_failures = 0;
    ++state.ejections;
    state.ejected_until = fleet.now + kEjectionTime * state.ejections;
    fleet.Report(fleet.owner_of[fleet.servers[server].zone]);
  }

  VerdictSet VerdictsFor(const Fleet& fleet, const WindowReport& report) {
    VerdictSet set;
    set.term = 1;
    set.key = report.key;
    set.owner_term = report.term;
    set.in_reply_to = report.sequence;
    set.ttl = std::chrono::seconds(4);
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (!(fleet.KeyOf(fleet.servers[i].zone) == report.key)) continue;
      if (servers_[i].ejected_until <= fleet.now) continue;
      set.verdicts.push_back({fleet.servers[i].id, VerdictKind::kEject,
                              VerdictCause::kFailures, 0,
                              servers_[i].ejected_until - fleet.now, 1});
    }
    return set;
  }

  std::vector<ServerState> servers_;
};

// Sums over all runs of one fault and policy. Request counts are of the time
// from the start of the fault on.
struct Totals {
  std::vector<double> detection_delays;  // Seconds.
  std::vector<double> limit_delays;      // Seconds.
  std::size_t runs = 0;
  double hours = 0;
  std::size_t false_ejections = 0;
  std::size_t true_ejections = 0;
  std::size_t finished = 0;
  std::size_t failed = 0;
  std::size_t slow = 0;
  std::size_t no_slot = 0;
  std::size_t floor_violations = 0;
  std::size_t crashing_request_runs = 0;
  std::size_t handovers = 0;
};

// Simulates one fault with one policy and adds the results to `totals`.
void SimulateFault(const FaultScript& script, Policy policy, std::uint64_t seed,
                   Totals& totals) {
  FleetSettings settings;
  settings.seed = seed;
  settings.with_coordinator = policy == Policy::kFleet;
  Fleet fleet(settings);
  Install(fleet, script);
  std::optional<ConsecutiveFailureBaseline> baseline;
  if (policy == Policy::kConsecutive5) baseline.emplace(fleet);
  fleet.RunUntil(kFaultStart);
  const std::size_t finished = fleet.finished;
  const std::size_t failed = fleet.failed;
  const std::size_t slow = fleet.slow;
  const std::size_t no_slot = fleet.refused_busy;
  fleet.RunUntil(kFaultStart + script.length);
  ++totals.runs;
  totals.hours += ToSeconds(kFaultStart + script.length) / kSecondsPerHour;
  if (fleet.detected) {
    totals.detection_delays.push_back(ToSeconds(*fleet.detected - kFaultStart));
  }
  if (fleet.limited) {
    totals.limit_delays.push_back(ToSeconds(*fleet.limited - kFaultStart));
  }
  for (const Change& change : fleet.changes) {
    if (!change.ejected) continue;
    ++(change.faulty ? totals.true_ejections : totals.false_ejections);
  }
  totals.finished += fleet.finished - finished;
  totals.failed += fleet.failed - failed;
  totals.slow += fleet.slow - slow;
  totals.no_slot += fleet.refused_busy - no_slot;
  totals.floor_violations += fleet.floor_violations;
  totals.crashing_request_runs += fleet.crashing_request_runs;
  totals.handovers += fleet.handovers;
}

// Returns `value` rounded to three decimal places.
double RoundToThousandths(double value) {
  constexpr double kScale = 1000;
  return std::round(value * kScale) / kScale;
}

// Sorts `values` and returns their median.
double Median(std::vector<double>& values) {
  std::sort(values.begin(), values.end());
  return values[(values.size() - 1) / 2];
}

void PrintFaultResult(const FaultScript& script, Policy policy, Totals totals) {
  nlohmann::ordered_json line;
  line["bench"] = "health";
  line["fault"] = script.name;
  line["policy"] = PolicyName(policy);
  line["runs"] = totals.runs;
  line["detected"] = totals.detection_delays.size();
  if (!totals.detection_delays.empty()) {
    line["detection_p50_s"] =
        RoundToThousandths(Median(totals.detection_delays));
    line["detection_worst_s"] =
        RoundToThousandths(totals.detection_delays.back());
  }
  if (!totals.limit_delays.empty()) {
    line["limited_p50_s"] = RoundToThousandths(Median(totals.limit_delays));
  }
  const auto finished = static_cast<double>(totals.finished);
  line["true_ejections"] = totals.true_ejections;
  line["false_ejections_per_hour"] = RoundToThousandths(
      static_cast<double>(totals.false_ejections) / totals.hours);
  line["failed_percent"] =
      RoundToThousandths(100 * static_cast<double>(totals.failed) / finished);
  line["slow_percent"] =
      RoundToThousandths(100 * static_cast<double>(totals.slow) / finished);
  line["no_slot_percent"] =
      RoundToThousandths(100 * static_cast<double>(totals.no_slot) / finished);
  line["floor_violation_ticks"] = totals.floor_violations;
  if (totals.crashing_request_runs > 0)
    line["killer_runs"] = totals.crashing_request_runs;
  if (totals.handovers > 0) line["handovers"] = totals.handovers;
  std::cout << line.dump() << "\n" << std::flush;
}

// A backend pool with `count` servers that are warmed up.
struct WarmPool {
  explicit WarmPool(std::size_t count, std::uint64_t seed)
      : pool(*BackendPool::Create(MakeSettings(seed))) {
    Declarations declarations;
    declarations.zones.push_back({key.zone, "kerala", true, {}});
    declarations.services.emplace_back().id = key.service;
    pool.SetPolicy(declarations);
    Handover handover;
    for (std::size_t i = 0; i < count; ++i) {
      handover.servers.push_back(
          {BackendId(fmt::format("server{}", i)), "1", 0, true});
    }
    pool.Adopt(now, key, 1, handover);
    for (std::size_t i = 0; i < count; ++i) {
      Announcement announcement;
      announcement.backend = handover.servers[i].backend;
      announcement.process_id = "1";
      announcement.key = key;
      announcement.address = {"10.0.0.1", 8000};
      announcement.slots = 3;
      announcement.max_connections = 400;
      (void)pool.Announce(now, announcement);
    }
  }

  static BackendPoolSettings MakeSettings(std::uint64_t seed) {
    BackendPoolSettings settings;
    settings.seed = seed;
    return settings;
  }

  Instant now{std::chrono::hours(1)};
  BackendKey key{ServiceId("permit"), ZoneId("kochi")};
  BackendPool pool;
};

// Returns random latencies around 20 ms, spread by a factor of up to e
// (about 2.7) in both directions.
std::vector<Duration> SpreadLatencies(std::uint64_t seed) {
  constexpr std::size_t kCount = 1024;
  Random random(seed);
  std::vector<Duration> latencies;
  latencies.reserve(kCount);
  for (std::size_t i = 0; i < kCount; ++i) {
    const double exponent = random.Unit() + random.Unit() - 1;
    latencies.push_back(FromSeconds(0.02 * std::exp(exponent)));
  }
  return latencies;
}

// Returns the mean time of placing and finishing a request, in microseconds, or
// 0 if a request could not be placed.
double MeasurePlacement(WarmPool& fixture, std::size_t rounds) {
  const std::vector<Duration> latencies = SpreadLatencies(rounds);
  PlaceRequest request;
  request.service = fixture.key.service;
  const auto started_at = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < rounds; ++i) {
    const auto placement = fixture.pool.Place(fixture.now, request);
    if (!placement || placement->status != PlacementStatus::kPlaced) return 0;
    fixture.pool.Finish(
        fixture.now, placement->attempt,
        {OutcomeKind::kSuccess, latencies[i % latencies.size()], 1000, false});
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - started_at;
  return elapsed.count() / static_cast<double>(rounds);
}

// Returns the mean time of adding a window report and deciding on it, in
// microseconds.
double MeasureDecision(WarmPool& fixture, const WindowReport& first_report,
                       std::size_t rounds) {
  ServiceHealthSettings settings;
  settings.service = fixture.key.service;
  Instant now = fixture.now;
  ServiceHealth health(settings, now);
  WindowReport report = first_report;
  const auto started_at = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < rounds; ++i) {
    now += std::chrono::seconds(1);
    ++report.sequence;
    (void)health.AddReport(now, report);
    (void)health.Decide(now);
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - started_at;
  return elapsed.count() / static_cast<double>(rounds);
}

void PrintScaling(std::size_t count, std::uint64_t seed) {
  const std::size_t heap_before = mallinfo2().uordblks;
  WarmPool fixture(count, seed);
  const std::size_t heap = mallinfo2().uordblks - heap_before;
  std::vector<double> trials;
  trials.reserve(kTrials);
  for (std::size_t i = 0; i < kTrials; ++i) {
    trials.push_back(MeasurePlacement(fixture, kPlaceRounds));
  }
  fixture.now += std::chrono::seconds(1);
  const auto reports = fixture.pool.CollectReports(fixture.now);
  const auto bytes = nlohmann::json::to_cbor(nlohmann::json(reports.front()));
  nlohmann::ordered_json line;
  line["bench"] = "health_slope";
  line["servers"] = count;
  line["place_finish_us_median"] = RoundToThousandths(Median(trials));
  line["place_finish_us_worst"] = RoundToThousandths(trials.back());
  line["report_bytes"] = bytes.size();
  line["report_bytes_per_server"] = bytes.size() / count;
  line["heap_bytes_per_server"] = heap / count;
  line["report_and_decide_us"] = RoundToThousandths(
      MeasureDecision(fixture, reports.front(), kDecideRounds));
  std::cout << line.dump() << "\n" << std::flush;
}

int Run(int argc, char** argv) {
  namespace options = boost::program_options;
  std::uint64_t seed = 1;
  std::uint64_t seeds = 20;
  std::string fault;
  options::options_description description("health_bench");
  description.add_options()("help", "print this")("seed", options::value(&seed),
                                                  "first seed (1)")(
      "seeds", options::value(&seeds), "runs of each fault (20)")(
      "fault", options::value(&fault),
      "one fault of the table, or \"slope\"; all when left out");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  if (fault.empty() || fault == "slope") {
    for (const std::size_t count : {5U, 50U, 500U}) PrintScaling(count, seed);
  }
  for (const FaultScript& script : FaultScripts()) {
    if (!fault.empty() && fault != script.name) continue;
    for (const Policy policy :
         {Policy::kFleet, Policy::kConsecutive5, Policy::kNone}) {
      Totals totals;
      for (std::uint64_t i = 0; i < seeds; ++i) {
        SimulateFault(script, policy, seed + i, totals);
      }
      PrintFaultResult(script, policy, std::move(totals));
    }
  }
  return 0;
}

}  // namespace
}  // namespace sapphirebank::fake

int main(int argc, char** argv) {
  try {
    return sapphirebank::fake::Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "health_bench: " << e.what() << "\n";
    return 2;
  }
}
