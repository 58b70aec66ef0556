#include "sapphirebank/fleet/retry_purse.h"

#include <algorithm>

namespace sapphirebank {

void RetryPurse::SetPurses(double purses) { purses_ = std::max(purses, 1.0); }

double RetryPurse::MaxSaved() const {
  // One whole retry must fit, or many purses with small shares never pay.
  return std::max(settings_.part_of_slack * fleet_slack_ / purses_, 1.0);
}

RetryBudget& RetryPurse::BudgetOf(const ServiceId& service) {
  const double most = MaxSaved();
  const RetryBudgetSettings fresh = {settings_.per_request,
                                     settings_.part_at_start * most, most};
  return budgets_.try_emplace(service, fresh).first->second;
}

void RetryPurse::Earn(const ServiceId& service) {
  RetryBudget& budget = BudgetOf(service);
  budget.set_max_tokens(MaxSaved());
  budget.CountFirstAttempt();
}

bool RetryPurse::Spend(const ServiceId& service) {
  return BudgetOf(service).TryTake();
}

}  // namespace sapphirebank
