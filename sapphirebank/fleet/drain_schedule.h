#pragma once

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Times after the termination signal of an entry host.
struct DrainSchedule {
  // New requests are accepted for this time: callers cache addresses for some
  // seconds.
  Duration accept_time{};
  // The process ends after this time even if requests are running.
  Duration end_time{};
};

// Returns the schedule for a host that is killed after `grace`. The last
// request that is accepted has as long as the first half of the grace time to
// be answered, less a margin for the end of the process: with less, requests
// that take a second or two are cut off.
constexpr DrainSchedule MakeDrainSchedule(Duration grace) {
  constexpr int kAcceptDivisor = 2;
  constexpr int kEndMarginDivisor = 12;
  return {grace / kAcceptDivisor, grace - grace / kEndMarginDivisor};
}

}  // namespace sapphirebank
