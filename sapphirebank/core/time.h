#pragma once

#include <chrono>
#include <cstdint>

namespace sapphirebank {

// Resolution of every duration and instant in the library.
using Duration = std::chrono::microseconds;

// Marks instants as readings of this process's monotonic clock. Decision code
// never reads a clock: the caller passes `now`.
struct MonotonicClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
};

// A reading of one process's monotonic clock. Instants of two processes must
// never be compared.
using Instant = MonotonicClock::time_point;

// A calendar time, for logs and totals only: decisions use Instant.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// Returns `duration` in fractional seconds.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns `seconds` as a Duration, rounded toward zero to a microsecond.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace sapphirebank
