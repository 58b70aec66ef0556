#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "programs/fleet_host/entry_requests.h"

namespace sapphirebank {

// A request on its way.
struct EntryRequests::Work {
  HttpRequest request;
  CallerTerms terms;
  // The version by which the request is handled from start to end.
  std::shared_ptr<const TrafficPlan> plan;
  const PlannedRoute* route = nullptr;
  const PlannedWorkspace* workspace = nullptr;
  const PlannedService* service = nullptr;
  Instant arrived;
  Instant deadline;         // Of the caller or the route, the earlier one.
  Instant caller_deadline;  // What backend servers are told of.
  RequestFingerprint fingerprint = 0;
  std::vector<KnownServerPtr> tried;
  int arrivals = 0;
  // A server may have run it.
  bool may_have_run = false;
  // The next try takes from the retry budget.
  bool must_pay = false;
  // Spent at backend servers.
  Duration at_servers{};
  // Why the caller got no server's answer, if it got none.
  std::optional<ErrorKind> refused;
};

}  // namespace sapphirebank
