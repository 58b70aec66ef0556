#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Used by the control leader to determine when a revision is in force, which is
// when a majority of the witnesses hold it. Only then may an operator be told
// that a withdrawn key stops working within the maximum stamp age (see
// FreshnessMonitor). Before that the change is accepted but not in force.
class InForceTracker {
 public:
  // `max_report_age` must be that of the witnesses' FreshnessSettings. Fails
  // with kInvalidSettings when there are no witnesses.
  static Result<InForceTracker> Create(std::vector<HostId> witnesses,
                                       Duration max_report_age);

  // Records that `host` held `revision` at some time after `requested_at`, the
  // instant at which the leader sent the request that this report answers.
  // Reports of hosts that are not witnesses and of older requests are ignored.
  void Report(const HostId& host, Revision revision, Instant requested_at);

  // Returns the highest revision that is known to be in force. It never
  // decreases.
  Revision RevisionInForce(Instant now);

  // Returns the witnesses whose last report is too old or names a revision
  // below `revision`, in the order of their ids.
  std::vector<HostId> LaggingHosts(Revision revision, Instant now) const;

 private:
  struct LastReport {
    Revision revision = 0;
    Instant requested_at;
  };

  InForceTracker(std::vector<HostId> witnesses, Duration max_report_age);

  Duration max_report_age_;
  std::map<HostId, LastReport> reports_;
  Revision in_force_ = 0;
};

}  // namespace sapphirebank
