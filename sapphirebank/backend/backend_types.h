#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Names the backend servers that one entry host owns together: those of one
// service in one availability zone.
struct BackendKey {
  ServiceId service;
  ZoneId zone;

  friend bool operator==(const BackendKey&, const BackendKey&) = default;
  friend bool operator<(const BackendKey& left, const BackendKey& right) {
    return std::tie(left.service, left.zone) <
           std::tie(right.service, right.zone);
  }
};

// Where a backend server listens.
struct BackendAddress {
  std::string ip;  // A literal IPv4 or IPv6 address.
  std::uint16_t port = 0;

  friend bool operator==(const BackendAddress&,
                         const BackendAddress&) = default;
};

// Identifies requests that are the same work: a digest of service, method,
// path and body. 0 means that the request has none.
using Fingerprint = std::uint64_t;

// Identifies one try of a request on one backend server, within one pool.
using AttemptId = std::uint64_t;

// How one try ended.
enum class OutcomeKind {
  kSuccess,            // A whole answer that is not a server error.
  kHttpError,          // A whole answer with a status of 500 or above.
  kTimedOut,           // No whole answer before the deadline.
  kConnectionRefused,  // No connection: no byte of the request was sent.
  kConnectionLost,     // The connection ended before the answer was whole.
  kCancelled,          // The caller hung up or the host gave up the request.
};

// What is known about one try when it ended.
struct Outcome {
  OutcomeKind kind = OutcomeKind::kSuccess;
  // From the first byte sent to the last byte of the answer.
  Duration latency = Duration::zero();
  std::uint64_t answer_bytes = 0;
  // Whether the connection was opened for this try.
  bool fresh_connection = false;
};

// What to do with the connection of a finished try.
enum class ConnectionAdvice {
  kKeep,
  // Close it: a late answer on it could be taken for another request's.
  kClose,
  // Close it and the idle ones to the same server, which may have gone silent
  // with it; a retry belongs on a new connection.
  kCloseIdle,
};

}  // namespace sapphirebank
