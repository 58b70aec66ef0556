#pragma once

#include <cstddef>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct SuspicionLimits {
  // Time to refute once `confirmations` more hosts have reported the suspicion.
  Duration min = Duration::zero();
  // Time to refute when only one host has reported it.
  Duration max = Duration::zero();
  std::size_t confirmations = 0;
};

// A suspicion that a member has failed. The time that the member has to refute
// it shrinks as more hosts report it (Lifeguard: Dadgar, Phillips and Currey,
// 2018), so that a single reporter that is itself unhealthy does little harm.
class Suspicion {
 public:
  Suspicion(Instant start, const SuspicionLimits& limits,
            const HostId& reporter);

  // Adds a reporter. Returns whether it is a new one and confirmations were
  // still needed.
  bool Confirm(const HostId& reporter);

  // Returns when the member is to be marked as failed.
  Instant deadline() const;

  // Returns when the suspicion began, including all postponements.
  Instant start() const { return start_; }

  // Moves the start by `time`, during which no refutation could have been
  // received.
  void Postpone(Duration time) { start_ += time; }

 private:
  Instant start_;
  SuspicionLimits limits_;
  std::vector<HostId> reporters_;
};

}  // namespace sapphirebank
