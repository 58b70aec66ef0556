#include "sapphirebank/transport/process_clock.h"

#include <time.h>

#include <random>

namespace sapphirebank {

Instant MonotonicNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::seconds(time.tv_sec) +
                 std::chrono::duration_cast<Duration>(
                     std::chrono::nanoseconds(time.tv_nsec)));
}

WallTime WallNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

std::uint64_t RandomSeed() {
  std::random_device device;
  constexpr unsigned kHalf = 32;
  return (std::uint64_t{device()} << kHalf) | device();
}

}  // namespace sapphirebank
