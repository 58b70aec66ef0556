#pragma once

#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct RetryBudgetSettings {
  // Retries for each first try, in [0, 1].
  double share = 0;
  // Retries that a service begins with.
  double reserve = 3;
  // Retries that it can save up.
  double max_saved = 100;
};

// Limits the retries of one service on one host to a share of its first tries,
// so that retries cannot multiply the load on backend servers that already
// fail.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings)
      : settings_(settings), tokens_(settings.reserve) {}

  // Counts a first try.
  void CountFirstTry();

  // Takes one retry from the budget. Returns whether there was one.
  bool TryTake();

  // Returns whether TryTake() would succeed.
  bool available() const { return tokens_ >= 1; }

  // Changes the share.
  void set_share(double share) { settings_.share = share; }

  // Changes how much can be saved from the next first try on.
  void set_max_saved(double max_saved) { settings_.max_saved = max_saved; }

 private:
  RetryBudgetSettings settings_;
  double tokens_;
};

}  // namespace sapphirebank
