#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Histogram of latencies with buckets of equal ratio, so that the sketches of
// different hosts can be merged. Quantiles are accurate to one bucket.
class LatencySketch {
 public:
  static constexpr std::size_t kBuckets = 48;

  // Returns the index of the bucket that counts `latency`.
  static std::size_t BucketOf(Duration latency);

  // Returns the geometric mean of a bucket's bounds.
  static Duration BucketMidpoint(std::size_t bucket);

  void Add(Duration latency) { ++counts_[BucketOf(latency)]; }
  void AddCount(std::size_t bucket, double count) { counts_[bucket] += count; }
  void Merge(const LatencySketch& other);

  // Multiplies all counts by `factor`, so that older latencies lose weight.
  void Decay(double factor);

  // Returns the number of latencies counted.
  double total() const;

  // Returns the number of latencies in buckets above that of `limit`.
  double CountAbove(Duration limit) const;

  // Returns the quantile `q` in [0, 1], or zero if nothing was counted.
  Duration Quantile(double q) const;

  const std::array<double, kBuckets>& counts() const { return counts_; }

  friend bool operator==(const LatencySketch&, const LatencySketch&) = default;

 private:
  std::array<double, kBuckets> counts_ = {};
};

}  // namespace sapphirebank
