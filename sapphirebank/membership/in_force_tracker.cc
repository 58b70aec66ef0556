#include "sapphirebank/membership/in_force_tracker.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {

Result<InForceTracker> InForceTracker::Create(std::vector<HostId> witnesses,
                                              Duration max_report_age) {
  if (witnesses.empty()) {
    return Fail(ErrorKind::kInvalidSettings, "there are no witnesses");
  }
  return InForceTracker(std::move(witnesses), max_report_age);
}

InForceTracker::InForceTracker(std::vector<HostId> witnesses,
                               Duration max_report_age)
    : max_report_age_(max_report_age) {
  for (HostId& witness : witnesses) reports_[std::move(witness)];
}

void InForceTracker::Report(const HostId& host, Revision revision,
                            Instant requested_at) {
  const auto found = reports_.find(host);
  if (found == reports_.end() || requested_at < found->second.requested_at)
    return;
  found->second = {revision, requested_at};
}

Revision InForceTracker::RevisionInForce(Instant now) {
  std::vector<Revision> revisions;
  for (const auto& [host, report] : reports_) {
    const bool recent = now - report.requested_at <= max_report_age_;
    revisions.push_back(recent ? report.revision : 0);
  }
  const std::size_t majority = revisions.size() / 2 + 1;
  std::sort(revisions.begin(), revisions.end(), std::greater<>());
  in_force_ = std::max(in_force_, revisions[majority - 1]);
  return in_force_;
}

std::vector<HostId> InForceTracker::LaggingHosts(Revision revision,
                                                 Instant now) const {
  std::vector<HostId> lagging;
  for (const auto& [host, report] : reports_) {
    const bool holds = report.revision >= revision &&
                       now - report.requested_at <= max_report_age_;
    if (!holds) lagging.push_back(host);
  }
  return lagging;
}

}  // namespace sapphirebank
