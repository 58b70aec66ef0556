#pragma once

#include <map>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/request/retry_budget.h"

namespace sapphirebank {

struct RetryBudgetShareSettings {
  // Retries added to a service's budget per request.
  double retries_per_request = 0;
  // Fraction of the fleet's fixed retries that all shares of a kind may
  // accumulate together.
  double slack_fraction = 0;
  // Fraction of the maximum balance that a share starts with.
  double initial_fraction = 0;
};

// The fleet may spend 0.2 retries per caller request. Configuration checks also
// add retries here but don't count towards that limit, and are up to a third of
// all requests. After a power loss many processes restart at once, in the same
// window in which they spent their balance, so they start with little.
//
// Hubs hold most of the budget for all hosts of a zone: the few requests of one
// host add retries too slowly for two failures in a row.
inline constexpr RetryBudgetShareSettings kHubRetryShare = {0.1, 0.3, 0.5};
inline constexpr RetryBudgetShareSettings kEntryHostRetryShare = {0.03, 0.15,
                                                                  0};

// A share of the fleet's retry budget for each service. All shares sum to less
// than the whole, so retries need no coordination, even during a network
// partition.
class RetryBudgetShare {
 public:
  // `fleet_slack` is the number of retries per window that the whole fleet may
  // make beyond those added by requests.
  RetryBudgetShare(RetryBudgetShareSettings settings, double fleet_slack)
      : settings_(settings), fleet_slack_(fleet_slack) {}

  // Sets the number of shares of this kind among which the slack is divided.
  void SetShareCount(double share_count);

  // Adds the retries of one request for `service`.
  void CountRequest(const ServiceId& service);

  // Returns whether a retry is available.
  bool CanRetry(const ServiceId& service) {
    return BudgetOf(service).available();
  }

  // Takes one retry; returns false when none is available.
  bool TryAcquire(const ServiceId& service);

 private:
  double MaxBalance() const;
  RetryBudget& BudgetOf(const ServiceId& service);

  RetryBudgetShareSettings settings_;
  double fleet_slack_;
  double share_count_ = 1;
  std::map<ServiceId, RetryBudget> budgets_;
};

}  // namespace sapphirebank
