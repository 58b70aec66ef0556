#pragma once

#include <cstddef>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct SuspicionLimits {
  // Time to refute when `confirmations` other hosts share the suspicion.
  Duration min = Duration::zero();
  // Time to refute when nobody else does.
  Duration max = Duration::zero();
  std::size_t confirmations = 0;
};

// One suspicion against a member. The time that the member has to refute it
// shrinks as more hosts share it (Lifeguard: Dadgar, Phillips and Currey,
// 2018), so that one unwell accuser does little harm.
class Suspicion {
 public:
  Suspicion(Instant start, const SuspicionLimits& limits,
            const HostId& reporter);

  // Adds an accuser. Returns whether it is a new one that still counts.
  bool Confirm(const HostId& reporter);

  // Returns when the member is to be taken for failed.
  Instant deadline() const;

  // Returns when the suspicion began.
  Instant start() const { return start_; }

  // Puts the suspicion off, for time in which no refutation could be heard.
  void Postpone(Duration time) { start_ += time; }

 private:
  Instant start_;
  SuspicionLimits limits_;
  std::vector<HostId> reporters_;
};

}  // namespace sapphirebank
