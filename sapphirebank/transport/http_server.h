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

// Limits and addresses of one listening port.
struct HttpServerSettings {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;  // 0 lets the system choose.
  std::size_t max_connections = 4096;
  std::size_t max_head_bytes = std::size_t{16} << 10U;
  // Bytes of request bodies held at once over all connections.
  std::size_t max_held_bytes = std::size_t{64} << 20U;
  Duration idle_timeout = std::chrono::seconds(75);
  Duration head_timeout = std::chrono::seconds(10);
  Duration body_timeout = std::chrono::seconds(120);
  Duration write_timeout = std::chrono::seconds(60);
  // TLS is off when these are empty (PEM files).
  std::string tls_certificate_file;
  std::string tls_key_file;
};

// An event-driven HTTP/1.1 server: an idle or slow connection costs memory,
// never a thread. A request reaches the handler only once its body is whole,
// so that a slow upload holds nothing of a backend server.
class HttpServer {
 public:
  struct Hooks {
    // Returns how many bytes the request's body may have, or the Error with
    // which it is refused before its body is read.
    std::function<Result<std::uint64_t>(const HttpRequestHead&)> accept_head;
    // Answers a whole request.
    std::function<boost::asio::awaitable<HttpAnswer>(HttpRequest)> handle;
  };

  // Opens the port. Fails with kInvalidSettings when it cannot be had or a TLS
  // file cannot be read.
  static Result<HttpServer> Listen(boost::asio::io_context& loop,
                                   const HttpServerSettings& settings,
                                   Hooks hooks);

  // Returns the port that is listened on.
  std::uint16_t port() const;

  // Returns the number of open connections.
  std::size_t connections() const;

  // Returns the number of requests that are being read or answered.
  std::size_t active_requests() const;

  // Answers with "Connection: close" from now on, but goes on accepting, so
  // that callers which still hold the address lose nothing.
  void DisableKeepAlive();

  // Sets the limits for requests that begin from now on.
  void SetLimits(std::size_t max_head_bytes, Duration head_timeout,
                 Duration idle_timeout);

  // Stops accepting, closes idle connections, and lets every answer that is
  // under way be finished with "Connection: close".
  void Drain();

 private:
  class Core;

  explicit HttpServer(std::shared_ptr<Core> core) : core_(std::move(core)) {}

  std::shared_ptr<Core> core_;
};

}  // namespace sapphirebank
