#pragma once

#include <cstdint>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// What a hub knows of the room at the backend servers that a request may be
// sent to, of all zones that are in service.
struct DispatchForecast {
  // Slots of the servers in use, less those of servers that reject requests or
  // have named a pause, and how many of them have a request assigned.
  std::uint32_t slots = 0;
  std::uint32_t busy = 0;
  // Time until the best server would begin the request; Duration::max() without
  // any.
  Duration shortest_wait{};
  // Time that the request is likely to take there once begun: mean and mean
  // deviation.
  Duration work{};
  Duration work_deviation{};
};

}  // namespace sapphirebank
