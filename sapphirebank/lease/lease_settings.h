#pragma once

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Times of the leases. They must be the same on every host of the fleet.
struct LeaseSettings {
  // How long a grant lasts, from the moment the request for it was sent.
  Duration length = std::chrono::seconds(3);
  // Longest grant that a voter gives.
  Duration max_length = std::chrono::seconds(3);
  // Largest relative error of the rate of any host's monotonic clock.
  double max_drift = 0.001;
  // Time after which an unanswered request for a new lease is given up.
  Duration response_timeout = std::chrono::milliseconds(200);
  // Longest random delay before a refused holder tries again.
  Duration max_retry_delay = std::chrono::milliseconds(200);
  // Keys in one message, so that it fits a datagram.
  int max_keys_per_message = 24;
};

// Returns what must be taken off `length` as counted by one clock, so that it
// ends no later than the whole of it counted by any other clock of the fleet.
constexpr Duration DriftMargin(Duration length, double max_drift) {
  const double margin = static_cast<double>(length.count()) * 2 * max_drift;
  return Duration(static_cast<Duration::rep>(margin) + 1);
}

}  // namespace sapphirebank
