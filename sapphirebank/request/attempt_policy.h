#pragma once

#include <cstdint>

#include "sapphirebank/core/error_kind.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// How far an attempt got before it failed.
enum class AttemptStage {
  kWithheld,       // The sender decided not to send it; no byte was sent.
  kNotConnected,   // No connection; no byte of the request was sent.
  kRefusedByPeer,  // Another entry host reports that it was not run.
  kSent,           // At least one byte was sent; no complete answer.
  kAnswerStarted,  // Part of the answer was already passed on.
};

// Why an attempt ended without a complete answer.
struct AttemptFailure {
  AttemptStage stage = AttemptStage::kNotConnected;
  bool timed_out = false;
  // The sender discarded what had not left in time; the peer is not the cause.
  bool cut_off = false;
  // The connection had carried an earlier request.
  bool reused_connection = false;
  // Error kind reported by the peer; used with kRefusedByPeer.
  ErrorKind peer_kind = ErrorKind::kInternal;
};

// State of a request after one of its attempts has failed.
struct AttemptContext {
  bool idempotent = false;
  // Attempts so far, including the failed one.
  int attempts = 1;
  Duration time_left{};
  // The service's retry budget allows one more retry.
  bool retry_budget_left = false;
};

// What to do after a failed attempt.
enum class NextStep {
  kRetryOtherServer,    // On another backend server or host.
  kRetryNewConnection,  // On a new connection; not counted against the server.
  kRefuse,
};

// Decision after a failed attempt. `refusal` is valid only for kRefuse.
struct AttemptDecision {
  NextStep step = NextStep::kRefuse;
  ErrorKind refusal = ErrorKind::kInternal;
};

// Maximum number of attempts per request.
inline constexpr int kMaxAttempts = 3;

// Minimum time left before the deadline for a retry to be worthwhile.
inline constexpr Duration kMinRetryTime = std::chrono::milliseconds(20);

// Decides whether a failed attempt may be retried. A non-idempotent request is
// never sent again once any of its bytes has been sent.
AttemptDecision DecideAfterFailure(const AttemptContext& context,
                                   const AttemptFailure& failure);

}  // namespace sapphirebank
