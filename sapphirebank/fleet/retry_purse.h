#pragma once

#include <map>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/request/retry_budget.h"

namespace sapphirebank {

struct RetryPurseSettings {
  // Retries that each request earns for its service. The fleet may spend 0.2
  // of the requests of callers. Checks of the configuration earn here as well
  // but do not count there, and are up to a third of all requests.
  double per_request = 0.12;
  // Part of the fleet's fixed retries that all hosts together may have saved.
  double part_of_slack = 0.6;
  // Retries that a host starts with: many start again at once after a power
  // loss, in the window in which they spent what they had.
  double at_start = 0.3;
};

// A host's own share of the fleet's retry budget, for each service. The shares
// of all hosts sum to less than the whole, so that nobody need be asked, also
// while the network is cut.
class RetryPurse {
 public:
  // `fleet_slack` are the retries that the whole fleet may make beyond those
  // that requests earn, in one window.
  RetryPurse(RetryPurseSettings settings, double fleet_slack)
      : settings_(settings), fleet_slack_(fleet_slack) {}

  // Sets among how many hosts the slack is shared.
  void SetHosts(double hosts);

  // Notes a request for `service`.
  void Earn(const ServiceId& service);

  // Returns whether a retry could be paid for.
  bool CanSpend(const ServiceId& service) {
    return BudgetOf(service).available();
  }

  // Pays for a retry; false when there is nothing left.
  bool Spend(const ServiceId& service);

 private:
  double MaxSaved() const;
  RetryBudget& BudgetOf(const ServiceId& service);

  RetryPurseSettings settings_;
  double fleet_slack_;
  double hosts_ = 1;
  std::map<ServiceId, RetryBudget> budgets_;
};

}  // namespace sapphirebank
