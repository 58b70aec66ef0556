#pragma once

#include <cstdint>

#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/server_announcement.h"

namespace sapphirebank {

// Outcomes of requests that a host sent to one backend server since its last
// report.
struct ServerOutcomes {
  std::uint32_t successes = 0;
  // Error statuses, which healthy servers return occasionally too.
  std::uint32_t errors = 0;
  // Failures that a healthy server does not cause: a connection reset, a
  // malformed response, no response, or a refusal while it has free slots.
  std::uint32_t hard_failures = 0;

  bool empty() const { return successes + errors + hard_failures == 0; }
};

struct ServerHealthSettings {
  // Half-life of outcomes: about one episode of a server that fails for a few
  // seconds.
  Duration half_life = std::chrono::milliseconds(1400);
  // Weight of a hard failure relative to an error status.
  double hard_failure_weight = 2.0;
  // Minimum of decayed, weighted failures before a server is marked down;
  // equals one hard failure.
  double min_failures = 2.0;
  // Ratio of failures to requests from which a server is marked down. A healthy
  // server shows about 0.012.
  double failure_ratio_threshold = 0.2;
  // First down time; each failed probation multiplies it by down_time_growth.
  Duration initial_down_time = std::chrono::milliseconds(900);
  double down_time_growth = 1.5;
  // Below the 2 s after which a server that failed on its own counts as healthy
  // again: most healthy servers must be in use.
  Duration max_down_time = std::chrono::milliseconds(1900);
  // Successes after which a probation ends.
  std::uint32_t probation_successes = 2;
  // Probation also ends after this time without a failure.
  Duration max_probation_time = std::chrono::milliseconds(2500);
};

// Tracks the health of one backend server from the request outcomes of all
// hosts. Health checks are not used because a server with a gray failure passes
// them.
class ServerHealthTracker {
 public:
  // Adds one host's outcomes. Returns whether the health changed.
  bool Add(Instant now, const ServerOutcomes& outcomes,
           const ServerHealthSettings& settings);

  // Applies transitions that are due at `now`. Returns whether the health
  // changed.
  bool Tick(Instant now, const ServerHealthSettings& settings);

  ServerHealth health() const { return standing_; }

  // Decayed outcome counts from which the health is derived.
  double successes() const { return successes_; }
  double failures() const { return failures_; }

 private:
  void Decay(Instant now, const ServerHealthSettings& settings);
  void MarkDown(Instant now, const ServerHealthSettings& settings);

  ServerHealth standing_ = ServerHealth::kUp;
  double successes_ = 0;
  double failures_ = 0;
  Instant decayed_at_;
  Instant next_transition_at_;
  Duration down_time_{};
  std::uint32_t probation_successes_ = 0;
};

}  // namespace sapphirebank
