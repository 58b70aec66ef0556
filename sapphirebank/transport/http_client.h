#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "sapphirebank/core/byte_budget.h"
#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/request/answer_sequence.h"
#include "sapphirebank/request/attempt_policy.h"
#include "sapphirebank/transport/http_message.h"
#include "sapphirebank/transport/send_watch.h"

namespace sapphirebank {

// One request to send and how to receive its answer.
struct HttpExchange {
  Endpoint to;
  std::string method;
  std::string target;
  HeaderFields fields;
  std::string_view body;  // Must outlive the exchange.
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Time from the first byte sent until the answer is complete.
  Duration answer_timeout = std::chrono::seconds(10);
  // Answers with a body up to this size in bytes are buffered and returned
  // complete; longer ones are returned as a stream.
  std::uint64_t max_buffered_bytes = 1 << 20U;
  // Value of the Host field; empty for the address in `to`.
  std::string host;
  // Returns, from an answer's header fields, whether it answers this request.
  // Late answers to earlier requests are skipped, as AnswerSequence says; when
  // none can be trusted, the exchange fails with AttemptStage::kSent. A
  // connection whose last answer named no request is closed. Null accepts all.
  AnswerSequence::Matcher match_request;
  // Returns whether the peer can have written an answer with this head. If not,
  // the exchange fails with AttemptStage::kSent. Null accepts all.
  AnswerSequence::GenuineCheck is_genuine;
  // Identifies the request to `match_request`, such as a hash of its id; 0 for
  // none. No connection carries two requests with the same one.
  std::uint64_t identity = 0;
  // Called right before the first byte is sent, as establishing a connection
  // takes time. When it returns false nothing is sent, and the exchange fails
  // with AttemptStage::kWithheld. Null always sends.
  std::function<bool()> may_send;
  // Returns by when the peer must have the whole request, as far as is known
  // now. Bytes that are still on their way then are discarded with the
  // connection, so that the peer never gets the request whole, and the exchange
  // fails as cut off. Null sets no limit.
  std::function<Instant()> arrival_limit;
  // Called when the peer has acknowledged all bytes of the request, with the
  // time since the first one, unless that took less than 0.2 s or the peer
  // answered before. Null does nothing.
  std::function<void(Duration)> on_left;
  // Open a new connection in place of reusing an idle one.
  bool fresh_connection = false;
};

// Limits of an HttpClient.
struct HttpClientSettings {
  std::size_t max_idle_per_endpoint = 8;
  Duration max_idle_time = std::chrono::seconds(20);
  // A connection is closed when sent bytes stay unacknowledged for this long
  // (TCP_USER_TIMEOUT).
  Duration unacknowledged_timeout = std::chrono::seconds(2);
  // Memory in bytes for all answers together until they are passed on,
  // including what was read and is not parsed yet.
  std::size_t max_answer_bytes = std::size_t{64} << 20U;
  // Rate of this host's own link in bytes per second; 0 if it is not known.
  double link_rate = 0;
};

// What an exchange sent and received, whatever its outcome.
struct ExchangeTrace {
  // Number of the connection, counted by the client from 1; 0 for none.
  std::uint64_t connection = 0;
  // Requests on the connection up to this one: 1 for the first.
  std::uint32_t request_number = 0;
  // Bytes of the request that the system accepted for sending.
  std::size_t bytes_sent = 0;
  // Complete answers to other requests that came before the answer.
  int answers_skipped = 0;
  // Status of the answer that came last; 0 for none.
  int status = 0;
  AnswerMatch match = AnswerMatch::kUnknown;
  // Nothing came on the connection between the request and the answer.
  bool is_first_answer = false;
  AnswerDoubt doubt = AnswerDoubt::kNone;
};

// Outcome of an exchange.
struct ExchangeResult {
  std::variant<HttpAnswer, AttemptFailure> outcome;
  bool reused_connection = false;
  ExchangeTrace trace;
};

// HTTP/1.1 client with a pool of idle connections; no pipelining. A connection
// is not reused after a time-out, after an incomplete answer, or when bytes
// arrived on it while it was idle: a late answer must not be taken for the
// answer to the next request. For a while after a server has written bytes that
// belong to no request, each request to it gets a connection of its own. One
// answer gets a part of the memory that is free; a longer body is returned as a
// stream, a longer head fails. Used on one event loop only.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context& loop, HttpClientSettings settings);

  // Sends a request and receives its answer. When `watch` reports that the
  // caller hung up, the connection is closed, so that the server can cancel the
  // request.
  boost::asio::awaitable<ExchangeResult> Exchange(
      HttpExchange exchange, std::shared_ptr<CallerWatch> watch);

  // Opens a connection to `to` and keeps it for later exchanges. Returns
  // whether the peer accepted it within `timeout`.
  boost::asio::awaitable<bool> OpenIdleConnection(Endpoint to,
                                                  Duration timeout);

  // Returns the time in which a request with a body of `bytes` bytes leaves
  // this host, behind those that are on their way now; zero where the rate of
  // its link is not known.
  Duration ExpectedWay(std::size_t bytes) const;

  // Closes all idle connections to `to`.
  void CloseIdleConnections(const Endpoint& to);

 private:
  class Pool;

  boost::asio::awaitable<ExchangeResult> Exchange(
      HttpExchange exchange, std::shared_ptr<CallerWatch> watch,
      ExchangeTrace& trace);

  boost::asio::io_context& loop_;
  HttpClientSettings settings_;
  std::shared_ptr<Pool> pool_;
  std::shared_ptr<ByteBudget> memory_;
  BytesOnWay bytes_on_way_ = std::make_shared<std::size_t>(0);
};

}  // namespace sapphirebank
