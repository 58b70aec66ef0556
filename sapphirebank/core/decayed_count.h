#pragma once

#include <cmath>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Number of recent events: each counts for less the longer ago it was.
class DecayedCount {
 public:
  // Adds one event. `decay_time` is the time after which an event counts for
  // 1/e; it must be the same in all calls.
  void Add(Instant now, Duration decay_time) {
    value_ = ValueAt(now, decay_time) + 1;
    at_ = now;
  }

  // Returns the number of recent events.
  double ValueAt(Instant now, Duration decay_time) const {
    return value_ * std::exp(-ToSeconds(now - at_) / ToSeconds(decay_time));
  }

 private:
  double value_ = 0;
  Instant at_{};
};

}  // namespace sapphirebank
