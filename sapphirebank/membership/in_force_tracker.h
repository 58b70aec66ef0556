#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Kept by the control leader: tells when a revision is in force, which is when
// a majority of the witnesses hold it. Only then may an operator be told that
// a key stops working within the permission time (see Freshness); before that
// the change is accepted but not in force.
class InForceTracker {
 public:
  // `max_report_age` must be that of the witnesses' FreshnessSettings. Fails
  // with kInvalidSettings when there are no witnesses.
  static Result<InForceTracker> Create(std::vector<HostId> witnesses,
                                       Duration max_report_age);

  // Notes that `host` held `revision` at some time after `asked`, the instant
  // at which the leader sent the question that this report answers.
  void Report(const HostId& host, Revision revision, Instant requested_at);

  // Returns the highest revision that is in force for certain. It never goes
  // back.
  Revision RevisionInForce(Instant now);

  // Returns the hosts whose last report is older than the report time or names
  // a revision below `revision`, in order.
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
