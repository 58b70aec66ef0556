#include "sapphirebank/config/zone_plans.h"

#include <algorithm>
#include <chrono>

namespace sapphirebank {
namespace {

WallTime TimeOf(const ZonePlan& plan) {
  return WallTime(std::chrono::seconds(plan.at_unix_seconds));
}

}  // namespace

bool InServiceAt(const ZoneDeclaration& zone, WallTime now) {
  const ZonePlan* latest = nullptr;
  for (const ZonePlan& plan : zone.plans) {
    if (TimeOf(plan) > now) continue;
    if (latest == nullptr || TimeOf(*latest) <= TimeOf(plan)) latest = &plan;
  }
  return latest == nullptr ? zone.in_service : latest->in_service;
}

std::vector<ZoneId> ZonesInService(const Declarations& declarations,
                                   WallTime now) {
  std::vector<ZoneId> zones;
  for (const ZoneDeclaration& zone : declarations.zones) {
    if (InServiceAt(zone, now)) zones.push_back(zone.id);
  }
  return zones;
}

std::optional<WallTime> NextZonePlan(const Declarations& declarations,
                                     WallTime now) {
  std::optional<WallTime> next;
  for (const ZoneDeclaration& zone : declarations.zones) {
    for (const ZonePlan& plan : zone.plans) {
      const WallTime at = TimeOf(plan);
      if (at > now && (!next || at < *next)) next = at;
    }
  }
  return next;
}

bool SetZoneInService(Declarations& declarations, const ZoneId& zone,
                      bool in_service, WallTime now) {
  const auto found = std::find_if(
      declarations.zones.begin(), declarations.zones.end(),
      [&](const ZoneDeclaration& candidate) { return candidate.id == zone; });
  if (found == declarations.zones.end()) return false;
  found->in_service = in_service;
  std::erase_if(found->plans,
                [&](const ZonePlan& plan) { return TimeOf(plan) <= now; });
  return true;
}

}  // namespace sapphirebank
