// Measures the queue waits and refusals of the worst-served workspace while
// another one floods a service with few slots, with FairQueue and with a single
// queue in order of arrival. Prints one JSON line for each run and one for each
// policy and case.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>
#include <string>
#include <vector>

#include "performance_tests/bench_support.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/request/fair_queue.h"

namespace sapphirebank {
namespace {

constexpr int kSlots = 75;  // 25 backend servers with 3 slots each.
constexpr int kWorkspaces = 8;
constexpr double kMeanServiceSeconds = 0.1;
constexpr double kNormalRate = 60;  // Requests per second of a workspace.
constexpr Duration kRunTime = std::chrono::seconds(120);
constexpr Duration kDeadline = std::chrono::seconds(10);

// How the load of the first workspace differs from that of the others.
struct FloodCase {
  const char* name;
  double rate_factor;
  double service_time_factor;
};

constexpr FloodCase kFloodCases[] = {{"no flood", 1, 1},
                                     {"ten times the rate", 10, 1},
                                     {"long requests", 1, 10}};

struct Arrival {
  int workspace = 0;
  Instant at;
  Duration service_time;
};

struct Event {
  Instant at;
  // The workspace that sends its next request, or -1 if a request finishes and
  // releases its slot.
  int workspace = -1;
  // The request that finishes.
  QueueToken token = 0;

  // The priority queue returns the earliest event first.
  bool operator<(const Event& other) const { return at > other.at; }
};

// Results of one workspace in one run.
struct WorkspaceResult {
  std::vector<double> waits_ms;
  std::map<std::string, int> refused_by_kind;
  int sent = 0;

  int RefusedCount() const {
    int count = 0;
    for (const auto& [kind, kind_count] : refused_by_kind) count += kind_count;
    return count;
  }
  double RefusedShare() const {
    return static_cast<double>(RefusedCount()) / std::max(sent, 1);
  }
};

Duration Exponential(Random& random, double mean_seconds) {
  return FromSeconds(-mean_seconds * std::log(1 - random.Unit()));
}

// Simulates one queue policy with one seeded sequence of requests.
class QueueSimulation {
 public:
  QueueSimulation(bool use_fair_queue, const FloodCase& flood_case,
                  std::uint64_t seed)
      : use_fair_queue_(use_fair_queue),
        flood_case_(flood_case),
        random_(seed),
        results_(kWorkspaces) {
    FairQueueSettings settings;
    if (!use_fair_queue) settings.workspace_limit = settings.limit;
    queue_.emplace(*FairQueue::Create(settings));
  }

  const std::vector<WorkspaceResult>& Simulate() {
    for (int workspace = 0; workspace < kWorkspaces; ++workspace)
      ScheduleArrival(workspace, Instant());
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      RefuseExpired(event.at);
      if (event.workspace >= 0) {
        HandleArrival(event);
      } else {
        ReleaseSlot(event.token);
      }
      StartQueuedRequests(event.at);
    }
    return results_;
  }

 private:
  void ScheduleArrival(int workspace, Instant now) {
    const double factor = workspace == 0 ? flood_case_.rate_factor : 1;
    const Instant at = now + Exponential(random_, 1 / (kNormalRate * factor));
    if (at < Instant(kRunTime)) events_.push({at, workspace, 0});
  }

  void HandleArrival(const Event& event) {
    ScheduleArrival(event.workspace, event.at);
    const double factor =
        event.workspace == 0 ? flood_case_.service_time_factor : 1;
    const QueueToken token = arrivals_.size();
    arrivals_.push_back({event.workspace, event.at,
                         Exponential(random_, kMeanServiceSeconds * factor)});
    ++results_[event.workspace].sent;
    // With all requests in one workspace, FairQueue serves in order of arrival.
    const int key = use_fair_queue_ ? event.workspace : 0;
    const auto pushed = queue_->Push(event.at, WorkspaceId(std::to_string(key)),
                                     1, event.at + kDeadline, token);
    if (!pushed) {
      RecordRefusal(token, pushed.error().kind);
    } else if (*pushed) {
      RecordRefusal(**pushed, ErrorKind::kQueueFull);
    }
  }

  // With all requests in one workspace, FairQueue serves in order of arrival.
  WorkspaceId QueueKey(int workspace) const {
    return WorkspaceId(std::to_string(use_fair_queue_ ? workspace : 0));
  }

  void ReleaseSlot(QueueToken token) {
    const Arrival& arrival = arrivals_[token];
    queue_->Finish(QueueKey(arrival.workspace), arrival.service_time);
    --busy_slots_;
  }

  void StartQueuedRequests(Instant now) {
    while (busy_slots_ < kSlots) {
      const auto token = queue_->Pop(now);
      if (!token) return;
      const Arrival& arrival = arrivals_[*token];
      results_[arrival.workspace].waits_ms.push_back(
          1000 * ToSeconds(now - arrival.at));
      ++busy_slots_;
      events_.push({now + arrival.service_time, -1, *token});
    }
  }

  void RefuseExpired(Instant now) {
    for (const QueueRefusal& refusal : queue_->ExpireDue(now)) {
      RecordRefusal(refusal.token, refusal.kind);
    }
  }

  void RecordRefusal(QueueToken token, ErrorKind kind) {
    ++results_[arrivals_[token].workspace]
          .refused_by_kind[std::string(AnswerFor(kind).name)];
  }

  bool use_fair_queue_;
  const FloodCase& flood_case_;
  Random random_;
  std::optional<FairQueue> queue_;
  std::vector<Arrival> arrivals_;
  std::priority_queue<Event> events_;
  std::vector<WorkspaceResult> results_;
  int busy_slots_ = 0;
};

// Worst values among the workspaces that stay within the normal rate. The
// values may be from different workspaces.
struct WorstResults {
  double p50_ms = 0;
  double p99_ms = 0;
  double refused_share = 0;
};

WorstResults WorstOfOtherWorkspaces(
    const std::vector<WorkspaceResult>& results) {
  WorstResults worst;
  for (std::size_t workspace = 1; workspace < results.size(); ++workspace) {
    const WorkspaceResult& result = results[workspace];
    worst.p50_ms = std::max(worst.p50_ms, Quantile(result.waits_ms, 0.5));
    worst.p99_ms = std::max(worst.p99_ms, Quantile(result.waits_ms, 0.99));
    worst.refused_share = std::max(worst.refused_share, result.RefusedShare());
  }
  return worst;
}

nlohmann::json MinMedianMax(const std::vector<double>& values) {
  return {{"min", Quantile(values, 0)},
          {"median", Quantile(values, 0.5)},
          {"max", Quantile(values, 1)}};
}

void MeasureCase(bool use_fair_queue, const FloodCase& flood_case,
                 std::uint64_t first_seed, int seeds) {
  const char* policy = use_fair_queue ? "fair_queue" : "fifo";
  std::vector<double> p99s;
  std::vector<double> refused_shares;
  std::vector<double> first_refused_shares;
  for (int i = 0; i < seeds; ++i) {
    const std::uint64_t seed = first_seed + static_cast<std::uint64_t>(i);
    QueueSimulation simulation(use_fair_queue, flood_case, seed);
    const std::vector<WorkspaceResult>& results = simulation.Simulate();
    const WorstResults worst = WorstOfOtherWorkspaces(results);
    p99s.push_back(worst.p99_ms);
    refused_shares.push_back(worst.refused_share);
    first_refused_shares.push_back(results[0].RefusedShare());
    std::cout << nlohmann::json{{"bench", "fairness"},
                                {"case", flood_case.name},
                                {"policy", policy},
                                {"seed", seed},
                                {"worst_p50_wait_ms", worst.p50_ms},
                                {"worst_p99_wait_ms", worst.p99_ms},
                                {"worst_refused_share", worst.refused_share},
                                {"first_refused_share",
                                 first_refused_shares.back()},
                                {"first_refused", results[0].refused_by_kind}}
              << '\n';
  }
  std::cout << nlohmann::json{{"bench", "fairness_summary"},
                              {"case", flood_case.name},
                              {"policy", policy},
                              {"seeds", seeds},
                              {"worst_p99_wait_ms", MinMedianMax(p99s)},
                              {"worst_refused_share",
                               MinMedianMax(refused_shares)},
                              {"first_refused_share",
                               MinMedianMax(first_refused_shares)}}
            << '\n';
}

}  // namespace
}  // namespace sapphirebank

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::uint64_t seed = 1;
  int seeds = 10;
  options::options_description description("fairness_bench");
  description.add_options()("seed", options::value(&seed)->default_value(seed),
                            "first seed")(
      "seeds", options::value(&seeds)->default_value(seeds), "number of runs");
  if (!sapphirebank::ParseOptions(argc, argv, description)) return 0;
  for (const sapphirebank::FloodCase& flood_case : sapphirebank::kFloodCases) {
    for (const bool use_fair_queue : {true, false}) {
      sapphirebank::MeasureCase(use_fair_queue, flood_case, seed, seeds);
    }
  }
}
