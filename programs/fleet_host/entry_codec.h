#pragma once

#include <functional>
#include <optional>
#include <string>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/entry_view.h"
#include "sapphirebank/request/answer_sequence.h"
#include "sapphirebank/request/http_head.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

// Attributes of a caller's request that the platform's header fields carry.
struct CallerRequestInfo {
  RequestId id;
  // How long the caller waits for the answer, if it says so.
  std::optional<Duration> caller_timeout;
  std::string host;  // Value of the Host field.
  std::string key;   // Empty without a key.
};

// Attributes of a request that are passed to the backend server.
struct BackendRequestInfo {
  Duration time_left{};  // Until the caller's deadline.
  BackendId server;
  WorkspaceId workspace;  // Empty without a key.
};

// Signals that a backend server attaches to an answer.
struct BackendResponseInfo {
  // The server did not run the request.
  bool not_run = false;
  // The address now belongs to another server.
  bool misdirected = false;
  std::optional<ServerLoad> load;
  // The server accepts no new requests from now on.
  bool leaving = false;
  // Time for which the server wants no requests from this host.
  std::optional<Duration> pause;
  // Requests per second that the server accepts from all hosts together.
  std::optional<double> rate_limit;
};

// Converts requests and answers between the proxy and the wire format of
// callers and backend servers.
struct EntryCodec {
  // Reads the caller's attributes. Fails with kMalformedRequest.
  std::function<Result<CallerRequestInfo>(const HttpRequestHead&)>
      read_request_info;
  // Returns the header fields of the request to a backend server, given those
  // of the caller.
  std::function<HeaderFields(HeaderFields, const BackendRequestInfo&)>
      backend_fields;
  // Returns whether an answer belongs to the request with this id.
  std::function<AnswerMatch(const HeaderFields&, const RequestId&)>
      match_request;
  // Returns whether a backend server can have written an answer with this head,
  // which matches the request as stated.
  std::function<bool(const AnswerHead&, AnswerMatch)> is_genuine;
  // Reads the signals of a backend server's answer received at `now`.
  std::function<BackendResponseInfo(const HttpAnswer&, Instant now)>
      read_response_info;
  // Returns the error answer for the caller. `retry_after` is the suggested
  // delay before a retry, or zero for none.
  std::function<HttpAnswer(const Error&, const RequestId&,
                           Duration retry_after)>
      refusal;
};

}  // namespace sapphirebank
