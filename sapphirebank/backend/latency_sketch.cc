#include "sapphirebank/backend/latency_sketch.h"

#include <algorithm>
#include <cmath>

namespace sapphirebank {
namespace {

constexpr double kFirstBoundSeconds = 0.0002;
constexpr double kGrowth = 1.35;

}  // namespace

std::size_t LatencySketch::BucketOf(Duration latency) {
  static const double log_growth = std::log(kGrowth);
  const double ratio = ToSeconds(latency) / kFirstBoundSeconds;
  if (ratio <= 1.0) return 0;
  const double bucket = std::ceil(std::log(ratio) / log_growth);
  return std::min(static_cast<std::size_t>(bucket), kBuckets - 1);
}

Duration LatencySketch::BucketMidpoint(std::size_t bucket) {
  const double exponent = static_cast<double>(bucket) - 0.5;
  return FromSeconds(kFirstBoundSeconds * std::pow(kGrowth, exponent));
}

void LatencySketch::Merge(const LatencySketch& other) {
  for (std::size_t i = 0; i < kBuckets; ++i) counts_[i] += other.counts_[i];
}

void LatencySketch::Decay(double factor) {
  for (double& count : counts_) count *= factor;
}

double LatencySketch::total() const {
  double sum = 0;
  for (const double count : counts_) sum += count;
  return sum;
}

double LatencySketch::CountAbove(Duration limit) const {
  double sum = 0;
  for (std::size_t i = BucketOf(limit) + 1; i < kBuckets; ++i) {
    sum += counts_[i];
  }
  return sum;
}

Duration LatencySketch::Quantile(double q) const {
  const double sum = total();
  if (sum <= 0) return Duration::zero();
  double cumulative = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    cumulative += counts_[i];
    if (cumulative >= q * sum) return BucketMidpoint(i);
  }
  return BucketMidpoint(kBuckets - 1);
}

}  // namespace sapphirebank
