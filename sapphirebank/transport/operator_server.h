#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/telemetry/totals.h"
#include "sapphirebank/transport/operator_messages.h"

namespace sapphirebank {

// Address and limits of the operators' port.
struct OperatorServerSettings {
  Endpoint endpoint = {"127.0.0.1", 0};  // Port 0 lets the system choose.
  std::size_t threads = 4;
  // Largest number of accepted connections that wait for a thread. Further ones
  // are not accepted until one is taken.
  std::size_t max_waiting = 64;
  std::size_t max_body_bytes = std::size_t{16} << 20U;
  // Time-out of each read from and write to an operator's connection.
  Duration io_timeout = std::chrono::seconds(5);
};

// Functions of the control host that the server calls. They are called on the
// server's threads, concurrently.
struct OperatorHooks {
  // Returns the operator whose key has this SHA-256 digest, or nothing. Fails
  // when the host does not know the current operators.
  std::function<Result<std::optional<std::string>>(std::string_view sha256)>
      operator_of_digest;
  std::function<Result<DocumentAtRevision>()> declarations;
  // Applies a change of the operator named in it. Must be idempotent: a resend
  // of the same change gets the result of the first call.
  std::function<Result<ChangeResult>(const ApplyChange& change)> apply;
  std::function<Result<FleetStatus>()> status;
  std::function<Result<std::vector<BackendStatus>>()> backends;
  // Returns the traffic totals of a day "YYYY-MM-DD" in the fleet's UTC offset.
  std::function<Result<DayReport>(const std::string& day)> totals;
  // Returns the leader's endpoint for operators, if known.
  std::function<std::optional<Endpoint>()> leader;
};

// HTTP/1.1 server for operators, specified in docs/interfaces/operators.md. It
// serves one request per connection on a fixed number of threads.
class OperatorServer {
 public:
  // Opens the port and starts the threads. Fails with kInvalidSettings when the
  // port cannot be opened or a hook is missing.
  static Result<std::unique_ptr<OperatorServer>> Start(
      const OperatorServerSettings& settings, OperatorHooks hooks);

  // Stops accepting connections and waits for the requests being handled.
  ~OperatorServer();

  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  // Returns the listening port.
  std::uint16_t port() const;

 private:
  class Core;

  explicit OperatorServer(std::unique_ptr<Core> core);

  std::unique_ptr<Core> core_;
};

}  // namespace sapphirebank
