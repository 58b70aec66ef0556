// Measures how faults of backend servers are found and at what price, and what
// the decisions cost as the number of servers grows. Prints JSON lines.

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
// Rounds of one measurement, and measurements of which the median is told.
constexpr std::size_t kPlaceRounds = 200'000;
constexpr std::size_t kDecideRounds = 100;
constexpr std::size_t kTrials = 5;

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

// The baseline: each owner ejects a server for itself after five failures in a
// row, for ten seconds times the number of its ejections.
class Consecutive5 {
 public:
  explicit Consecutive5(Fleet& fleet) : servers_(fleet.servers.size()) {
    fleet.on_finish = [this](Fleet& f, std::size_t server, bool good) {
      Finish(f, server, good);
    };
    fleet.local_verdicts = [this](Fleet& f, const WindowReport& report) {
      return VerdictsFor(f, report);
    };
  }

 private:
  static constexpr int kFailures = 5;
  static constexpr Duration kEjectionTime = std::chrono::seconds(10);

  struct Record {
    int failures = 0;
    int ejections = 0;
    Instant until;
  };

  void Finish(Fleet& fleet, std::size_t server, bool good) {
    Record& record = servers_[server];
    record.failures = good ? 0 : record.failures + 1;
    if (record.failures < kFailures || record.until > fleet.now) return;
    record.failures = 0;
    ++record.ejections;
    record.until = fleet.now + kEjectionTime * record.ejections;
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
      if (servers_[i].until <= fleet.now) continue;
      set.verdicts.push_back({fleet.servers[i].id, VerdictKind::kEject,
                              VerdictCause::kFailures, 0,
                              servers_[i].until - fleet.now, 1});
    }
    return set;
  }

  std::vector<Record> servers_;
};

struct Totals {
  std::vector<double> detections;  // Seconds.
  std::vector<double> limits;      // Seconds.
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

void RunOnce(const FaultScript& script, Policy policy, std::uint64_t seed,
             Totals& totals) {
  FleetSettings settings;
  settings.seed = seed;
  settings.with_coordinator = policy == Policy::kFleet;
  Fleet fleet(settings);
  Install(fleet, script);
  std::optional<Consecutive5> baseline;
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
    totals.detections.push_back(ToSeconds(*fleet.detected - kFaultStart));
  }
  if (fleet.limited) {
    totals.limits.push_back(ToSeconds(*fleet.limited - kFaultStart));
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

// Returns `value` with three digits after the point.
double Rounded(double value) {
  constexpr double kScale = 1000;
  return std::round(value * kScale) / kScale;
}

double MedianOf(std::vector<double>& values) {
  std::sort(values.begin(), values.end());
  return values[(values.size() - 1) / 2];
}

void PrintFault(const FaultScript& script, Policy policy, Totals totals) {
  nlohmann::ordered_json line;
  line["bench"] = "health";
  line["fault"] = script.name;
  line["policy"] = PolicyName(policy);
  line["runs"] = totals.runs;
  line["detected"] = totals.detections.size();
  if (!totals.detections.empty()) {
    line["detection_p50_s"] = Rounded(MedianOf(totals.detections));
    line["detection_worst_s"] = Rounded(totals.detections.back());
  }
  if (!totals.limits.empty()) {
    line["limited_p50_s"] = Rounded(MedianOf(totals.limits));
  }
  const auto finished = static_cast<double>(totals.finished);
  line["true_ejections"] = totals.true_ejections;
  line["false_ejections_per_hour"] =
      Rounded(static_cast<double>(totals.false_ejections) / totals.hours);
  line["failed_percent"] =
      Rounded(100 * static_cast<double>(totals.failed) / finished);
  line["slow_percent"] =
      Rounded(100 * static_cast<double>(totals.slow) / finished);
  line["no_slot_percent"] =
      Rounded(100 * static_cast<double>(totals.no_slot) / finished);
  line["floor_violation_ticks"] = totals.floor_violations;
  if (totals.crashing_request_runs > 0)
    line["killer_runs"] = totals.crashing_request_runs;
  if (totals.handovers > 0) line["handovers"] = totals.handovers;
  std::cout << line.dump() << "\n" << std::flush;
}

// One pool with `count` warm servers.
struct Pool {
  explicit Pool(std::size_t count, std::uint64_t seed)
      : pool(*BackendPool::Create(SettingsOf(seed))) {
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

  static BackendPoolSettings SettingsOf(std::uint64_t seed) {
    BackendPoolSettings settings;
    settings.seed = seed;
    return settings;
  }

  Instant now{std::chrono::hours(1)};
  BackendKey key{ServiceId("permit"), ZoneId("kochi")};
  BackendPool pool;
};

// Returns latencies as a service has them, spread by a factor of about three.
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

double MeasurePlacement(Pool& fixture, std::size_t rounds) {
  const std::vector<Duration> latencies = SpreadLatencies(rounds);
  PlaceRequest request;
  request.service = fixture.key.service;
  const auto began = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < rounds; ++i) {
    const auto placed = fixture.pool.Place(fixture.now, request);
    if (!placed || placed->status != PlacementStatus::kPlaced) return 0;
    fixture.pool.Finish(
        fixture.now, placed->attempt,
        {OutcomeKind::kSuccess, latencies[i % latencies.size()], 1000, false});
  }
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - began;
  return spent.count() / static_cast<double>(rounds);
}

double MeasureDecide(Pool& fixture, const WindowReport& first,
                     std::size_t rounds) {
  ServiceHealthSettings settings;
  settings.service = fixture.key.service;
  Instant now = fixture.now;
  ServiceHealth health(settings, now);
  WindowReport report = first;
  const auto began = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < rounds; ++i) {
    now += std::chrono::seconds(1);
    ++report.sequence;
    (void)health.AddReport(now, report);
    (void)health.Decide(now);
  }
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - began;
  return spent.count() / static_cast<double>(rounds);
}

void PrintSlope(std::size_t count, std::uint64_t seed) {
  const std::size_t heap_before = mallinfo2().uordblks;
  Pool fixture(count, seed);
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
  line["place_finish_us_median"] = Rounded(MedianOf(trials));
  line["place_finish_us_worst"] = Rounded(trials.back());
  line["report_bytes"] = bytes.size();
  line["report_bytes_per_server"] = bytes.size() / count;
  line["heap_bytes_per_server"] = heap / count;
  line["report_and_decide_us"] =
      Rounded(MeasureDecide(fixture, reports.front(), kDecideRounds));
  std::cout << line.dump() << "\n" << std::flush;
}

int Run(int argc, char** argv) {
  namespace options = boost::program_options;
  std::uint64_t seed = 1;
  std::uint64_t seeds = 20;
  std::string fault;
  options::options_description described("health_bench");
  described.add_options()("help", "print this")("seed", options::value(&seed),
                                                "first seed (1)")(
      "seeds", options::value(&seeds), "runs of each fault (20)")(
      "fault", options::value(&fault),
      "one fault of the table, or \"slope\"; all when left out");
  options::variables_map given;
  options::store(options::parse_command_line(argc, argv, described), given);
  options::notify(given);
  if (given.contains("help")) {
    std::cout << described;
    return 0;
  }
  if (fault.empty() || fault == "slope") {
    for (const std::size_t count : {5U, 50U, 500U}) PrintSlope(count, seed);
  }
  for (const FaultScript& script : FaultScripts()) {
    if (!fault.empty() && fault != script.name) continue;
    for (const Policy policy :
         {Policy::kFleet, Policy::kConsecutive5, Policy::kNone}) {
      Totals totals;
      for (std::uint64_t i = 0; i < seeds; ++i) {
        RunOnce(script, policy, seed + i, totals);
      }
      PrintFault(script, policy, std::move(totals));
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
