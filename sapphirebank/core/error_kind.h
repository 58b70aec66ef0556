#pragma once

#include <optional>
#include <span>
#include <string_view>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Every way in which a request, a command or a start can fail. The list is
// closed: the answer for each kind stands in one table, in error_kind.cc.
enum class ErrorKind {
  // The caller's request cannot be accepted as it is.
  kMalformedRequest,
  kHeadersTooLarge,
  kBodyTooLarge,
  kRequestTimeout,
  kNoRoute,
  kMethodNotAllowed,
  kKeyMissing,
  kKeyUnknown,
  kKeyNotAllowed,
  kKeyUnverifiable,
  // The request was refused to protect the workspace or a backend server.
  kRateExceeded,
  kRateUnavailable,
  kQueueFull,
  kQueueTimeout,
  kDeadlineTooShort,
  kRequestQuarantined,
  kNoBackendServer,
  kHostLeaving,
  kNoConfiguration,
  // The idempotency key stands against the request.
  kIdempotencyKeyReused,
  kIdempotencyRunning,
  kIdempotencyUnknown,
  kIdempotencyUnavailable,
  // A backend server failed.
  kBackendUnreachable,
  kBackendTimeout,
  kBackendBroken,
  kAnswerTooLarge,
  // Control and start-up.
  kOperatorUnknown,
  kRevisionConflict,
  kInvalidDeclaration,
  kInvalidSettings,
  kNotLeader,
  kNoQuorum,
  kStorageFailed,
  kPeerRejected,
  kNotFound,
  kInternal,
};

// Whether a backend server may have worked on a request that failed.
enum class Execution {
  kNotRun,   // No byte of the request reached a backend server.
  kUnknown,  // It may have run.
};

// What a caller is told about one ErrorKind.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Execution execution;
  // Time after which a retry makes sense; zero when a retry cannot help.
  Duration retry_after;
  std::string_view title;
};

// Returns the table's row for `kind`.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// Returns the whole table, one row for each kind, in the order of the enum.
std::span<const ErrorAnswer> ErrorTable();

// Returns the kind whose row has `name`, if there is one.
std::optional<ErrorKind> ErrorKindFromName(std::string_view name);

// Returns the text which stands for `execution` in answers and logs.
std::string_view ExecutionName(Execution execution);

}  // namespace sapphirebank
