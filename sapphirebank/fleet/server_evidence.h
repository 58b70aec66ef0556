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
  std::uint32_t breaks = 0;

  bool empty() const { return successes + errors + breaks == 0; }
};

struct EvidenceSettings {
  // Time in which what was seen loses half of its weight: about one episode of
  // a server that fails for a few seconds.
  Duration half_life = std::chrono::milliseconds(1400);
  // A break counts like this many errors.
  double break_weight = 2.0;
  // Failures, decayed, from which a server is taken for bad; one break.
  double failures_to_judge = 2.0;
  // Share of failures from which it is taken for bad. A sound server shows
  // about 0.012.
  double bad_share = 0.2;
  // First time without requests; it grows with each failed probation.
  Duration first_rest = std::chrono::milliseconds(900);
  double rest_growth = 1.5;
  // A server that failed by itself is taken for sound again 2 s later, and most
  // sound ones must be in use.
  Duration longest_rest = std::chrono::milliseconds(1900);
  // Successes that end a probation.
  std::uint32_t probation_successes = 2;
  // A probation without any failure ends after this time as well.
  Duration probation_time = std::chrono::milliseconds(2500);
};

// Judges one backend server by what all hosts saw of it. Health checks are not
// asked: a gray server passes them.
class ServerEvidence {
 public:
  // Adds what one host saw. Returns whether the standing changed.
  bool Add(Instant now, const ServerOutcomes& outcomes,
           const EvidenceSettings& settings);

  // Acts on the passage of time. Returns whether the standing changed.
  bool Tick(Instant now, const EvidenceSettings& settings);

  Standing standing() const { return standing_; }

  // What was seen of late, decayed: the inputs of the judgement.
  double successes() const { return successes_; }
  double failures() const { return failures_; }

 private:
  void Decay(Instant now, const EvidenceSettings& settings);
  void GoDown(Instant now, const EvidenceSettings& settings);

  Standing standing_ = Standing::kUp;
  double successes_ = 0;
  double failures_ = 0;
  Instant decayed_at_;
  Instant changes_at_;
  Duration rest_{};
  std::uint32_t good_probes_ = 0;
};

}  // namespace sapphirebank
