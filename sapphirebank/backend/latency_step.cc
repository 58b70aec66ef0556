#include "sapphirebank/backend/latency_step.h"

#include <algorithm>
#include <cmath>

namespace sapphirebank {
namespace {

constexpr double kBaselineWeight = 0.02;
constexpr double kRecentWeight = 0.25;
constexpr std::uint32_t kMinSamples = 20;
// Bound on the effect of one answer, so that a single outlier is not taken for
// a step.
constexpr double kMaxDeviation = 1.4;  // Logarithm of a factor of 4.
constexpr double kShortestSeconds = 0.0001;

double Clamped(double value, double center) {
  return std::clamp(value, center - kMaxDeviation, center + kMaxDeviation);
}

}  // namespace

void LatencyStep::Add(Duration latency) {
  const double value = std::log(std::max(ToSeconds(latency), kShortestSeconds));
  ++samples_;
  if (samples_ <= kMinSamples) {
    baseline_ += (value - baseline_) / samples_;
    recent_ = baseline_;
    return;
  }
  recent_ += kRecentWeight * (Clamped(value, baseline_) - recent_);
  baseline_ += kBaselineWeight * (Clamped(value, baseline_) - baseline_);
}

double LatencyStep::Ratio() const {
  return has_history() ? std::exp(recent_ - baseline_) : 1.0;
}

bool LatencyStep::has_history() const { return samples_ > kMinSamples; }

}  // namespace sapphirebank
