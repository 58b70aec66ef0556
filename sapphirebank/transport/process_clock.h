#pragma once

#include <cstdint>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Returns the time of a monotonic clock that includes time in suspension
// (CLOCK_BOOTTIME), so that leases and stamps expire while the machine is
// suspended.
Instant MonotonicNow();

// Returns the system's calendar time.
WallTime WallNow();

// Returns a random seed of 64 bits from std::random_device, different in each
// process.
std::uint64_t RandomSeed();

}  // namespace sapphirebank
