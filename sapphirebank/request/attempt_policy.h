#pragma once

#include <cstdint>

#include "sapphirebank/core/error_kind.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// How far one try of a request came.
enum class AttemptStage {
  kNotConnected,   // No connection: no byte of the request left.
  kRefusedByPeer,  // Another entry host says truthfully that it did not run.
  kSent,           // At least one byte left; nothing whole came back.
  kAnswerStarted,  // Part of an answer that is already passed on came back.
};

// What ended a try that gave no whole answer.
struct AttemptFailure {
  AttemptStage stage = AttemptStage::kNotConnected;
  bool timed_out = false;
  // The connection had carried an earlier request.
  bool reused_connection = false;
  // Set when the peer gave a kind of its own (kRefusedByPeer).
  ErrorKind peer_kind = ErrorKind::kInternal;
};

// What is known about a request when one of its tries has failed.
struct AttemptContext {
  bool idempotent = false;
  // Tries so far, the failed one included.
  int attempts = 1;
  Duration time_left{};
  // The service's retry budget grants one more retry.
  bool retry_budget_left = false;
};

// What to do after a failed try.
enum class NextStep {
  kRetryOtherServer,    // On another backend server or host.
  kRetryNewConnection,  // On a new connection; the server is not to blame yet.
  kRefuse,
};

// The decision about a failed try; `refusal` counts when `step` is kRefuse.
struct AttemptDecision {
  NextStep step = NextStep::kRefuse;
  ErrorKind refusal = ErrorKind::kInternal;
};

// Tries of one request at most.
inline constexpr int kMaxAttempts = 3;

// Time that must be left for a retry to make sense.
inline constexpr Duration kMinRetryTime = std::chrono::milliseconds(20);

// Decides whether a failed try may be followed by another. A request that is
// not idempotent is never sent again once one of its bytes has left.
AttemptDecision DecideAfterFailure(const AttemptContext& context,
                                   const AttemptFailure& failure);

}  // namespace sapphirebank
