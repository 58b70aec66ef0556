#include "sapphirebank/fleet/server_health_tracker.h"

#include <algorithm>
#include <cmath>

namespace sapphirebank {

bool ServerHealthTracker::Add(Instant now, const ServerOutcomes& outcomes,
                              const ServerHealthSettings& settings) {
  Decay(now, settings);
  const double failures =
      outcomes.errors + settings.hard_failure_weight * outcomes.hard_failures;
  successes_ += outcomes.successes;
  failures_ += failures;
  switch (standing_) {
    case ServerHealth::kUp: {
      const double failure_ratio =
          failures_ / std::max(successes_ + failures_, 1.0);
      if (failures == 0 || failures_ < settings.min_failures ||
          failure_ratio < settings.failure_ratio_threshold) {
        return false;
      }
      MarkDown(now, settings);
      return true;
    }
    case ServerHealth::kProbation:
      if (failures > 0) {
        MarkDown(now, settings);
        return true;
      }
      probation_successes_ += outcomes.successes;
      if (probation_successes_ < settings.probation_successes) return false;
      standing_ = ServerHealth::kUp;
      return true;
    case ServerHealth::kDown:
      return false;
  }
  return false;
}

bool ServerHealthTracker::Tick(Instant now,
                               const ServerHealthSettings& settings) {
  if (standing_ == ServerHealth::kUp || now < next_transition_at_) return false;
  if (standing_ == ServerHealth::kDown) {
    standing_ = ServerHealth::kProbation;
    successes_ = 0;
    failures_ = 0;
    probation_successes_ = 0;
    next_transition_at_ = now + settings.max_probation_time;
    return true;
  }
  standing_ = ServerHealth::kUp;
  return true;
}

void ServerHealthTracker::Decay(Instant now,
                                const ServerHealthSettings& settings) {
  const double elapsed_half_lives =
      ToSeconds(now - decayed_at_) / ToSeconds(settings.half_life);
  decayed_at_ = now;
  const double factor = std::exp2(-elapsed_half_lives);
  successes_ *= factor;
  failures_ *= factor;
  constexpr double kNegligibleFailures = 0.1;
  if (standing_ == ServerHealth::kUp && failures_ < kNegligibleFailures)
    down_time_ = {};
}

void ServerHealthTracker::MarkDown(Instant now,
                                   const ServerHealthSettings& settings) {
  const auto next_down_time =
      FromSeconds(ToSeconds(down_time_) * settings.down_time_growth);
  down_time_ = std::clamp(next_down_time, settings.initial_down_time,
                          settings.max_down_time);
  standing_ = ServerHealth::kDown;
  next_transition_at_ = now + down_time_;
}

}  // namespace sapphirebank
