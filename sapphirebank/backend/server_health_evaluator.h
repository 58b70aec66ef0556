#pragma once

#include <cstdint>
#include <string>

#include "sapphirebank/backend/peer_baseline.h"
#include "sapphirebank/backend/sequential_test.h"
#include "sapphirebank/backend/verdict.h"
#include "sapphirebank/backend/window_report.h"

namespace sapphirebank {

// Statistics of the peers of a backend server in the same window.
struct PeerBaseline {
  double failure_share = 0;
  // Latency above which an answer is slow; zero if unknown.
  Duration slow_threshold = Duration::zero();
  double slow_share = 0;
  // Share of the servers with stuck requests.
  double stuck_share = 0;
};

// Collects the coordinator's evidence about one backend server and computes its
// health score.
class ServerHealthEvaluator {
 public:
  // Score, in nats, from which a server is ejected.
  static constexpr double kThreshold = 14;

  ServerHealthEvaluator() = default;
  ServerHealthEvaluator(Instant now, const ServerWindow& window);

  // Adds a window reported by the owner.
  void AddWindow(Instant now, const ServerWindow& window);

  // Returns the numbers of failed and of finished requests since the last
  // Evaluate.
  EventCount Failures() const;

  // Returns the numbers of slow answers and of all answers since the last
  // Evaluate.
  EventCount SlowAnswers(Duration slow_threshold) const;

  // Returns whether more than one request, or the only one, is overdue.
  bool HasStuckRequests() const;

  // Returns the recent median latency, or zero if there are too few answers.
  Duration MedianLatency() const;

  // Updates the score with the events since the last call, compared with those
  // of the peers.
  void Evaluate(Instant now, const PeerBaseline& baseline);

  // Clears the evidence, as after an ejection, and restarts with `score`.
  void Reset(double score);

  // Clears the evidence of crashes that were caused by a request.
  void DropCrashEvidence();

  // Returns the evidence that the server is faulty, in nats.
  double score() const { return score_; }

  // Returns the kind of evidence with the largest weight.
  VerdictCause cause() const { return cause_; }

  // Ranks servers by how badly they serve; larger is worse.
  double severity() const { return severity_; }

  BackendState state() const { return latest_.state; }
  const ServerWindow& latest() const { return latest_; }

 private:
  bool InColdGrace(Instant now) const;
  void UpdateScore(const PeerBaseline& baseline);

  ServerWindow latest_;   // Current values of the latest report.
  ServerWindow events_;   // Sums since the last Evaluate.
  LatencySketch recent_;  // Decays with each Evaluate.
  SequentialTest failures_;
  SequentialTest slowness_;
  double crash_score_ = 0;
  std::uint32_t consecutive_bad_probes_ = 0;
  Instant cold_since_;
  Instant process_since_;
  Instant fresh_failure_at_;
  double score_ = 0;
  double severity_ = 0;
  VerdictCause cause_ = VerdictCause::kFailures;
};

}  // namespace sapphirebank
