#include "sapphirebank/transport/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "sapphirebank/transport/answer_reader.h"
#include "sapphirebank/transport/connection_end.h"
#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyTime = std::chrono::steady_clock::time_point;

// Part of the free memory that one answer may take: with as many answers that
// take all they can as a host has connections, one of a few kilobytes still
// finds room.
constexpr double kAnswerShare = 0.25;

// The same for a body that is passed on while it is read.
constexpr std::size_t kStreamReadBytes = std::size_t{16} << 10U;

// An idle connection keeps a read buffer of this size at most.
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{4} << 10U;

// A server may answer and close before it has read the whole body. After a
// failed write the client waits this long for such an answer.
constexpr Duration kEarlyAnswerTime = std::chrono::milliseconds(50);

// Idle connections are closed after this fraction of the server's stated
// keep-alive time, so that a request does not race with the server's close.
constexpr double kServerIdleTimeFraction = 0.7;

// Requests on one connection; bounds the identities that it remembers.
constexpr std::size_t kMaxRequestsPerConnection = 256;

// Time for which no connection to a server is kept after one of them had bytes
// that belong to no request.
constexpr Duration kStrayBytesPause = std::chrono::seconds(10);

// Servers for which that is remembered. Beyond it the oldest is forgotten: a
// connection is then kept again, and its answers are checked all the same.
constexpr std::size_t kMaxStrayServers = 1024;

auto CaptureError(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

struct Connection {
  explicit Connection(asio::io_context& loop) : stream(loop) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  SteadyTime idle_since;
  // Keep-alive time that the server stated; zero if it stated none.
  Duration server_idle_time{};
  // Counted by the client from 1.
  std::uint64_t number = 0;
  // Identities of the requests that were sent on it.
  std::vector<std::uint64_t> carried;

  bool HasCarried(std::uint64_t identity) const {
    return identity != 0 &&
           std::find(carried.begin(), carried.end(), identity) != carried.end();
  }
};

using ConnectionPtr = std::shared_ptr<Connection>;

enum class IdleState { kSilent, kClosed, kHasBytes };

// Returns whether an idle connection is open and has bytes to read.
IdleState StateOf(Connection& connection) {
  char byte = 0;
  const auto got = ::recv(connection.stream.socket().native_handle(), &byte, 1,
                          MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) return IdleState::kHasBytes;
  const bool is_silent = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return is_silent ? IdleState::kSilent : IdleState::kClosed;
}

void SetSocketOptions(tcp::socket& socket, Duration unacknowledged) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto timeout = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(unacknowledged)
          .count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof(timeout));
}

http::request<http::string_body> RequestOf(const HttpExchange& exchange) {
  http::request<http::string_body> request;
  request.method_string(exchange.method);
  request.target(exchange.target);
  request.version(11);
  for (const HeaderField& field : exchange.fields) {
    request.insert(field.name, field.value);
  }
  request.set(http::field::host,
              exchange.host.empty() ? ToString(exchange.to) : exchange.host);
  request.body() = std::string(exchange.body);
  const bool has_body = !exchange.body.empty() || exchange.method == "POST" ||
                        exchange.method == "PUT" || exchange.method == "PATCH";
  if (has_body) request.content_length(exchange.body.size());
  return request;
}

// Rest of the body of an answer that exceeds max_buffered_bytes or its memory.
class AnswerStream : public BodyStream {
 public:
  AnswerStream(ConnectionPtr connection, std::unique_ptr<AnswerParser> parser,
               ByteReservation memory, EndCheck is_orderly,
               std::shared_ptr<CallerWatch> watch)
      : connection_(std::move(connection)),
        parser_(std::move(parser)),
        memory_(std::move(memory)),
        is_orderly_(std::move(is_orderly)),
        watch_(std::move(watch)) {}

  ~AnswerStream() override {
    if (watch_) watch_->set_on_hang_up(nullptr);
  }

  asio::awaitable<Result<std::string>> Next() override {
    if (connection_->buffer.capacity() > 2 * kStreamReadBytes) {
      connection_->buffer.shrink_to_fit();
    }
    error_code error = broken_by_;
    while (!error && !parser_->is_done()) {
      const bool has_memory =
          co_await ReadSome(connection_->stream, connection_->buffer, *parser_,
                            memory_, kStreamReadBytes, is_orderly_, error);
      if (!has_memory) error = asio::error::no_memory;
      auto& body = parser_->get().body();
      if (!error && !body.empty()) {
        co_return std::exchange(body, std::string());
      }
    }
    broken_by_ = error;
    if (!error) co_return std::string();
    co_return Fail(
        ErrorKind::kBackendBroken,
        "connection failed before the answer was complete: " + error.message());
  }

 private:
  ConnectionPtr connection_;
  std::unique_ptr<AnswerParser> parser_;
  ByteReservation memory_;
  EndCheck is_orderly_;
  std::shared_ptr<CallerWatch> watch_;
  // The error after which the answer stays incomplete, if any.
  error_code broken_by_;
};

// While in scope, closes a connection when the caller hangs up.
class CloseOnHangUp {
 public:
  CloseOnHangUp(std::shared_ptr<CallerWatch> watch,
                const ConnectionPtr& connection)
      : watch_(std::move(watch)) {
    if (!watch_) return;
    watch_->set_on_hang_up([weak = std::weak_ptr<Connection>(connection)] {
      if (const auto open = weak.lock()) open->stream.close();
    });
  }
  ~CloseOnHangUp() {
    if (watch_) watch_->set_on_hang_up(nullptr);
  }
  CloseOnHangUp(const CloseOnHangUp&) = delete;
  CloseOnHangUp& operator=(const CloseOnHangUp&) = delete;

  // Leaves the hook installed; the returned watch's owner must clear it.
  std::shared_ptr<CallerWatch> Release() { return std::move(watch_); }

 private:
  std::shared_ptr<CallerWatch> watch_;
};

ExchangeResult Failure(AttemptStage stage, error_code error, bool reused) {
  AttemptFailure failure;
  failure.stage = stage;
  failure.timed_out =
      error == beast::error::timeout || error == asio::error::timed_out;
  failure.reused_connection = reused;
  return {failure, reused, {}};
}

// Returns the failure of a request of which `sent` bytes were written when it
// was cut off.
ExchangeResult CutOff(std::size_t sent, bool reused) {
  ExchangeResult result =
      Failure(sent == 0 ? AttemptStage::kWithheld : AttemptStage::kSent,
              beast::error::timeout, reused);
  std::get<AttemptFailure>(result.outcome).cut_off = true;
  return result;
}

// Writes a request and returns the number of bytes that were written. The limit
// is looked at before each part, as a suspended process fires no timers.
asio::awaitable<std::size_t> WriteRequest(
    Connection& connection, const http::request<http::string_body>& request,
    SendWatch& watch, error_code& error) {
  http::request_serializer<http::string_body> serializer(request);
  std::size_t sent = 0;
  while (!error && !serializer.is_done() && !watch.CutIfLate(MonotonicNow())) {
    sent += co_await http::async_write_some(connection.stream, serializer,
                                            CaptureError(error));
  }
  co_return sent;
}

// Records what `sequence` makes of the answers so far.
void RecordAnswers(const AnswerSequence& sequence, ExchangeTrace& trace) {
  trace.match = sequence.match();
  trace.answers_skipped = sequence.answers_skipped();
  trace.is_first_answer = sequence.is_first();
  trace.doubt = sequence.doubt();
}

// Returns the time-out in the Keep-Alive header field, or zero if it has none.
Duration KeepAliveTimeout(const HeaderFields& fields) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = FieldValue(fields, "keep-alive");
  const auto at = value.find(kTimeout);
  if (at == std::string_view::npos) return Duration::zero();
  int seconds = 0;
  const char* const end = value.data() + value.size();
  std::from_chars(value.data() + at + kTimeout.size(), end, seconds);
  return std::chrono::seconds(std::max(seconds, 0));
}

}  // namespace

class HttpClient::Pool {
 public:
  Pool(asio::io_context& loop, HttpClientSettings settings)
      : loop_(loop), settings_(settings) {}

  // Returns an idle connection that the exchange may use, or opens one.
  // `exchange` must outlive the call; a failure is stored in `error`.
  asio::awaitable<ConnectionPtr> Acquire(const HttpExchange& exchange,
                                         error_code& error) {
    ConnectionPtr connection;
    if (!exchange.fresh_connection) {
      connection = TakeIdle(exchange.to, exchange.identity);
    }
    if (!connection) {
      connection = co_await Open(exchange.to, exchange.connect_timeout, error);
    }
    co_return connection;
  }

  // Returns an idle connection for a request with this identity, or null.
  ConnectionPtr TakeIdle(const Endpoint& to, std::uint64_t identity) {
    const auto found = idle_.find(to);
    if (found == idle_.end()) return nullptr;
    auto& connections = found->second;
    const auto now = std::chrono::steady_clock::now();
    for (auto it = connections.end(); it != connections.begin();) {
      --it;
      if ((*it)->HasCarried(identity)) continue;
      ConnectionPtr connection = std::move(*it);
      it = connections.erase(it);
      if (now - connection->idle_since >= IdleLimit(*connection)) continue;
      const IdleState state = StateOf(*connection);
      if (state == IdleState::kSilent) return connection;
      if (state != IdleState::kHasBytes) continue;
      RecordStrayBytes(to);
      return nullptr;
    }
    return nullptr;
  }

  // Records that a server wrote bytes that belong to no request: its idle
  // connections may have more of them on their way.
  void RecordStrayBytes(const Endpoint& to) {
    const auto now = std::chrono::steady_clock::now();
    if (stray_bytes_.size() >= kMaxStrayServers && !stray_bytes_.contains(to)) {
      stray_bytes_.erase(std::min_element(
          stray_bytes_.begin(), stray_bytes_.end(),
          [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
    stray_bytes_[to] = now;
    idle_.erase(to);
  }

  // Opens a connection; failures are stored in `error`.
  asio::awaitable<ConnectionPtr> Open(Endpoint to, Duration timeout,
                                      error_code& error) {
    auto connection = std::make_shared<Connection>(loop_);
    connection->number = ++connections_opened_;
    connection->stream.expires_after(timeout);
    const tcp::endpoint endpoint(asio::ip::make_address(to.ip), to.port);
    co_await connection->stream.async_connect(endpoint, CaptureError(error));
    if (!error) {
      SetSocketOptions(connection->stream.socket(),
                       settings_.unacknowledged_timeout);
    }
    co_return connection;
  }

  void ReturnIdle(const Endpoint& to, ConnectionPtr connection) {
    if (connection->carried.size() >= kMaxRequestsPerConnection) return;
    const auto now = std::chrono::steady_clock::now();
    const auto stray = stray_bytes_.find(to);
    const bool had_requests = !connection->carried.empty();
    if (stray != stray_bytes_.end()) {
      const bool is_over = now - stray->second >= kStrayBytesPause;
      if (is_over) stray_bytes_.erase(stray);
      if (!is_over && had_requests) return;
    }
    auto& connections = idle_[to];
    if (connections.size() >= settings_.max_idle_per_endpoint) {
      connections.pop_front();
    }
    if (connection->buffer.capacity() > kMaxIdleBufferBytes) {
      connection->buffer.shrink_to_fit();
    }
    connection->idle_since = now;
    connection->stream.expires_never();
    connections.push_back(std::move(connection));
  }

  void CloseIdleConnections(const Endpoint& to) { idle_.erase(to); }

 private:
  Duration IdleLimit(const Connection& connection) const {
    if (connection.server_idle_time == Duration::zero()) {
      return settings_.max_idle_time;
    }
    return std::min(settings_.max_idle_time,
                    FromSeconds(ToSeconds(connection.server_idle_time) *
                                kServerIdleTimeFraction));
  }

  asio::io_context& loop_;
  HttpClientSettings settings_;
  std::map<Endpoint, std::deque<ConnectionPtr>> idle_;
  // When servers last wrote bytes that belong to no request.
  std::map<Endpoint, SteadyTime> stray_bytes_;
  std::uint64_t connections_opened_ = 0;
};

HttpClient::HttpClient(asio::io_context& loop, HttpClientSettings settings)
    : loop_(loop),
      settings_(settings),
      pool_(std::make_shared<Pool>(loop, settings)),
      memory_(std::make_shared<ByteBudget>(settings.max_answer_bytes,
                                           kAnswerShare)) {}

asio::awaitable<bool> HttpClient::OpenIdleConnection(Endpoint to,
                                                     Duration timeout) {
  error_code error;
  ConnectionPtr connection = co_await pool_->Open(to, timeout, error);
  if (error) co_return false;
  pool_->ReturnIdle(to, std::move(connection));
  co_return true;
}

Duration HttpClient::ExpectedWay(std::size_t bytes) const {
  if (settings_.link_rate <= 0) return Duration::zero();
  const auto waiting = static_cast<double>(*bytes_on_way_ + bytes);
  return FromSeconds(waiting / settings_.link_rate);
}

void HttpClient::CloseIdleConnections(const Endpoint& to) {
  pool_->CloseIdleConnections(to);
}

asio::awaitable<ExchangeResult> HttpClient::Exchange(
    HttpExchange exchange, std::shared_ptr<CallerWatch> watch) {
  ExchangeTrace trace;
  ExchangeResult result =
      co_await Exchange(std::move(exchange), std::move(watch), trace);
  result.trace = trace;
  co_return result;
}

asio::awaitable<ExchangeResult> HttpClient::Exchange(
    HttpExchange exchange, std::shared_ptr<CallerWatch> watch,
    ExchangeTrace& trace) {
  error_code error;
  ConnectionPtr connection = co_await pool_->Acquire(exchange, error);
  if (error) co_return Failure(AttemptStage::kNotConnected, error, false);
  const bool reused = !connection->carried.empty();
  trace.connection = connection->number;
  if (watch && watch->hung_up()) {
    co_return Failure(AttemptStage::kNotConnected, error, reused);
  }
  if (exchange.may_send && !exchange.may_send()) {
    co_return Failure(AttemptStage::kWithheld, error, reused);
  }
  CloseOnHangUp close_on_hang_up(watch, connection);

  connection->stream.expires_after(exchange.answer_timeout);
  const auto request = RequestOf(exchange);
  SendWatch send_watch(loop_, connection->stream, exchange.body.size(),
                       bytes_on_way_,
                       {exchange.arrival_limit, exchange.on_left});
  connection->carried.push_back(exchange.identity);
  trace.request_number = static_cast<std::uint32_t>(connection->carried.size());
  const std::size_t sent =
      co_await WriteRequest(*connection, request, send_watch, error);
  trace.bytes_sent = sent;
  if (send_watch.was_cut()) co_return CutOff(sent, reused);
  if (error && sent == 0) {
    co_return Failure(AttemptStage::kNotConnected, error, reused);
  }
  send_watch.RecordWritten();
  const bool request_truncated = static_cast<bool>(error);
  if (request_truncated) {
    // The server may have answered before it closed.
    error = error_code();
    connection->stream.expires_after(kEarlyAnswerTime);
  }

  ByteReservation memory(memory_);
  AnswerSequence sequence(reused, exchange.match_request, exchange.is_genuine);
  // Fits into the function without an allocation.
  const EndCheck is_orderly = [&open = *connection, request_truncated] {
    return !request_truncated && EndedInOrder(open.stream.socket());
  };
  OwnAnswerReader reader(connection->stream, connection->buffer, memory,
                         is_orderly);
  reader.set_head_only(exchange.method == "HEAD");
  reader.set_max_body_bytes(exchange.max_buffered_bytes);
  reader.set_on_head([&](int status) {
    if (send_watch.was_cut()) return false;
    send_watch.End();
    trace.status = status;
    return true;
  });
  const bool is_own = co_await reader.ReadHead(sequence, error);
  RecordAnswers(sequence, trace);
  if (send_watch.was_cut()) co_return CutOff(sent, reused);
  if (sequence.HasStrayBytes()) pool_->RecordStrayBytes(exchange.to);
  if (!is_own) co_return Failure(AttemptStage::kSent, error, reused);
  // It would not be complete, wherever it ended.
  const bool never_whole = request_truncated && reader.EndsWithConnection();
  if (!never_whole) co_await reader.ReadBody(error);
  if (error || never_whole) {
    co_return Failure(AttemptStage::kSent, error, reused);
  }
  std::unique_ptr<AnswerParser> parser = reader.TakeParser();
  if (!sequence.RecordBody(parser->get().body())) {
    RecordAnswers(sequence, trace);
    pool_->RecordStrayBytes(exchange.to);
    co_return Failure(AttemptStage::kSent, error, reused);
  }

  ExchangeResult result;
  result.reused_connection = reused;
  HttpAnswer answer = reader.TakeHead();
  if (const auto length = parser->content_length()) {
    answer.stream_length = *length;
    answer.stream_length_known = true;
  }
  answer.body = std::exchange(parser->get().body(), std::string());
  if (!parser->is_done()) {
    answer.stream = std::make_shared<AnswerStream>(
        connection, std::move(parser), std::move(memory), is_orderly,
        close_on_hang_up.Release());
    result.outcome = std::move(answer);
    co_return result;
  }
  const bool has_more_bytes = connection->buffer.size() > 0;
  if (has_more_bytes) pool_->RecordStrayBytes(exchange.to);
  // A late copy of an answer that names no request could not be told from the
  // next answer.
  const bool names_request = sequence.match() == AnswerMatch::kOwn;
  if (parser->keep_alive() && !has_more_bytes && !request_truncated &&
      names_request && sequence.answers_skipped() == 0) {
    connection->server_idle_time = KeepAliveTimeout(answer.fields);
    pool_->ReturnIdle(exchange.to, std::move(connection));
  }
  memory.TryResize(answer.body.capacity());
  answer.memory = std::make_shared<ByteReservation>(std::move(memory));
  result.outcome = std::move(answer);
  co_return result;
}

}  // namespace sapphirebank
