#pragma once

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Durations and limits of the leases. They must be the same on every host of
// the fleet.
struct LeaseSettings {
  // Duration of a grant, counted from the moment the request for it was sent.
  Duration length = std::chrono::seconds(3);
  // Maximum duration of a grant by a voter.
  Duration max_length = std::chrono::seconds(3);
  // Maximum relative error of the rate of any host's monotonic clock.
  double max_drift = 0.001;
  // Time after which a request for a new lease without a majority of responses
  // is abandoned.
  Duration response_timeout = std::chrono::milliseconds(200);
  // Maximum random delay before a refused holder tries again.
  Duration max_retry_delay = std::chrono::milliseconds(200);
  // Maximum number of keys in one message, so that it fits a datagram.
  int max_keys_per_message = 24;
};

// Returns the margin by which a holder must shorten `length` on its own clock,
// so that the rest ends no later than the whole `length` on any other clock of
// the fleet.
constexpr Duration DriftMargin(Duration length, double max_drift) {
  const double margin = static_cast<double>(length.count()) * 2 * max_drift;
  return Duration(static_cast<Duration::rep>(margin) + 1);
}

}  // namespace sapphirebank
