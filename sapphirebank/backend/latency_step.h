#pragma once

#include <cstdint>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Detects a step in the latency of one backend server by comparing two
// exponentially weighted moving averages of its logarithm, a fast and a slow
// one.
class LatencyStep {
 public:
  void Add(Duration latency);

  // Returns the recent latency as a multiple of the long-term one, or 1 while
  // there is too little history.
  double Ratio() const;

  // Returns whether there is enough history for Ratio() to be meaningful.
  bool has_history() const;

  // Clears the history.
  void Reset() { *this = LatencyStep(); }

 private:
  double baseline_ = 0;  // Logarithm of seconds.
  double recent_ = 0;    // Logarithm of seconds.
  std::uint32_t samples_ = 0;
};

}  // namespace sapphirebank
