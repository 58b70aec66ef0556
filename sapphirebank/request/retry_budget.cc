#include "sapphirebank/request/retry_budget.h"

#include <algorithm>

namespace sapphirebank {

void RetryBudget::CountFirstTry() {
  tokens_ = std::min(settings_.max_saved, tokens_ + settings_.share);
}

bool RetryBudget::TryTake() {
  if (!available()) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace sapphirebank
