#include "sapphirebank/fleet/retry_budget_share.h"

#include <algorithm>

namespace sapphirebank {

void RetryBudgetShare::SetShareCount(double share_count) {
  share_count_ = std::max(share_count, 1.0);
}

double RetryBudgetShare::MaxBalance() const {
  // At least one whole retry must fit, or small shares could never retry.
  return std::max(settings_.slack_fraction * fleet_slack_ / share_count_, 1.0);
}

RetryBudget& RetryBudgetShare::BudgetOf(const ServiceId& service) {
  const double max_balance = MaxBalance();
  const RetryBudgetSettings budget_settings = {
      settings_.retries_per_request, settings_.initial_fraction * max_balance,
      max_balance};
  return budgets_.try_emplace(service, budget_settings).first->second;
}

void RetryBudgetShare::CountRequest(const ServiceId& service) {
  RetryBudget& budget = BudgetOf(service);
  budget.set_max_tokens(MaxBalance());
  budget.CountFirstAttempt();
}

bool RetryBudgetShare::TryAcquire(const ServiceId& service) {
  return BudgetOf(service).TryTake();
}

}  // namespace sapphirebank
