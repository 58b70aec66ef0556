#include "sapphirebank/backend/placement.h"

namespace sapphirebank {

const char* PlacementReasonName(PlacementReason reason) {
  switch (reason) {
    case PlacementReason::kChosen:
      return "chosen";
    case PlacementReason::kLessFree:
      return "less_free";
    case PlacementReason::kSuspect:
      return "suspect";
    case PlacementReason::kBusy:
      return "busy";
    case PlacementReason::kColdLimit:
      return "cold_limit";
    case PlacementReason::kNoConnection:
      return "no_connection";
    case PlacementReason::kExcluded:
      return "excluded";
    case PlacementReason::kEjected:
      return "ejected";
    case PlacementReason::kZoneOut:
      return "zone_out";
    case PlacementReason::kDraining:
      return "draining";
    case PlacementReason::kSilent:
      return "silent";
  }
  return "unknown";
}

}  // namespace sapphirebank
