#include "sapphirebank/fleet/retry_purse.h"

#include <algorithm>

namespace sapphirebank {

void RetryPurse::SetHosts(double hosts) { hosts_ = std::max(hosts, 1.0); }

double RetryPurse::Most() const {
  return settings_.part_of_slack * fleet_slack_ / hosts_;
}

double& RetryPurse::SavedFor(const ServiceId& service) {
  return saved_.try_emplace(service, settings_.at_start).first->second;
}

void RetryPurse::Earn(const ServiceId& service) {
  double& saved = SavedFor(service);
  // One whole retry must fit, or many hosts with small shares never retry.
  saved = std::min(saved + settings_.per_request, std::max(Most(), 1.0));
}

bool RetryPurse::Spend(const ServiceId& service) {
  double& saved = SavedFor(service);
  if (saved < 1) return false;
  saved -= 1;
  return true;
}

}  // namespace sapphirebank
