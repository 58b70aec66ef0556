#include "sapphirebank/fleet/view_lease_settings.h"

#include <algorithm>

namespace sapphirebank {
namespace {

// Fraction of a limit within which hosts stop acting on an outdated view; the
// rest covers requests on the way to a backend server.
constexpr double kBoundFraction = 0.85;

constexpr double kMaxHoldFraction = 0.5;

// Part of the limit of an acknowledgement for which it waits for a host that
// lost its hub: an operator waits for a quarter of it for each call, of which
// the commit, the way to the hubs and their reports need the rest.
constexpr double kMaxContactHoldFraction = 0.1;

Duration Fraction(Duration whole, double part) {
  return FromSeconds(ToSeconds(whole) * part);
}

}  // namespace

ViewLeaseSettings MakeViewLeaseSettings(const ChangeLimits& limits) {
  ViewLeaseSettings settings;
  settings.plan_bound = Fraction(limits.plan, kBoundFraction);
  settings.departure_bound = Fraction(limits.departure, kBoundFraction);
  settings.zone_bound = Fraction(limits.zone, kBoundFraction);
  settings.way = std::min(limits.departure - settings.departure_bound,
                          limits.zone - settings.zone_bound);
  const Duration least_bound = UngatedLease(settings);
  settings.lease = std::min(
      Fraction(limits.key_withdrawal, kBoundFraction),
      least_bound + Fraction(limits.acknowledgement, kMaxHoldFraction));
  settings.contact_lease = std::min(
      settings.lease,
      least_bound + Fraction(limits.acknowledgement, kMaxContactHoldFraction));
  return settings;
}

Duration UngatedLease(const ViewLeaseSettings& settings) {
  return std::min({settings.plan_bound, settings.departure_bound,
                   settings.zone_bound, settings.lease});
}

}  // namespace sapphirebank
