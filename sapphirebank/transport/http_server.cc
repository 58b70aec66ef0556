#include "sapphirebank/transport/http_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <set>

#include "sapphirebank/request/refusal.h"
#include "sapphirebank/transport/connection_end.h"
#include "sapphirebank/transport/http_guards.h"
#include "sapphirebank/transport/process_clock.h"
#include "sapphirebank/transport/signed_field.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadSize = std::size_t{8} << 10U;
constexpr Duration kLingerTime = std::chrono::milliseconds(500);
constexpr std::string_view kHeadEnd = "\r\n\r\n";

using PlainStream = beast::tcp_stream;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;
using BodyParser = http::request_parser<http::string_body>;

beast::tcp_stream& TcpLayer(PlainStream& stream) { return stream; }
beast::tcp_stream& TcpLayer(TlsStream& stream) { return stream.next_layer(); }

// Completion token that stores the error in `error` in place of throwing.
auto CaptureError(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

asio::awaitable<void> EndStream(PlainStream& stream) {
  error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  co_return;
}

asio::awaitable<void> EndStream(TlsStream& stream) {
  error_code ignored;
  co_await stream.async_shutdown(CaptureError(ignored));
}

std::string LowerName(std::string_view name) {
  std::string lower(name);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

HttpRequestHead HeadOf(const http::request_header<>& header) {
  HttpRequestHead head;
  head.method = std::string(header.method_string());
  head.target = std::string(header.target());
  for (const auto& field : header) {
    head.fields.push_back(
        {LowerName(field.name_string()), std::string(field.value())});
  }
  return head;
}

HttpAnswer RefusalAnswer(const Error& error) {
  HttpAnswer answer;
  answer.status = AnswerFor(error.kind).http_status;
  answer.fields.push_back({"content-type", std::string(kProblemMediaType)});
  answer.body = RefusalBody(error, RequestId());
  answer.close = true;
  return answer;
}

}  // namespace

class HttpServer::Core : public std::enable_shared_from_this<Core> {
 public:
  Core(asio::io_context& loop, HttpServerSettings settings, Hooks hooks)
      : loop_(loop),
        acceptor_(loop),
        tls_(asio::ssl::context::tls_server),
        settings_(std::move(settings)),
        hooks_(std::move(hooks)) {}

  Result<void> Open() {
    try {
      if (!settings_.tls_certificate_file.empty()) {
        tls_.use_certificate_chain_file(settings_.tls_certificate_file);
        tls_.use_private_key_file(settings_.tls_key_file,
                                  asio::ssl::context::pem);
      }
      const tcp::endpoint endpoint(asio::ip::make_address(settings_.ip),
                                   settings_.port);
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen(asio::socket_base::max_listen_connections);
    } catch (const boost::system::system_error& e) {
      return Fail(ErrorKind::kInvalidSettings,
                  fmt::format("cannot listen on {}:{}: {}", settings_.ip,
                              settings_.port, e.what()));
    }
    port_ = acceptor_.local_endpoint().port();
    asio::co_spawn(
        loop_, [self = shared_from_this()] { return self->AcceptLoop(); },
        asio::detached);
    return {};
  }

  void DisableKeepAlive() { keep_alive_disabled_ = true; }

  void SetLimits(std::size_t max_head_bytes, Duration head_timeout,
                 Duration idle_timeout) {
    settings_.max_head_bytes = max_head_bytes;
    settings_.head_timeout = head_timeout;
    settings_.idle_timeout = idle_timeout;
  }

  void Drain() {
    draining_ = true;
    keep_alive_disabled_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    for (beast::tcp_stream* stream : idle_) stream->cancel();
  }

  std::uint16_t port() const { return port_; }
  std::size_t connections() const { return connections_; }
  std::size_t active_requests() const { return active_requests_; }

 private:
  // Where the requests of a connection come from.
  struct CallerOrigin {
    std::string address;
    // OpeningTime() where the settings ask for it.
    Instant opened_at;
  };

  asio::awaitable<void> AcceptLoop() {
    while (!draining_) {
      error_code error;
      tcp::socket socket = co_await acceptor_.async_accept(CaptureError(error));
      if (draining_) co_return;
      if (error) {
        co_await Pause();
        continue;
      }
      if (connections_ >= settings_.max_connections) continue;
      asio::co_spawn(
          loop_,
          [self = shared_from_this(), moved = std::move(socket)]() mutable {
            return self->ServeSocket(std::move(moved));
          },
          asio::detached);
    }
  }

  // Waits before the next accept after a failed one, which fails again at once
  // while the process has no free file descriptors.
  asio::awaitable<void> Pause() {
    constexpr auto kPause = std::chrono::milliseconds(50);
    asio::steady_timer timer(loop_, kPause);
    error_code ignored;
    co_await timer.async_wait(CaptureError(ignored));
  }

  asio::awaitable<void> ServeSocket(tcp::socket socket) {
    const auto self = shared_from_this();
    const ScopedCount counted(connections_);
    error_code error;
    CallerOrigin caller;
    if (settings_.tracks_arrival) {
      const Instant now = MonotonicNow();
      caller.opened_at = OpeningTime(now, socket);
    }
    const auto peer = socket.remote_endpoint(error);
    socket.set_option(tcp::no_delay(true), error);
    caller.address = peer.address().to_string();
    if (settings_.tls_certificate_file.empty()) {
      PlainStream stream(std::move(socket));
      co_await ServeStream(stream, caller);
      co_return;
    }
    TlsStream stream(beast::tcp_stream(std::move(socket)), tls_);
    stream.next_layer().expires_after(settings_.head_timeout);
    co_await stream.async_handshake(asio::ssl::stream_base::server,
                                    CaptureError(error));
    if (!error) co_await ServeStream(stream, caller);
  }

  template <typename Stream>
  asio::awaitable<void> ServeStream(Stream& stream,
                                    const CallerOrigin& caller) {
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
      // Bounds what is read ahead of the parser, such as a chunk extension.
      buffer.max_size(settings_.max_head_bytes + kReadSize);
      if (!co_await AwaitFirstByte(stream, buffer)) co_return;
      const ScopedCount counted(active_requests_);
      open = co_await ServeRequest(stream, buffer, caller);
    }
    co_await EndStream(stream);
    co_await Linger(stream, buffer);
  }

  template <typename Stream>
  asio::awaitable<bool> AwaitFirstByte(Stream& stream,
                                       beast::flat_buffer& buffer) {
    if (buffer.size() > 0) co_return true;
    if (draining_) co_return false;
    auto& tcp_layer = TcpLayer(stream);
    tcp_layer.expires_after(settings_.idle_timeout);
    idle_.insert(&tcp_layer);
    error_code error;
    co_await ReadSome(stream, buffer, error);
    idle_.erase(&tcp_layer);
    co_return !error;
  }

  template <typename Stream>
  asio::awaitable<void> ReadSome(Stream& stream, beast::flat_buffer& buffer,
                                 error_code& error) {
    const std::size_t count = co_await stream.async_read_some(
        buffer.prepare(kReadSize), CaptureError(error));
    buffer.commit(count);
  }

  // Reads until `buffer` has the whole header section and returns its size in
  // bytes.
  template <typename Stream>
  asio::awaitable<Result<std::size_t>> ReadHead(Stream& stream,
                                                beast::flat_buffer& buffer) {
    const ReadDeadline deadline(loop_, TcpLayer(stream),
                                settings_.head_timeout);
    while (true) {
      const std::string_view received(
          static_cast<const char*>(buffer.data().data()), buffer.size());
      const auto end = received.find(kHeadEnd);
      const std::size_t size = end == std::string_view::npos
                                   ? received.size()
                                   : end + kHeadEnd.size();
      if (size > settings_.max_head_bytes) {
        co_return Fail(ErrorKind::kHeadersTooLarge,
                       fmt::format("more than {} bytes of header fields",
                                   settings_.max_head_bytes));
      }
      if (end != std::string_view::npos) co_return size;
      error_code error;
      co_await ReadSome(stream, buffer, error);
      if (deadline.passed()) {
        co_return Fail(ErrorKind::kRequestTimeout,
                       "the header section was not complete in time");
      }
      if (error) {
        co_return Fail(ErrorKind::kMalformedRequest,
                       "the connection ended within the header section");
      }
    }
  }

  // Serves one request. Returns whether the connection may carry another.
  template <typename Stream>
  asio::awaitable<bool> ServeRequest(Stream& stream, beast::flat_buffer& buffer,
                                     const CallerOrigin& caller) {
    const Result<std::size_t> head_size = co_await ReadHead(stream, buffer);
    if (!head_size) co_return co_await Refuse(stream, head_size.error());
    const Result<void> checked = CheckRequestHead(std::string_view(
        static_cast<const char*>(buffer.data().data()), *head_size));
    if (!checked) co_return co_await Refuse(stream, checked.error());

    BodyParser parser;
    parser.header_limit(static_cast<std::uint32_t>(settings_.max_head_bytes));
    parser.body_limit(UINT64_MAX);  // ReadBody() sets the route's limit.
    error_code error;
    co_await http::async_read_header(stream, buffer, parser,
                                     CaptureError(error));
    if (error) {
      const Error refusal(ErrorKind::kMalformedRequest, error.message());
      co_return co_await Refuse(stream, refusal);
    }
    HttpRequest request;
    request.head = HeadOf(parser.get());
    request.peer_address = caller.address;
    const Result<std::uint64_t> limit = AcceptHead(request.head, parser);
    if (!limit) co_return co_await Refuse(stream, limit.error());
    const ScopedByteReservation held(reserved_body_bytes_, *limit);
    const Result<void> read = co_await ReadBody(stream, buffer, parser, *limit);
    if (!read) co_return co_await Refuse(stream, read.error());
    request.body = std::move(parser.get().body());

    if (settings_.tracks_arrival) {
      const Instant now = MonotonicNow();
      request.arrived_at = LastDataArrival(now, TcpLayer(stream).socket());
      request.connection_opened_at = caller.opened_at;
    }
    request.watch = std::make_shared<CallerWatch>();
    const std::shared_ptr<CallerWatch> watch = request.watch;
    HttpAnswer answer = co_await Handle(stream, buffer, std::move(request));
    // Requests that have been read already are answered before the connection
    // is closed.
    const bool may_keep = !keep_alive_disabled_ || buffer.size() > 0;
    // What a caller that has left sent behind this request is not run.
    const bool keep =
        parser.keep_alive() && !answer.close && may_keep && !watch->hung_up();
    const bool head_only = parser.get().method() == http::verb::head;
    co_return co_await Write(stream, std::move(answer), keep, head_only);
  }

  // Checks the header section and returns how many bytes of memory to reserve
  // for the body.
  Result<std::uint64_t> AcceptHead(const HttpRequestHead& head,
                                   const BodyParser& parser) {
    Result<std::uint64_t> limit = hooks_.accept_head(head);
    if (!limit) return limit;
    std::uint64_t expected = 0;
    if (const auto length = parser.content_length()) expected = *length;
    if (parser.chunked()) expected = *limit;
    if (expected > *limit) {
      return Fail(ErrorKind::kBodyTooLarge,
                  fmt::format("the body has {} bytes, the route allows {}",
                              expected, *limit));
    }
    if (reserved_body_bytes_ + expected > settings_.max_held_bytes) {
      return Fail(ErrorKind::kQueueFull,
                  "the memory limit for buffered request bodies is reached");
    }
    return expected;
  }

  template <typename Stream>
  asio::awaitable<Result<void>> ReadBody(Stream& stream,
                                         beast::flat_buffer& buffer,
                                         BodyParser& parser,
                                         std::uint64_t limit) {
    if (parser.is_done()) co_return Result<void>();
    parser.body_limit(limit);
    const ReadDeadline deadline(loop_, TcpLayer(stream),
                                settings_.body_timeout);
    const std::string_view expect = parser.get()[http::field::expect];
    error_code error;
    if (beast::iequals(expect, "100-continue")) {
      http::response<http::empty_body> continue_response(
          http::status::continue_, 11);
      co_await http::async_write(stream, continue_response,
                                 CaptureError(error));
    }
    if (!error) {
      co_await http::async_read(stream, buffer, parser, CaptureError(error));
    }
    if (!error) co_return Result<void>();
    if (deadline.passed()) {
      co_return Fail(ErrorKind::kRequestTimeout,
                     "the body was not complete in time");
    }
    if (error == http::error::body_limit) {
      co_return Fail(ErrorKind::kBodyTooLarge,
                     fmt::format("the route allows {} bytes", limit));
    }
    co_return Fail(ErrorKind::kMalformedRequest,
                   "cannot read the body: " + error.message());
  }

  template <typename Stream>
  asio::awaitable<HttpAnswer> Handle(Stream& stream, beast::flat_buffer& buffer,
                                     HttpRequest request) {
    auto& tcp_layer = TcpLayer(stream);
    tcp_layer.expires_never();
    constexpr bool kIsPlain = std::is_same_v<Stream, PlainStream>;
    const HangUpWatch hang_up(tcp_layer.socket(), request.watch,
                              kIsPlain ? &buffer : nullptr,
                              settings_.tracks_arrival);
    std::string failure;
    try {
      co_return co_await hooks_.handle(std::move(request));
    } catch (const std::exception& e) {
      failure = e.what();
    }
    const Error error(ErrorKind::kInternal, failure);
    co_return RefusalAnswer(error);
  }

  template <typename Stream>
  asio::awaitable<bool> Refuse(Stream& stream, const Error& error) {
    HttpAnswer answer = RefusalAnswer(error);
    if (settings_.marks_refusals) {
      const std::string name(AnswerFor(error.kind).name);
      answer.fields.push_back({std::string(kRefusalField), name});
      answer.fields.push_back(
          {std::string(kNotRunField), std::string(kNotRunProved)});
    }
    co_return co_await Write(stream, std::move(answer), false, false);
  }

  // Writes an answer. Returns whether the connection may carry another.
  template <typename Stream>
  asio::awaitable<bool> Write(Stream& stream, HttpAnswer answer, bool keep,
                              bool head_only) {
    http::response<http::string_body> response;
    response.version(11);
    response.result(static_cast<unsigned>(answer.status));
    for (const HeaderField& field : answer.fields) {
      response.insert(field.name, field.value);
    }
    response.keep_alive(keep);
    TcpLayer(stream).expires_after(settings_.write_timeout);
    error_code error;
    if (answer.stream && !head_only) {
      co_return co_await WriteStream(stream, response, answer) && keep;
    }
    response.body() = std::move(answer.body);
    if (head_only) {
      if (answer.stream_length_known) {
        response.content_length(answer.stream_length);
      }
      http::response_serializer<http::string_body> serializer(response);
      co_await http::async_write_header(stream, serializer,
                                        CaptureError(error));
      co_return !error && keep;
    }
    const bool bodiless = answer.status == 204 || answer.status == 304;
    if (!bodiless) response.content_length(response.body().size());
    co_await http::async_write(stream, response, CaptureError(error));
    co_return !error && keep;
  }

  // Writes a streamed body. When its source fails, the connection is closed, so
  // that the caller sees a body shorter than declared or without its last chunk
  // and does not take it for complete.
  template <typename Stream>
  asio::awaitable<bool> WriteStream(Stream& stream,
                                    http::response<http::string_body>& response,
                                    HttpAnswer& answer) {
    const bool chunked = !answer.stream_length_known;
    if (chunked) {
      response.chunked(true);
    } else {
      response.content_length(answer.stream_length);
    }
    http::response_serializer<http::string_body> serializer(response);
    error_code error;
    co_await http::async_write_header(stream, serializer, CaptureError(error));
    std::string piece = std::move(answer.body);
    while (!error) {
      if (!piece.empty()) {
        TcpLayer(stream).expires_after(settings_.write_timeout);
        co_await WritePiece(stream, piece, chunked, error);
        if (error) break;
      }
      Result<std::string> next = co_await answer.stream->Next();
      if (!next) {
        TcpLayer(stream).close();
        co_return false;
      }
      if (next->empty()) {
        if (chunked) {
          co_await asio::async_write(stream, http::make_chunk_last(),
                                     CaptureError(error));
        }
        co_return !error;
      }
      piece = std::move(*next);
    }
    co_return false;
  }

  template <typename Stream>
  asio::awaitable<void> WritePiece(Stream& stream, const std::string& piece,
                                   bool chunked, error_code& error) {
    if (chunked) {
      co_await asio::async_write(stream, http::make_chunk(asio::buffer(piece)),
                                 CaptureError(error));
    } else {
      co_await asio::async_write(stream, asio::buffer(piece),
                                 CaptureError(error));
    }
  }

  // Lingering close: reads and discards what the caller still sends for up to
  // kLingerTime, since closing with unread bytes would reset the connection and
  // the caller could lose the answer (RFC 9112, section 9.6).
  template <typename Stream>
  asio::awaitable<void> Linger(Stream& stream, beast::flat_buffer& buffer) {
    auto& tcp_layer = TcpLayer(stream);
    tcp_layer.expires_after(kLingerTime);
    error_code error;
    std::size_t dropped = 0;
    while (!error && dropped < settings_.max_linger_bytes) {
      buffer.clear();
      dropped += co_await tcp_layer.async_read_some(buffer.prepare(kReadSize),
                                                    CaptureError(error));
    }
  }

  asio::io_context& loop_;
  tcp::acceptor acceptor_;
  asio::ssl::context tls_;
  HttpServerSettings settings_;
  Hooks hooks_;
  std::set<beast::tcp_stream*> idle_;
  std::uint16_t port_ = 0;
  std::size_t connections_ = 0;
  std::size_t active_requests_ = 0;
  std::size_t reserved_body_bytes_ = 0;
  bool draining_ = false;
  bool keep_alive_disabled_ = false;
};

Result<HttpServer> HttpServer::Listen(asio::io_context& loop,
                                      const HttpServerSettings& settings,
                                      Hooks hooks) {
  auto core = std::make_shared<Core>(loop, settings, std::move(hooks));
  const Result<void> opened = core->Open();
  if (!opened) return tl::unexpected(opened.error());
  return HttpServer(std::move(core));
}

std::uint16_t HttpServer::port() const { return core_->port(); }

std::size_t HttpServer::connections() const { return core_->connections(); }

std::size_t HttpServer::active_requests() const {
  return core_->active_requests();
}

void HttpServer::DisableKeepAlive() { core_->DisableKeepAlive(); }

void HttpServer::SetLimits(std::size_t max_head_bytes, Duration head_timeout,
                           Duration idle_timeout) {
  core_->SetLimits(max_head_bytes, head_timeout, idle_timeout);
}

void HttpServer::Drain() { core_->Drain(); }

}  // namespace sapphirebank
