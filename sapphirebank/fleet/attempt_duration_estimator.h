#pragma once

#include <optional>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Estimates how long attempts of one kind of request take, as TCP estimates
// round trips: smoothed mean and mean deviation (Jacobson, "Congestion
// Avoidance and Control", 1988; RFC 6298).
class AttemptDurationEstimator {
 public:
  // Adds the duration of a completed attempt.
  void Record(Duration duration);

  // Returns the age from which an unanswered attempt is overdue, or nothing
  // before the first completed attempt.
  std::optional<Duration> OverdueAge() const;

 private:
  std::optional<double> mean_seconds_;
  double deviation_seconds_ = 0;
};

}  // namespace sapphirebank
