#pragma once

#include <cstdint>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Compares the latest latencies of one backend server with its own history,
// by two exponentially weighted averages of their logarithms.
class LatencyStep {
 public:
  void Add(Duration latency);

  // Returns the latest latency as a multiple of the usual one, or 1 while
  // there is too little history.
  double Ratio() const;

  // Returns whether there is enough history for Ratio() to say anything.
  bool has_history() const;

  // Forgets the history.
  void Reset() { *this = LatencyStep(); }

 private:
  double baseline_ = 0;  // Logarithm of seconds.
  double recent_ = 0;    // Logarithm of seconds.
  std::uint32_t samples_ = 0;
};

}  // namespace sapphirebank
