#pragma once

#include <cstdint>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Returns a reading of this process's monotonic clock, which goes on while the
// machine is suspended, so that leases and stamps do not outlive a suspension.
Instant MonotonicNow();

// Returns the calendar time.
WallTime WallNow();

// Returns a random number that no other process has.
std::uint64_t RandomSeed();

}  // namespace sapphirebank
