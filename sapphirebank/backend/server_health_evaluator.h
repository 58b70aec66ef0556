#pragma once

#include <cstdint>
#include <string>

#include "sapphirebank/backend/peer_baseline.h"
#include "sapphirebank/backend/sequential_test.h"
#include "sapphirebank/backend/verdict.h"
#include "sapphirebank/backend/window_report.h"

namespace sapphirebank {

// What the peers of a backend server did in the same window.
struct PeerBaseline {
  double failure_share = 0;
  // Latency above which an answer is slow; zero when that is not known.
  Duration slow_threshold = Duration::zero();
  double slow_share = 0;
  // Share of the servers whose requests do not end.
  double stuck_share = 0;
};

// The coordinator's evidence about one backend server.
class ServerHealthEvaluator {
 public:
  // Evidence, in nats, at which a server is ejected.
  static constexpr double kThreshold = 14;

  ServerHealthEvaluator() = default;
  ServerHealthEvaluator(Instant now, const ServerWindow& window);

  // Takes an owner's window.
  void AddWindow(Instant now, const ServerWindow& window);

  // Returns the finished requests since the last Judge, and the failed ones.
  EventCount Failures() const;

  // Returns the answers since the last Judge, and the slow ones.
  EventCount SlowAnswers(Duration slow_threshold) const;

  // Returns whether more than one request, or all, do not end.
  bool HasStuckRequests() const;

  // Returns the usual latency of late, or zero when too little is known.
  Duration MedianLatency() const;

  // Judges what came in since the last call against the peers.
  void Evaluate(Instant now, const PeerBaseline& baseline);

  // Forgets the evidence, as after an ejection. `score` remains against it.
  void Reset(double score);

  // Forgets the evidence of crashes that a request caused.
  void DropCrashEvidence();

  // Returns the evidence against the server, in nats.
  double score() const { return score_; }

  // Returns the kind of evidence that weighs most.
  VerdictCause cause() const { return cause_; }

  // Orders servers by how badly they serve; larger is worse.
  double severity() const { return severity_; }

  BackendState state() const { return latest_.state; }
  const ServerWindow& latest() const { return latest_; }

 private:
  bool InColdGrace(Instant now) const;
  void UpdateScore(const PeerBaseline& baseline);

  ServerWindow latest_;   // Levels of the latest report.
  ServerWindow events_;   // Sums since the last Judge.
  LatencySketch recent_;  // Fades.
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
