#include "sapphirebank/backend/server_health_evaluator.h"

#include <algorithm>

namespace sapphirebank {
namespace {

// Lower bounds of the assumed shares of bad events among the peers.
constexpr double kMinFailureShare = 0.02;
constexpr double kMinSlowShare = 0.05;
// Above this share of bad events the service as a whole is impaired, and no
// single server is at fault. The evidence then decays by the factor below.
constexpr double kServiceWideShare = 0.5;
constexpr double kServiceWideDecay = 0.5;
// Weight, in nats, of a refused connection and of a stuck request: both are far
// rarer on a healthy server than other failures.
constexpr double kStrongEvidenceWeight = 7;
// Weight of one crash, in nats, and the factor by which crash evidence decays
// with each evaluation.
constexpr double kCrashWeight = 4;
constexpr double kCrashDecay = 0.97;
// Above this multiple of the slow threshold, an answer counts with the
// additional weight below, also on a cold server.
constexpr int kVerySlowRatio = 10;
constexpr double kVerySlowWeight = 5;
// Time after a failure on a new connection during which time-outs on old
// connections count. Otherwise the old connections rather than the server may
// be at fault.
constexpr Duration kFreshFailureWindow = std::chrono::seconds(30);
// Time for which slow answers of a cold server do not count: after a new
// process, and after any other cold start.
constexpr Duration kNewProcessGrace = std::chrono::seconds(30);
constexpr Duration kColdGrace = std::chrono::seconds(15);
constexpr double kLatencyDecay = 0.7;
constexpr double kMinLatencies = 5;

}  // namespace

ServerHealthEvaluator::ServerHealthEvaluator(Instant now,
                                             const ServerWindow& window)
    : latest_(window), cold_since_(now), process_since_(now) {
  fresh_failure_at_ = now - kFreshFailureWindow;
}

void ServerHealthEvaluator::AddWindow(Instant now, const ServerWindow& window) {
  if (window.process_id != latest_.process_id) {
    process_since_ = now;
    Reset(0);
  }
  if (window.state == BackendState::kCold &&
      latest_.state != BackendState::kCold) {
    cold_since_ = now;
    // The slow answers before it are explained by the cold start.
    slowness_.Reset();
  }
  latest_ = window;
  if (window.probes_good > 0) consecutive_bad_probes_ = 0;
  consecutive_bad_probes_ += window.probes_bad;
  if (!AcceptsRequests(window.state)) return;
  const bool fresh_failure =
      window.timeouts_fresh + window.refused + window.overdue_fresh > 0 ||
      (window.probes_bad > 0 && window.probes_good == 0);
  if (fresh_failure) fresh_failure_at_ = now;
  events_.successes += window.successes;
  events_.http_errors += window.http_errors;
  events_.timeouts_fresh += window.timeouts_fresh;
  events_.timeouts_old += window.timeouts_old;
  events_.refused += window.refused;
  events_.lost_connections += window.lost_connections;
  events_.crashes += window.crashes;
  events_.latency.Merge(window.latency);
  recent_.Merge(window.latency);
}

EventCount ServerHealthEvaluator::Failures() const {
  const double bad =
      events_.http_errors + events_.timeouts_fresh + events_.lost_connections;
  return {bad, bad + events_.successes};
}

EventCount ServerHealthEvaluator::SlowAnswers(Duration slow_threshold) const {
  if (slow_threshold == Duration::zero()) return {};
  return {events_.latency.CountAbove(slow_threshold), events_.latency.total()};
}

bool ServerHealthEvaluator::HasStuckRequests() const {
  const std::uint32_t overdue = latest_.overdue_fresh + latest_.overdue_old;
  return overdue > 1 || (overdue == 1 && latest_.in_flight == 1);
}

Duration ServerHealthEvaluator::MedianLatency() const {
  if (recent_.total() < kMinLatencies) return Duration::zero();
  return recent_.Quantile(0.5);
}

bool ServerHealthEvaluator::InColdGrace(Instant now) const {
  if (latest_.state != BackendState::kCold) return false;
  return now - process_since_ < kNewProcessGrace ||
         now - cold_since_ < kColdGrace;
}

void ServerHealthEvaluator::Evaluate(Instant now,
                                     const PeerBaseline& baseline) {
  EventCount failures = Failures();
  const bool fresh_failures = now - fresh_failure_at_ < kFreshFailureWindow;
  if (fresh_failures) {
    failures.bad += events_.timeouts_old;
    failures.total += events_.timeouts_old;
  }
  if (baseline.failure_share > kServiceWideShare) {
    failures_.Decay(kServiceWideDecay);
  } else {
    failures_.Add(failures.bad, failures.total - failures.bad,
                  std::max(baseline.failure_share, kMinFailureShare));
    if (events_.refused > 0) failures_.AddWeight(kStrongEvidenceWeight);
  }
  const EventCount slow = SlowAnswers(baseline.slow_threshold);
  if (baseline.slow_share > kServiceWideShare) {
    slowness_.Decay(kServiceWideDecay);
  } else {
    if (!InColdGrace(now)) {
      slowness_.Add(slow.bad, slow.total - slow.bad,
                    std::max(baseline.slow_share, kMinSlowShare));
    }
    if (now - process_since_ >= kNewProcessGrace) {
      slowness_.AddWeight(
          kVerySlowWeight *
          SlowAnswers(baseline.slow_threshold * kVerySlowRatio).bad);
    }
  }
  crash_score_ = crash_score_ * kCrashDecay + kCrashWeight * events_.crashes;
  if (!fresh_failures) latest_.overdue_old = 0;
  UpdateScore(baseline);
  events_ = ServerWindow();
  recent_.Decay(kLatencyDecay);
}

void ServerHealthEvaluator::UpdateScore(const PeerBaseline& baseline) {
  const std::uint32_t overdue = latest_.overdue_fresh + latest_.overdue_old;
  const double stuck = baseline.stuck_share > kServiceWideShare
                           ? 0
                           : kStrongEvidenceWeight * overdue;
  const double failing = failures_.score() + crash_score_;
  double request_score = failing + stuck;
  cause_ = stuck > failing ? VerdictCause::kStuck : VerdictCause::kFailures;
  severity_ = 1 + std::max(failures_.bad_share(), stuck > 0 ? 1.0 : 0.0);
  if (slowness_.score() > request_score) {
    request_score = slowness_.score();
    cause_ = VerdictCause::kSlow;
    severity_ = slowness_.bad_share();
  }
  // Failed probes only strengthen evidence from requests; they are no evidence
  // by themselves.
  const double probes =
      std::min(request_score, kStrongEvidenceWeight * consecutive_bad_probes_);
  score_ = request_score + (cause_ == VerdictCause::kSlow ? 0 : probes);
}

void ServerHealthEvaluator::Reset(double score) {
  failures_.Reset(score);
  slowness_.Reset();
  crash_score_ = 0;
  score_ = score;
  severity_ = 0;
  events_ = ServerWindow();
}

void ServerHealthEvaluator::DropCrashEvidence() {
  crash_score_ = 0;
  failures_.Reset();
  events_.crashes = 0;
  events_.lost_connections = 0;
  events_.refused = 0;
}

}  // namespace sapphirebank
