#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/fleet/fleet_record.h"

namespace sapphirebank {

// The plans that a leader has proposed and whose outcome is open. Operators
// send an order again when its answer is late; each copy in the log would weigh
// as much as the plan and change nothing.
class PlanProposals {
 public:
  using Callback = std::function<void(Result<std::string>)>;

  // A call that waits for the proposal of a plan at least as new as its own.
  struct WaitingCall {
    PlanVersion version = 0;
    Callback callback;
  };

  // Records that a plan is proposed.
  void Begin(PlanVersion version) { open_[version]; }

  // Returns whether a proposal is open that makes one of `version` needless.
  bool Covers(PlanVersion version) const {
    return open_.lower_bound(version) != open_.end();
  }

  // Adds a call for which Covers() is true.
  void Join(WaitingCall call);

  // Records the outcome of a proposal and returns the calls that waited for it.
  std::vector<WaitingCall> End(PlanVersion version);

 private:
  std::map<PlanVersion, std::vector<WaitingCall>> open_;
};

}  // namespace sapphirebank
