#include "sapphirebank/fleet/departure_start.h"

#include <algorithm>

namespace sapphirebank {
namespace {

Incarnation Milliseconds(Duration time) {
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::max(time, Duration::zero()))
          .count());
}

}  // namespace

Incarnation LatestStartClock::Read(Instant now, WallTime wall) {
  const Duration offset = wall.time_since_epoch() - now.time_since_epoch();
  offset_ = std::max(offset_.value_or(offset), offset);
  return Milliseconds(now.time_since_epoch() + *offset_);
}

DepartureKnowledge operator|(const DepartureKnowledge& a,
                             const DepartureKnowledge& b) {
  return {std::max(a.known_start, b.known_start),
          std::max(a.latest_start, b.latest_start)};
}

RetireBackend CompleteDeparture(const RetireBackend& departure,
                                const FleetRecord& record,
                                const DepartureKnowledge& knowledge,
                                Duration limit) {
  if (departure.incarnation > 0) return departure;
  const auto [known, latest] = knowledge;
  const auto recorded = record.RetiredUpTo(departure.backend);
  const bool is_repeated = recorded && *recorded >= known &&
                           *recorded + Milliseconds(limit) > latest;
  return {departure.backend, is_repeated ? *recorded : std::max(known, latest)};
}

}  // namespace sapphirebank
