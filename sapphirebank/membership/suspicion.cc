#include "sapphirebank/membership/suspicion.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sapphirebank {

Suspicion::Suspicion(Instant start, const SuspicionLimits& limits,
                     const HostId& reporter)
    : start_(start), limits_(limits), reporters_({reporter}) {
  assert(limits.min <= limits.max);
}

bool Suspicion::Confirm(const HostId& reporter) {
  const bool known = std::find(reporters_.begin(), reporters_.end(),
                               reporter) != reporters_.end();
  if (known || reporters_.size() > limits_.confirmations) return false;
  reporters_.push_back(reporter);
  return true;
}

Instant Suspicion::deadline() const {
  if (limits_.confirmations == 0) return start_ + limits_.min;
  const auto confirmed = static_cast<double>(reporters_.size() - 1);
  const auto wanted = static_cast<double>(limits_.confirmations);
  const double share = std::log(confirmed + 1) / std::log(wanted + 1);
  const double range = ToSeconds(limits_.max - limits_.min);
  return start_ +
         std::max(limits_.min, limits_.max - FromSeconds(range * share));
}

}  // namespace sapphirebank
