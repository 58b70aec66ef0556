#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sapphirebank/core/byte_budget.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/request/http_head.h"

namespace sapphirebank {

// A request without its body.
struct HttpRequestHead {
  std::string method;
  std::string target;
  HeaderFields fields;
};

// Notifies the handler of a request when the caller closes its connection
// ("hangs up"). Used on one event loop only.
class CallerWatch {
 public:
  // Returns whether the caller hung up.
  bool hung_up() const { return hung_up_; }

  // Sets the function to call when the caller hangs up; null clears it.
  void set_on_hang_up(std::function<void()> hook) { hook_ = std::move(hook); }

  // Records that the caller hung up and calls the hook. Further calls have no
  // effect.
  void HangUp();

 private:
  bool hung_up_ = false;
  std::function<void()> hook_;
};

// A completely received request.
struct HttpRequest {
  HttpRequestHead head;
  std::string body;
  std::string peer_address;
  std::shared_ptr<CallerWatch> watch;
  // When the last byte arrived at this machine, as far as the system tells; set
  // where HttpServerSettings::tracks_arrival asks for it.
  Instant arrived_at;
  // When its caller can have begun to open the connection at the earliest
  // (OpeningTime()); set with `arrived_at`.
  Instant connection_opened_at;
};

// Remaining part of a body that is too large to be buffered.
class BodyStream {
 public:
  virtual ~BodyStream() = default;

  // Returns the next piece, or an empty string at the end of the body. After an
  // Error the body is incomplete and must not be passed on as complete.
  virtual boost::asio::awaitable<Result<std::string>> Next() = 0;
};

// An HTTP response. Without `stream`, `body` is the complete body; with
// `stream` it is the beginning and the stream yields the rest.
struct HttpAnswer {
  int status = 200;
  HeaderFields fields;
  std::string body;
  std::shared_ptr<BodyStream> stream;
  // Declared length of a streamed body in bytes, when known.
  std::uint64_t stream_length = 0;
  bool stream_length_known = false;
  // Close the connection after sending the answer.
  bool close = false;
  // The memory of `body`, free for other answers once all copies are gone.
  std::shared_ptr<ByteReservation> memory;
};

}  // namespace sapphirebank
