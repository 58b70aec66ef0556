#pragma once

#include <cstddef>

#include "sapphirebank/core/time.h"

// The times of control hosts on which the time of an acknowledgement depends;
// change_chain.h adds them up.
namespace sapphirebank {

// Timer period of the decision thread. Each wake-up costs CPU time.
inline constexpr Duration kControlTick = std::chrono::milliseconds(50);

// Raft heartbeat interval when no confirmations are due.
inline constexpr Duration kControlHeartbeat = std::chrono::milliseconds(250);

// A lost leader is replaced within one to two election timeouts plus a vote.
inline constexpr Duration kControlElectionTimeout =
    std::chrono::milliseconds(800);

// Election timeout right after a start, when links are established within a few
// tens of milliseconds.
inline constexpr Duration kFirstElectionTimeout =
    std::chrono::milliseconds(200);

// Timeout of a call that waits for the leader. Callers turn to another host
// after a second without a response.
inline constexpr Duration kControlCallTimeout = std::chrono::milliseconds(900);

// Time until a call is sent again to the leader that failed it.
inline constexpr Duration kControlCallRetry = std::chrono::milliseconds(50);

// Minimum time between two confirmations of changes by a relay, for each hub.
inline constexpr Duration kMinConfirmationPerHub = std::chrono::milliseconds(4);

// Minimum time between two messages that tell the hub which changes an entry
// host acts on: servers of a whole zone may leave within seconds.
inline constexpr Duration kMinConfirmationInterval =
    std::chrono::milliseconds(100);

}  // namespace sapphirebank
