#pragma once

#include <algorithm>
#include <cstdint>

#include "sapphirebank/config/declarations.h"

namespace sapphirebank {

// Opens the slots of a cold backend server one by one as the server answers
// requests well (slow start).
class ColdStart {
 public:
  // Restarts with BackendPolicy::cold_slots open slots.
  void Restart() { successes_ = 0; }

  // Counts an answer as fast as those of warm servers.
  void AddSuccess() { ++successes_; }

  // Closes the additional slots again: the server failed under its load.
  void AddFailure() { successes_ = 0; }

  // Returns the number of open slots, at most `slots`.
  std::uint32_t Limit(const BackendPolicy& policy, std::uint32_t slots) const {
    const std::uint32_t first = std::max(policy.cold_slots, 1U);
    const std::uint32_t each = std::max(policy.cold_successes_per_slot, 1U);
    return std::min(slots, first + successes_ / each);
  }

 private:
  std::uint32_t successes_ = 0;
};

}  // namespace sapphirebank
