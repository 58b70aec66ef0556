#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <span>

#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/hub_assignment.h"

namespace sapphirebank {

// What a control host last said about its leader update.
struct ReportedUpdateAge {
  // Age when it was said.
  Duration age{};
  Instant said_at;
};

// Time for which such a report counts: four ping periods, as hosts that are
// overloaded together are late with their pings.
inline constexpr Duration kReportedAgeLifetime =
    std::chrono::milliseconds(2000);

// Returns whether no control host has a recent leader update, so that looking
// for one is in vain. `others` are the reports of the other voters that this
// host has links to, and `quorum` is the number of voters that makes a
// majority. A leader that confirms its leadership reaches a majority, which has
// a voter in common with every other majority. A host that is cut off from the
// leader's side last heard of recent updates there, or hears no majority.
inline bool NoneHasRecentUpdate(
    Instant now, std::span<const std::optional<ReportedUpdateAge>> others,
    std::size_t quorum) {
  std::size_t heard = 1;
  for (const auto& report : others) {
    if (!report || now - report->said_at > kReportedAgeLifetime) continue;
    if (report->age <= kRecentUpdateAge) return false;
    ++heard;
  }
  return heard >= quorum;
}

}  // namespace sapphirebank
