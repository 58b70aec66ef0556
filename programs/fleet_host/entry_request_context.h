#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "programs/fleet_host/entry_request_handler.h"

namespace sapphirebank {

// A request on its way.
struct EntryRequestHandler::RequestContext {
  HttpRequest request;
  CallerRequestInfo terms;
  // The version by which the request is handled from start to end.
  std::shared_ptr<const TrafficPlan> plan;
  const PlannedRoute* route = nullptr;
  const PlannedWorkspace* workspace = nullptr;
  const PlannedService* service = nullptr;
  Instant arrival_time;
  Instant deadline;         // Of the caller or the route, the earlier one.
  Instant caller_deadline;  // What backend servers are told of.
  RequestFingerprint fingerprint = 0;
  std::vector<KnownServerPtr> tried;
  int attempts_received = 0;
  // A server may have run it.
  bool may_have_run = false;
  // The next try takes from the retry budget.
  bool charge_retry_budget = false;
  // Spent at backend servers.
  Duration backend_time{};
  // Why the caller got no server's answer, if it got none.
  std::optional<ErrorKind> refusal_kind;
};

}  // namespace sapphirebank
