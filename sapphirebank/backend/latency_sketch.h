#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Counts latencies in buckets of equal ratio, so that sketches of different
// hosts can be added. A quantile is exact to one bucket.
class LatencySketch {
 public:
  static constexpr std::size_t kBuckets = 48;

  // Returns the bucket that counts `latency`.
  static std::size_t BucketOf(Duration latency);

  // Returns the geometric middle of a bucket.
  static Duration BucketMidpoint(std::size_t bucket);

  void Add(Duration latency) { ++counts_[BucketOf(latency)]; }
  void AddCount(std::size_t bucket, double count) { counts_[bucket] += count; }
  void Merge(const LatencySketch& other);

  // Multiplies all counts by `factor`, so that old ones fade.
  void Decay(double factor);

  // Returns the counted latencies.
  double total() const;

  // Returns those in buckets above the bucket of `limit`.
  double CountAbove(Duration limit) const;

  // Returns the quantile `q` in [0, 1], or zero when nothing was counted.
  Duration Quantile(double q) const;

  const std::array<double, kBuckets>& counts() const { return counts_; }

  friend bool operator==(const LatencySketch&, const LatencySketch&) = default;

 private:
  std::array<double, kBuckets> counts_ = {};
};

}  // namespace sapphirebank
