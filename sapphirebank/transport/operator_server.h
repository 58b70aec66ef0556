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

// Limits and address of the operators' port.
struct OperatorServerSettings {
  Endpoint endpoint = {"127.0.0.1", 0};  // Port 0 lets the system choose.
  std::size_t threads = 4;
  // Accepted connections that wait for a thread; further ones are not accepted
  // until there is room.
  std::size_t max_waiting = 64;
  std::size_t max_body_bytes = std::size_t{16} << 20U;
  // Longest silence of an operator while it sends or receives.
  Duration io_timeout = std::chrono::seconds(5);
};

// What the server asks the control host. All are called on the server's
// threads, several at a time.
struct OperatorHooks {
  // Returns the operator whose key has this digest, or nothing. Fails when the
  // host cannot tell who the operators are.
  std::function<Result<std::optional<std::string>>(std::string_view sha256)>
      operator_of_digest;
  std::function<Result<DocumentAtRevision>()> declarations;
  // Applies a change of the operator named in it. It must answer a resend as
  // the first time.
  std::function<Result<ChangeResult>(const ApplyChange& change)> apply;
  std::function<Result<FleetStatus>()> status;
  std::function<Result<std::vector<BackendStatus>>()> backends;
  // Returns the totals of the day, by the days of the fleet's offset from UTC.
  std::function<Result<DayReport>(const std::string& day)> totals;
  // Returns where the leader listens for operators, when it is known.
  std::function<std::optional<Endpoint>()> leader;
};

// Serves operators over HTTP/1.1 as docs/interfaces/operators.md says: one
// request on each connection, on a fixed number of threads.
class OperatorServer {
 public:
  // Opens the port and starts to serve. Fails with kInvalidSettings when the
  // port cannot be had or a hook is missing.
  static Result<std::unique_ptr<OperatorServer>> Start(
      const OperatorServerSettings& settings, OperatorHooks hooks);

  // Stops accepting and waits for the requests that are being answered.
  ~OperatorServer();

  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  // Returns the port that is listened on.
  std::uint16_t port() const;

 private:
  class Core;

  explicit OperatorServer(std::unique_ptr<Core> core);

  std::unique_ptr<Core> core_;
};

}  // namespace sapphirebank
