#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/fleet/dispatch_query.h"
#include "sapphirebank/fleet/server_work_tracker.h"
#include "sapphirebank/fleet/work_estimator.h"

namespace sapphirebank {

// By which rule a server was chosen for a request.
enum class PlacementRule : std::uint8_t {
  kWarmUp,        // A cold server may get a request.
  kFreeSlot,      // Best of this hub's servers that have a free slot.
  kZoneFreeSlot,  // The same among all servers of the zone.
  kZoneQueue,     // Least completion time in the zone, by a short wait.
  kOtherZone,     // Best free slot of another zone.
  kOverdue,       // In the zone, although an answer is overdue.
  kLeastDelay,    // No server has room: least completion time of all.
};

inline constexpr std::size_t kPlacementRules = 7;

// Requests by the rule that placed them.
using PlacementCounts = std::array<std::uint64_t, kPlacementRules>;

// Returns the rule's name in logs and metrics.
constexpr std::string_view ToString(PlacementRule rule) {
  switch (rule) {
    case PlacementRule::kWarmUp:
      return "warm_up";
    case PlacementRule::kFreeSlot:
      return "free_slot";
    case PlacementRule::kZoneFreeSlot:
      return "zone_free_slot";
    case PlacementRule::kZoneQueue:
      return "zone_queue";
    case PlacementRule::kOtherZone:
      return "other_zone";
    case PlacementRule::kOverdue:
      return "overdue";
    case PlacementRule::kLeastDelay:
      return "least_delay";
  }
  return "unknown";
}

// A choice and what it rests on.
struct Placement {
  BackendId server;
  PlacementRule rule = PlacementRule::kFreeSlot;
  WorkEstimate work;
  // Of the chosen server.
  ServerWorkTracker::Status status;
  int in_flight = 0;
};

// Observes the placement of each request.
using PlacementObserver =
    std::function<void(const DispatchQuery& query, const Placement& placement)>;

// Work of a service's requests as a hub sees it.
struct ServiceWork {
  Duration mean{};
  // Time until the requests at all of its servers will have ended, in seconds
  // of one server, and the servers that take over twice the usual time.
  double left_seconds = 0;
  std::uint32_t slow_servers = 0;
};

}  // namespace sapphirebank
