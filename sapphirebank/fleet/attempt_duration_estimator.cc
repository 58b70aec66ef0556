#include "sapphirebank/fleet/attempt_duration_estimator.h"

#include <cmath>

namespace sapphirebank {
namespace {

// Smoothing factors. Smaller than those of RFC 6298, because service times vary
// more from one request to the next than round trips do.
constexpr double kMeanGain = 1.0 / 16;
constexpr double kDeviationGain = 1.0 / 8;

// About one in twenty attempts at healthy servers takes longer than the mean
// plus this many mean deviations.
constexpr double kDeviations = 2.5;

}  // namespace

void AttemptDurationEstimator::Record(Duration duration) {
  const double seconds = ToSeconds(duration);
  if (!mean_seconds_) {
    mean_seconds_ = seconds;
    deviation_seconds_ = seconds / 2;
    return;
  }
  const double error = seconds - *mean_seconds_;
  *mean_seconds_ += kMeanGain * error;
  deviation_seconds_ += kDeviationGain * (std::abs(error) - deviation_seconds_);
}

std::optional<Duration> AttemptDurationEstimator::OverdueAge() const {
  if (!mean_seconds_) return std::nullopt;
  return FromSeconds(*mean_seconds_ + kDeviations * deviation_seconds_);
}

}  // namespace sapphirebank
