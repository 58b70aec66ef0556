#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/request/attempt_policy.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

// One try of a request.
struct HttpExchange {
  Endpoint to;
  std::string method;
  std::string target;
  HeaderFields fields;
  std::string_view body;  // Must outlive the exchange.
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Time for the whole answer, from the first byte that is sent.
  Duration answer_timeout = std::chrono::seconds(10);
  // Bytes of the answer that are held until it is whole; a longer answer is
  // returned as a stream.
  std::uint64_t max_buffered_bytes = 1 << 20U;
  // The Host field; that of the address when empty.
  std::string host;
  // Tells by its fields whether an answer belongs to this exchange. Others are
  // late answers to earlier requests, and are skipped. Null accepts all.
  std::function<bool(const HeaderFields&)> matches_request;
  // Do not use a connection that carried an earlier request.
  bool fresh_connection = false;
};

// Limits of an HttpClient.
struct HttpClientSettings {
  std::size_t max_idle_per_endpoint = 8;
  Duration max_idle_time = std::chrono::seconds(20);
  // Time after which unacknowledged bytes end a connection (TCP_USER_TIMEOUT).
  Duration unacknowledged_timeout = std::chrono::seconds(2);
};

// What came of an exchange.
struct ExchangeResult {
  std::variant<HttpAnswer, AttemptFailure> outcome;
  bool reused_connection = false;
};

// Sends requests, one at a time on each connection, and keeps idle connections
// for a while. A connection is never used again after a time-out, after half
// an answer, or when anything came in on it while it was idle: a late answer
// must not reach the next request. Used on one event loop only.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context& loop, HttpClientSettings settings);

  // Carries out one try. When `watch` tells that the caller hung up, the
  // connection is closed, which cancels the work at the other end.
  boost::asio::awaitable<ExchangeResult> Exchange(
      HttpExchange exchange, std::shared_ptr<CallerWatch> watch);

  // Closes the idle connections to `to`.
  void CloseIdleConnections(const Endpoint& to);

 private:
  class Pool;

  boost::asio::io_context& loop_;
  HttpClientSettings settings_;
  std::shared_ptr<Pool> pool_;
};

}  // namespace sapphirebank
