#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "sapphirebank/core/ids.h"

namespace sapphirebank {

// Ends of attempts on one route. Attempts that did not reach a server, that the
// caller ended, or that a lost path of the host explains are not counted.
struct AttemptCounts {
  // Bounds of the duration classes in milliseconds: each is twice the one
  // before; the last class has no upper bound.
  static constexpr std::size_t kDurationClasses = 16;
  static constexpr std::uint32_t kFirstBoundMs = 2;

  std::uint32_t failed = 0;
  // Answered attempts by duration class.
  std::array<std::uint32_t, kDurationClasses> answered{};

  friend bool operator==(const AttemptCounts&, const AttemptCounts&) = default;
};

using CountsByRoute = std::map<std::string, AttemptCounts>;

// What entry hosts saw of the versions of one service while a rollout of it is
// in its trial. The new version is told by server, so that one gray server does
// not condemn it; of the others only servers in good health count.
struct RolloutSamples {
  std::map<BackendId, CountsByRoute> target;
  CountsByRoute others;

  bool empty() const { return target.empty() && others.empty(); }

  friend bool operator==(const RolloutSamples&,
                         const RolloutSamples&) = default;
};

}  // namespace sapphirebank
