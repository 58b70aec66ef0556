#pragma once

#include <optional>
#include <vector>

#include "sapphirebank/config/declarations.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Returns whether `zone` takes new work at `now`: as its latest plan that is
// due says, or as it is declared when none is.
bool InServiceAt(const ZoneDeclaration& zone, WallTime now);

// Returns the availability zones that take new work at `now`, in the order of
// the declarations.
std::vector<ZoneId> ZonesInService(const Declarations& declarations,
                                   WallTime now);

// Returns when the next plan after `now` is due, or nothing without one.
std::optional<WallTime> NextZonePlan(const Declarations& declarations,
                                     WallTime now);

// Puts a zone in or out of service at `now` and drops the plans that are due,
// which would otherwise go before the new state. Later plans stay. Returns
// false when there is no such zone.
bool SetZoneInService(Declarations& declarations, const ZoneId& zone,
                      bool in_service, WallTime now);

}  // namespace sapphirebank
