#include "sapphirebank/fleet/server_evidence.h"

#include <algorithm>
#include <cmath>

namespace sapphirebank {

bool ServerEvidence::Add(Instant now, const ServerOutcomes& outcomes,
                         const EvidenceSettings& settings) {
  Decay(now, settings);
  const double failures =
      outcomes.errors + settings.break_weight * outcomes.breaks;
  successes_ += outcomes.successes;
  failures_ += failures;
  switch (standing_) {
    case Standing::kUp: {
      const double share = failures_ / std::max(successes_ + failures_, 1.0);
      if (failures == 0 || failures_ < settings.failures_to_judge ||
          share < settings.bad_share) {
        return false;
      }
      GoDown(now, settings);
      return true;
    }
    case Standing::kProbation:
      if (failures > 0) {
        GoDown(now, settings);
        return true;
      }
      good_probes_ += outcomes.successes;
      if (good_probes_ < settings.probation_successes) return false;
      standing_ = Standing::kUp;
      return true;
    case Standing::kDown:
      return false;
  }
  return false;
}

bool ServerEvidence::Tick(Instant now, const EvidenceSettings& settings) {
  if (standing_ == Standing::kUp || now < changes_at_) return false;
  if (standing_ == Standing::kDown) {
    standing_ = Standing::kProbation;
    successes_ = 0;
    failures_ = 0;
    good_probes_ = 0;
    changes_at_ = now + settings.probation_time;
    return true;
  }
  standing_ = Standing::kUp;
  return true;
}

void ServerEvidence::Decay(Instant now, const EvidenceSettings& settings) {
  const double halves =
      ToSeconds(now - decayed_at_) / ToSeconds(settings.half_life);
  decayed_at_ = now;
  const double factor = std::exp2(-halves);
  successes_ *= factor;
  failures_ *= factor;
  constexpr double kForgotten = 0.1;
  if (standing_ == Standing::kUp && failures_ < kForgotten) rest_ = {};
}

void ServerEvidence::GoDown(Instant now, const EvidenceSettings& settings) {
  const auto longer = FromSeconds(ToSeconds(rest_) * settings.rest_growth);
  rest_ = std::clamp(longer, settings.first_rest, settings.longest_rest);
  standing_ = Standing::kDown;
  changes_at_ = now + rest_;
}

}  // namespace sapphirebank
