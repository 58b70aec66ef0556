#pragma once

#include <cstdint>

#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/server_announcement.h"

namespace sapphirebank {

// What a host saw of one backend server since its last report.
struct ServerOutcomes {
  std::uint32_t successes = 0;
  // Failures that any server has now and then: an error status.
  std::uint32_t errors = 0;
  // Failures that a sound server does not have: a reset, a broken answer, no
  // answer, or a refusal of work while it has room.
  std::uint32_t hard_failures = 0;

  bool empty() const { return successes + errors + hard_failures == 0; }
};

struct ServerHealthSettings {
  // Time in which what was seen loses half of its weight: about one episode of
  // a server that fails for a few seconds.
  Duration half_life = std::chrono::milliseconds(1400);
  // A break counts like this many errors.
  double hard_failure_weight = 2.0;
  // Failures, decayed, from which a server is taken for bad; one break.
  double min_failures = 2.0;
  // Share of failures from which it is taken for bad. A sound server shows
  // about 0.012.
  double failure_ratio_threshold = 0.2;
  // First time without requests; it grows with each failed probation.
  Duration initial_down_time = std::chrono::milliseconds(900);
  double down_time_growth = 1.5;
  // A server that failed by itself is taken for sound again 2 s later, and most
  // sound ones must be in use.
  Duration max_down_time = std::chrono::milliseconds(1900);
  // Successes that end a probation.
  std::uint32_t probation_successes = 2;
  // A probation without any failure ends after this time as well.
  Duration max_probation_time = std::chrono::milliseconds(2500);
};

// Judges one backend server by what all hosts saw of it. Health checks are not
// asked: a gray server passes them.
class ServerHealthTracker {
 public:
  // Adds what one host saw. Returns whether the standing changed.
  bool Add(Instant now, const ServerOutcomes& outcomes,
           const ServerHealthSettings& settings);

  // Acts on the passage of time. Returns whether the standing changed.
  bool Tick(Instant now, const ServerHealthSettings& settings);

  ServerHealth health() const { return standing_; }

  // What was seen of late, decayed: the inputs of the judgement.
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
