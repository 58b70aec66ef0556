#pragma once

#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct RetryBudgetSettings {
  // Retries for each first try, in [0, 1].
  double ratio = 0;
  // Retries that a service begins with.
  double initial_tokens = 3;
  // Retries that it can save up.
  double max_tokens = 100;
};

// Limits the retries of one service on one host to a share of its first tries,
// so that retries cannot multiply the load on backend servers that already
// fail.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings)
      : settings_(settings), tokens_(settings.initial_tokens) {}

  // Counts a first try.
  void CountFirstAttempt();

  // Takes one retry from the budget. Returns whether there was one.
  bool TryTake();

  // Returns whether TryTake() would succeed.
  bool available() const { return tokens_ >= 1; }

  // Changes the share.
  void set_ratio(double ratio) { settings_.ratio = ratio; }

  // Changes how much can be saved from the next first try on.
  void set_max_tokens(double max_tokens) { settings_.max_tokens = max_tokens; }

 private:
  RetryBudgetSettings settings_;
  double tokens_;
};

}  // namespace sapphirebank
