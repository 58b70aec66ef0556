#pragma once

#include <optional>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_record.h"

namespace sapphirebank {

// Tells a time after which no running backend server has started, as an
// incarnation (milliseconds since 1970). It does not go back when the time of
// day of this host does.
class LatestStartClock {
 public:
  Incarnation Read(Instant now, WallTime wall);

 private:
  // The largest difference seen between the time of day and the clock of the
  // process.
  std::optional<Duration> offset_;
};

// What a control host knows of the start of a server that leaves without saying
// when it started.
struct DepartureKnowledge {
  // The last start that was announced to it; 0 for none.
  Incarnation known_start = 0;
  // No server that runs now has started later.
  Incarnation latest_start = 0;

  // Returns what two control hosts know together.
  friend DepartureKnowledge operator|(const DepartureKnowledge& a,
                                      const DepartureKnowledge& b);
};

// Returns the departure with the last start that it covers. One that names no
// start covers all of them so far, also those that other control hosts alone
// know. When it is repeated within `limit`, the time for which a server goes on
// running after its departure was acknowledged, it is the one in `record`.
RetireBackend CompleteDeparture(const RetireBackend& departure,
                                const FleetRecord& record,
                                const DepartureKnowledge& knowledge,
                                Duration limit);

}  // namespace sapphirebank
