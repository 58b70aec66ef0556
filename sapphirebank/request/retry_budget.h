#pragma once

#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct RetryBudgetSettings {
  // Tokens added for each first attempt, in [0, 1]; a retry takes one token.
  double ratio = 0;
  // Tokens at the start.
  double initial_tokens = 3;
  // Capacity of the token bucket.
  double max_tokens = 100;
};

// Token bucket that limits the retries of one service on one host to a ratio of
// its first attempts, so that retries cannot multiply the load on backend
// servers that are already failing.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings)
      : settings_(settings), tokens_(settings.initial_tokens) {}

  // Adds the tokens for one first attempt.
  void CountFirstAttempt();

  // Takes one token for a retry. Returns whether there was one.
  bool TryTake();

  // Returns whether TryTake() would succeed.
  bool available() const { return tokens_ >= 1; }

  // Sets the tokens added for each first attempt.
  void set_ratio(double ratio) { settings_.ratio = ratio; }

  // Sets the capacity. It takes effect with the next first attempt.
  void set_max_tokens(double max_tokens) { settings_.max_tokens = max_tokens; }

 private:
  RetryBudgetSettings settings_;
  double tokens_;
};

}  // namespace sapphirebank
