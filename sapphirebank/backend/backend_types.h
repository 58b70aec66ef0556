#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Identifies the backend servers that one entry host owns together: those of
// one service in one availability zone.
struct BackendKey {
  ServiceId service;
  ZoneId zone;

  friend bool operator==(const BackendKey&, const BackendKey&) = default;
  friend bool operator<(const BackendKey& left, const BackendKey& right) {
    return std::tie(left.service, left.zone) <
           std::tie(right.service, right.zone);
  }
};

// Address at which a backend server listens.
struct BackendAddress {
  std::string ip;  // A literal IPv4 or IPv6 address.
  std::uint16_t port = 0;

  friend bool operator==(const BackendAddress&,
                         const BackendAddress&) = default;
};

// Identifies equal requests: a digest of service, method, path and body. 0
// means that the request has no fingerprint.
using Fingerprint = std::uint64_t;

// Identifies one attempt of a request on one backend server, unique within a
// pool.
using AttemptId = std::uint64_t;

// How an attempt ended.
enum class OutcomeKind {
  kSuccess,            // A complete answer that is not a server error.
  kHttpError,          // A complete answer with a status of 500 or above.
  kTimedOut,           // No complete answer before the deadline.
  kConnectionRefused,  // No connection: no byte of the request was sent.
  kConnectionLost,  // The connection was lost before the answer was complete.
  kCancelled,       // The caller hung up or the host gave up.
};

// Outcome of an attempt.
struct Outcome {
  OutcomeKind kind = OutcomeKind::kSuccess;
  // From the first byte sent to the last byte of the answer.
  Duration latency = Duration::zero();
  std::uint64_t answer_bytes = 0;
  // Whether the connection was opened for this attempt.
  bool fresh_connection = false;
};

// What to do with the connection of a finished attempt.
enum class ConnectionAdvice {
  kKeep,
  // Close it: a late answer on it could be mistaken for that of another
  // request.
  kClose,
  // Close it and the idle connections to the same server, which may have been
  // cut silently as well; a retry belongs on a new connection.
  kCloseIdle,
};

}  // namespace sapphirebank
