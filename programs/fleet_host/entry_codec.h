#pragma once

#include <functional>
#include <optional>
#include <string>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/entry_view.h"
#include "sapphirebank/request/http_head.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

// What a caller says of its request besides what HTTP says.
struct CallerRequestInfo {
  RequestId id;
  // For how long the caller waits, when it tells.
  std::optional<Duration> caller_timeout;
  std::string host;
  std::string key;
};

// What a backend server is told of a request.
struct BackendRequestInfo {
  Duration time_left{};
  BackendId server;
  WorkspaceId workspace;  // Empty without a key.
};

// What a backend server says with an answer.
struct BackendResponseInfo {
  // The server says that it did not run the request.
  bool not_run = false;
  // The address is another server's by now.
  bool misdirected = false;
  std::optional<ServerLoad> load;
};

// How requests and answers look to callers and backend servers.
struct EntryCodec {
  // Reads what the caller says. Fails with kMalformedRequest.
  std::function<Result<CallerRequestInfo>(const HttpRequestHead&)>
      read_request_info;
  // Returns the fields of the request to a backend server.
  std::function<HeaderFields(HeaderFields, const BackendRequestInfo&)>
      backend_fields;
  // Returns whether an answer belongs to the request.
  std::function<bool(const HeaderFields&, const RequestId&)> belongs;
  std::function<BackendResponseInfo(const HttpAnswer&, Instant now)>
      read_response_info;
  // Returns the refusal that the caller gets. `retry_after` is when a retry
  // makes sense, zero when it does not.
  std::function<HttpAnswer(const Error&, const RequestId&,
                           Duration retry_after)>
      refusal;
};

}  // namespace sapphirebank
