#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "programs/fleet_host/entry_request_handler.h"
#include "sapphirebank/request/execution_record.h"
#include "sapphirebank/transport/detour_fields.h"

namespace sapphirebank {

// Answers up to this size in bytes are buffered in full before they are passed
// on; longer ones are streamed.
inline constexpr std::uint64_t kMaxBufferedAnswer = std::uint64_t{1} << 20U;

// One attempt of a request, for the logs.
struct AttemptRecord {
  // Id of the backend server, or address of the entry host.
  std::string to;
  ExchangeTrace trace;
  NotRunEvidence evidence = NotRunEvidence::kNone;
};

// State of a request from its arrival to its answer.
struct EntryRequestHandler::RequestContext {
  HttpRequest request;
  CallerRequestInfo info;
  // The plan that applies to the request from start to end, also when a newer
  // one comes into force.
  std::shared_ptr<const TrafficPlan> plan;
  const PlannedRoute* route = nullptr;
  const PlannedWorkspace* workspace = nullptr;
  const PlannedService* service = nullptr;
  Instant arrival_time;
  Instant deadline;         // Earlier of the caller's and the route's.
  Instant caller_deadline;  // Passed on to backend servers.
  RequestFingerprint fingerprint = 0;
  std::vector<KnownServerPtr> tried;
  std::vector<AttemptRecord> attempts;
  // Attempts that reached a backend server.
  int attempts_received = 0;
  // Those of them that a server says it did not run.
  int attempts_rejected = 0;
  // Attempts to which no connection could be made.
  int unreachable_attempts = 0;
  // What the entry host that sent the request here told of it.
  std::optional<DetourRequest> detour;
  // Entry hosts that the request was sent to.
  std::vector<std::string> detour_hosts;
  // The attempt is abandoned because this host has lost its path.
  bool abandoned_for_detour = false;
  // What this host and those that it sent the request to know of its execution.
  // A host that got the request by a detour leaves out what was before.
  ExecutionRecord execution;
  // A token of the workspace's rate must be taken before the first attempt.
  bool needs_token = false;
  // Server of the next attempt, chosen before the last one was abandoned.
  std::optional<EntryState::Choice> next_choice;
  // The next attempt is charged to the retry budget.
  bool charge_retry_budget = false;
  // Time for which the request was held until there would be room.
  Duration held_time{};
  // This host refused the request without its hub's answer.
  bool is_refused_by_host = false;
  // When the hub wants the caller of a refused request to return.
  std::optional<Duration> return_after;
  // Time spent in exchanges with backend servers.
  Duration backend_time{};
  // Why the request was refused; nothing when a server's answer was passed
  // on.
  std::optional<ErrorKind> refusal_kind;
};

}  // namespace sapphirebank
