#include "sapphirebank/request/attempt_policy.h"

namespace sapphirebank {
namespace {

ErrorKind RefusalFor(const AttemptFailure& failure) {
  switch (failure.stage) {
    case AttemptStage::kWithheld:
      return ErrorKind::kNoBackendServer;
    case AttemptStage::kNotConnected:
      return ErrorKind::kBackendUnreachable;
    case AttemptStage::kRefusedByPeer:
      return failure.peer_kind;
    case AttemptStage::kSent:
    case AttemptStage::kAnswerStarted:
      break;
  }
  return failure.timed_out ? ErrorKind::kBackendTimeout
                           : ErrorKind::kBackendBroken;
}

bool CannotHaveRun(AttemptStage stage) {
  return stage == AttemptStage::kWithheld ||
         stage == AttemptStage::kNotConnected ||
         stage == AttemptStage::kRefusedByPeer;
}

bool MayRetry(const AttemptContext& context, const AttemptFailure& failure) {
  if (failure.stage == AttemptStage::kAnswerStarted) return false;
  if (!context.idempotent && !CannotHaveRun(failure.stage)) return false;
  return context.attempts < kMaxAttempts &&
         context.time_left >= kMinRetryTime && context.retry_budget_left;
}

}  // namespace

AttemptDecision DecideAfterFailure(const AttemptContext& context,
                                   const AttemptFailure& failure) {
  if (!MayRetry(context, failure)) {
    return {NextStep::kRefuse, RefusalFor(failure)};
  }
  // A middlebox may have dropped the state of a reused connection, so this
  // failure is no evidence against the server.
  if (failure.stage == AttemptStage::kSent && failure.reused_connection) {
    return {NextStep::kRetryNewConnection, ErrorKind::kInternal};
  }
  return {NextStep::kRetryOtherServer, ErrorKind::kInternal};
}

}  // namespace sapphirebank
