#pragma once

#include <map>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/request/retry_budget.h"

namespace sapphirebank {

struct RetryBudgetShareSettings {
  // Retries that each request earns for its service.
  double retries_per_request = 0;
  // Part of the fleet's fixed retries that all purses of a kind together may
  // have saved.
  double slack_fraction = 0;
  // Part of what it may save that a purse starts with.
  double initial_fraction = 0;
};

// The fleet may spend 0.2 of the requests of callers. Checks of the
// configuration earn here as well but do not count there, and are up to a third
// of all requests. Many start again at once after a power loss, in the window
// in which they spent what they had: they start with little.
//
// Most retries are kept by the hubs, which pay for all hosts of a zone: the few
// requests of one host earn too slowly for two failures in a row.
inline constexpr RetryBudgetShareSettings kHubRetryShare = {0.1, 0.3, 0.5};
inline constexpr RetryBudgetShareSettings kEntryHostRetryShare = {0.03, 0.15,
                                                                  0};

// A share of the fleet's retry budget, for each service. All shares sum to less
// than the whole, so that none of them need be asked for more, also while the
// network is cut.
class RetryBudgetShare {
 public:
  // `fleet_slack` are the retries that the whole fleet may make beyond those
  // that requests earn, in one window.
  RetryBudgetShare(RetryBudgetShareSettings settings, double fleet_slack)
      : settings_(settings), fleet_slack_(fleet_slack) {}

  // Sets among how many purses of this kind the slack is shared.
  void SetShareCount(double share_count);

  // Notes a request for `service`.
  void CountRequest(const ServiceId& service);

  // Returns whether a retry could be paid for.
  bool CanRetry(const ServiceId& service) {
    return BudgetOf(service).available();
  }

  // Pays for a retry; false when there is nothing left.
  bool TrySpend(const ServiceId& service);

 private:
  double MaxBalance() const;
  RetryBudget& BudgetOf(const ServiceId& service);

  RetryBudgetShareSettings settings_;
  double fleet_slack_;
  double share_count_ = 1;
  std::map<ServiceId, RetryBudget> budgets_;
};

}  // namespace sapphirebank
