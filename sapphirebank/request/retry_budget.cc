#include "sapphirebank/request/retry_budget.h"

#include <algorithm>

namespace sapphirebank {

void RetryBudget::CountFirstAttempt() {
  tokens_ = std::min(settings_.max_tokens, tokens_ + settings_.ratio);
}

bool RetryBudget::TryTake() {
  if (!available()) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace sapphirebank
