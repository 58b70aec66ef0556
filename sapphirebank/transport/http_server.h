#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

// Address and limits of one listening port.
struct HttpServerSettings {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;  // 0 lets the system choose.
  std::size_t max_connections = 4096;
  std::size_t max_head_bytes = std::size_t{16} << 10U;
  // Total size in bytes of the request bodies buffered at one time.
  std::size_t max_held_bytes = std::size_t{64} << 20U;
  // Bytes of a refused request that are read and discarded before the
  // connection is closed, so that its caller gets the answer.
  std::size_t max_linger_bytes = std::size_t{1} << 20U;
  Duration idle_timeout = std::chrono::seconds(75);
  Duration head_timeout = std::chrono::seconds(10);
  Duration body_timeout = std::chrono::seconds(120);
  Duration write_timeout = std::chrono::seconds(60);
  // Mark refusals of requests that were not handled, so that another entry host
  // can tell them from a backend server's answers.
  bool marks_refusals = false;
  // Tell the handler when a request arrived and when its connection was opened,
  // and at once whether its caller has left meanwhile: a process that was
  // suspended reads late, and so does one behind a link that was cut. This
  // takes two system calls a request and one a connection.
  bool tracks_arrival = false;
  // TLS is off when these are empty (PEM files).
  std::string tls_certificate_file;
  std::string tls_key_file;
};

// An event-driven HTTP/1.1 server: an idle or slow connection costs memory, but
// no thread. The handler gets a request only once its body is complete, so that
// a slow upload does not occupy a slot of a backend server.
class HttpServer {
 public:
  struct Hooks {
    // Returns the limit of the request's body in bytes, or the Error with which
    // the request is refused before its body is read.
    std::function<Result<std::uint64_t>(const HttpRequestHead&)> accept_head;
    // Handles a complete request and returns its answer.
    std::function<boost::asio::awaitable<HttpAnswer>(HttpRequest)> handle;
  };

  // Opens the port and starts to accept connections. Fails with
  // kInvalidSettings when the port cannot be opened or a TLS file cannot be
  // read.
  static Result<HttpServer> Listen(boost::asio::io_context& loop,
                                   const HttpServerSettings& settings,
                                   Hooks hooks);

  // Returns the listening port.
  std::uint16_t port() const;

  // Returns the number of open connections.
  std::size_t connections() const;

  // Returns the number of requests that are being read or handled.
  std::size_t active_requests() const;

  // Sends all further answers with "Connection: close", save those before a
  // pipelined request that has been read. The port stays open, so that callers
  // that still have this address are served.
  void DisableKeepAlive();

  // Sets the limits for subsequent requests.
  void SetLimits(std::size_t max_head_bytes, Duration head_timeout,
                 Duration idle_timeout);

  // Stops accepting connections, closes idle ones and finishes active requests
  // and pipelined ones behind them with "Connection: close".
  void Drain();

 private:
  class Core;

  explicit HttpServer(std::shared_ptr<Core> core) : core_(std::move(core)) {}

  std::shared_ptr<Core> core_;
};

}  // namespace sapphirebank
