#include "sapphirebank/transport/http_server.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <thread>

#include "sapphirebank/transport/process_clock.h"
#include "unit_tests/transport/loop_thread.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;

constexpr std::uint64_t kBodyLimit = 16;

asio::awaitable<HttpAnswer> Echo(HttpRequest request) {
  HttpAnswer answer;
  answer.body = request.head.method + " " + request.head.target + " [" +
                request.body + "]";
  co_return answer;
}

// A server that echoes requests and counts those that reached its handler.
class EchoServer {
 public:
  explicit EchoServer(bool marks_refusals = false) {
    HttpServerSettings settings;
    settings.marks_refusals = marks_refusals;
    settings.max_head_bytes = 2048;
    settings.idle_timeout = std::chrono::seconds(60);
    settings.head_timeout = std::chrono::milliseconds(200);
    settings.body_timeout = std::chrono::milliseconds(200);
    HttpServer::Hooks hooks;
    hooks.accept_head = [](const HttpRequestHead&) -> Result<std::uint64_t> {
      return kBodyLimit;
    };
    hooks.handle = [this](HttpRequest request) {
      ++handled_;
      return Echo(std::move(request));
    };
    server_.emplace(*HttpServer::Listen(loop_.loop(), settings, hooks));
  }

  std::uint16_t port() const { return server_->port(); }
  int handled() const { return handled_; }

 private:
  std::atomic<int> handled_ = 0;
  LoopThread loop_;
  std::optional<HttpServer> server_;
};

int CountOccurrences(const std::string& text, const std::string& part) {
  int count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

TEST_CASE(
    "an invalid request is refused before it is handled and its connection "
    "closed",
    "[transport]") {
  struct Row {
    const char* description;
    std::string bytes;
    const char* status;
    int handled;
  };
  // Each invalid request is followed by a valid one, which must not be
  // served: the end of the invalid one is unknown (request smuggling).
  const std::string next = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string post = "POST /p HTTP/1.1\r\nHost: a\r\n";
  const Row rows[] = {
      {"garbage", "\x01\x02\x03\r\n\r\n" + next, "400", 0},
      {"two Content-Length fields",
       post + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde" + next,
       "400", 0},
      {"Content-Length and chunked",
       post +
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
           next,
       "400", 0},
      {"negative Content-Length", post + "Content-Length: -1\r\n\r\n" + next,
       "400", 0},
      {"Content-Length that is not a number",
       post + "Content-Length: abc\r\n\r\n" + next, "400", 0},
      {"space before the colon", post + "Content-Length : 3\r\n\r\nabc" + next,
       "400", 0},
      {"folded header line", post + "X: a\r\n b\r\n\r\n" + next, "400", 0},
      {"unknown transfer coding",
       post + "Transfer-Encoding: rot13\r\n\r\nabc" + next, "400", 0},
      {"invalid chunk size",
       post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + next, "400", 0},
      {"body above the limit",
       post + "Content-Length: 17\r\n\r\n12345678901234567" + next, "413", 0},
      {"chunked body above the limit",
       post + "Transfer-Encoding: chunked\r\n\r\n11\r\n12345678901234567\r\n" +
           "0\r\n\r\n" + next,
       "413", 0},
      {"header section too large",
       "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(4096, 'x') +
           "\r\n\r\n" + next,
       "431", 0},
      {"incomplete header section", "GET / HTTP/1.1\r\nHo", "408", 0},
      {"incomplete body", post + "Content-Length: 5\r\n\r\nab", "408", 0},
  };
  for (const Row& row : rows) {
    INFO(row.description);
    EchoServer server;
    RawConnection connection(server.port());
    connection.Send(row.bytes);
    const std::string answer = connection.ReadAll();
    CHECK(answer.starts_with(std::string("HTTP/1.1 ") + row.status));
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(CountOccurrences(answer, "HTTP/1.1 ") == 1);
    CHECK(server.handled() == row.handled);
  }
}

// Guards against an entry host that takes another one's refusal for a backend
// server's answer.
TEST_CASE("a server between entry hosts marks what it refuses unhandled",
          "[transport]") {
  for (const bool marks : {true, false}) {
    CAPTURE(marks);
    EchoServer server(marks);
    RawConnection connection(server.port());
    connection.Send(
        "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 17\r\n\r\n");
    const std::string answer = connection.ReadAll();
    CHECK(answer.starts_with("HTTP/1.1 413"));
    const auto mark = answer.find("x-sapphirebank-refusal: body_too_large");
    CHECK((mark != std::string::npos) == marks);
    CHECK(server.handled() == 0);
  }
}

TEST_CASE("a POST without a length has no body", "[transport]") {
  EchoServer server;
  RawConnection connection(server.port());
  connection.Send(
      "POST /p HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /q HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const std::string answer = connection.ReadAll();
  CHECK(answer.find("POST /p []") != std::string::npos);
  CHECK(answer.find("GET /q []") != std::string::npos);
}

TEST_CASE("pipelined requests are answered in order", "[transport]") {
  EchoServer server;
  RawConnection connection(server.port());
  connection.Send(
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
      "POST /b HTTP/1.1\r\nHost: a\r\n"
      "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
      "2\r\nxy\r\n0\r\n\r\n");
  const std::string answer = connection.ReadAll();
  const auto first = answer.find("POST /a [abc]");
  const auto second = answer.find("POST /b [xy]");
  REQUIRE(first != std::string::npos);
  REQUIRE(second != std::string::npos);
  CHECK(first < second);
}

// Guards against a connection that a planned stop closes behind one answer
// although the next request has been read.
TEST_CASE("pipelined requests are answered when the server shuts down",
          "[transport]") {
  const bool is_drained = GENERATE(false, true);
  CAPTURE(is_drained);
  LoopThread loop;
  std::optional<HttpServer> server;
  HttpServer::Hooks hooks;
  hooks.accept_head = [](const HttpRequestHead&) -> Result<std::uint64_t> {
    return kBodyLimit;
  };
  hooks.handle = [&](HttpRequest request) -> asio::awaitable<HttpAnswer> {
    // The shutdown begins while the first request is handled and the others
    // arrive.
    asio::steady_timer timer(loop.loop(), std::chrono::milliseconds(100));
    co_await timer.async_wait(asio::use_awaitable);
    if (is_drained) {
      server->Drain();
    } else {
      server->DisableKeepAlive();
    }
    co_return co_await Echo(std::move(request));
  };
  server = *HttpServer::Listen(loop.loop(), HttpServerSettings(), hooks);
  RawConnection connection(server->port());
  connection.Send(
      "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
      "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy"
      "GET /c HTTP/1.1\r\nHost: a\r\n\r\n");
  const std::string answers = connection.ReadAll();
  loop.Stop();
  const auto last = answers.find("GET /c []");
  CHECK(answers.find("GET /a []") < answers.find("POST /b [xy]"));
  CHECK(answers.find("POST /b [xy]") < last);
  CHECK(last != std::string::npos);
  CHECK(CountOccurrences(answers, "Connection: close") == 1);
}

TEST_CASE("idle connections do not delay other requests", "[transport]") {
  EchoServer server;
  constexpr int kIdle = 200;
  std::vector<std::unique_ptr<RawConnection>> idle;
  idle.reserve(kIdle);
  for (int i = 0; i < kIdle; ++i) {
    idle.push_back(std::make_unique<RawConnection>(server.port()));
  }
  RawConnection connection(server.port());
  connection.Send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  CHECK(connection.ReadAll().find("GET /x []") != std::string::npos);
}

TEST_CASE(
    "a chunk header without end is refused after a bounded number of bytes",
    "[transport]") {
  EchoServer server;
  RawConnection caller(server.port());
  caller.Send(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  caller.Send("1;" + std::string(64 << 10, 'x'));
  const std::string answer = caller.ReadAll();
  CHECK(answer.find("HTTP/1.1 400") == 0);
  CHECK(server.handled() == 0);
}

// Guards against MIXED: the caller of an answer that is cut off must not take
// the part for the whole.
TEST_CASE("an answer that is cut off does not end in order", "[transport]") {
  struct Cut : BodyStream {
    asio::awaitable<Result<std::string>> Next() override {
      if (pieces++ == 0) co_return std::string("second");
      co_return Fail(ErrorKind::kBackendBroken, "cut");
    }
    int pieces = 0;
  };
  const bool has_length = GENERATE(false, true);
  CAPTURE(has_length);
  HttpServer::Hooks hooks;
  hooks.accept_head = [](const HttpRequestHead&) -> Result<std::uint64_t> {
    return kBodyLimit;
  };
  hooks.handle = [&](const HttpRequest&) -> asio::awaitable<HttpAnswer> {
    HttpAnswer answer;
    answer.body = "first";
    answer.stream = std::make_shared<Cut>();
    answer.stream_length_known = has_length;
    answer.stream_length = 100;
    co_return answer;
  };
  LoopThread loop;
  const HttpServer server =
      *HttpServer::Listen(loop.loop(), HttpServerSettings(), hooks);
  RawConnection caller(server.port());
  caller.Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  const std::string answer = caller.ReadAll();
  CHECK(answer.find("second") != std::string::npos);
  if (has_length) {
    CHECK(answer.find("Content-Length: 100\r\n") != std::string::npos);
  } else {
    CHECK(answer.find("Transfer-Encoding: chunked\r\n") != std::string::npos);
    CHECK(answer.find("\r\n0\r\n") == std::string::npos);
  }
  loop.Stop();
}

// A server whose requests run until their caller leaves.
class WaitingServer {
 public:
  WaitingServer() {
    HttpServer::Hooks hooks;
    hooks.accept_head = [](const HttpRequestHead&) -> Result<std::uint64_t> {
      return kBodyLimit;
    };
    hooks.handle = [this](HttpRequest request) {
      return Wait(std::move(request));
    };
    server_.emplace(
        *HttpServer::Listen(loop_.loop(), HttpServerSettings(), hooks));
  }

  std::uint16_t port() const { return server_->port(); }
  int handled() const { return handled_; }
  int left() const { return left_; }

 private:
  asio::awaitable<HttpAnswer> Wait(HttpRequest request) {
    ++handled_;
    asio::steady_timer timer(loop_.loop(), std::chrono::seconds(20));
    request.watch->set_on_hang_up([&timer] { timer.cancel(); });
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    request.watch->set_on_hang_up(nullptr);
    if (request.watch->hung_up()) ++left_;
    co_return HttpAnswer();
  }

  std::atomic<int> handled_ = 0;
  std::atomic<int> left_ = 0;
  LoopThread loop_;
  std::optional<HttpServer> server_;
};

TEST_CASE("a caller that leaves is noticed with pipelined requests unread",
          "[transport]") {
  WaitingServer server;
  {
    RawConnection caller(server.port());
    const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    caller.Send(get + get);
    while (server.handled() == 0) std::this_thread::yield();
    caller.Send(get);
  }
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (server.left() == 0 && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  CHECK(server.left() == 1);
  // What was behind the first request never runs.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(server.handled() == 1);
}

// Guards against a call that a suspended process takes for new, with a caller
// that still waits and with one that has left. A loop that is busy stands for
// the process that is suspended.
TEST_CASE("a request that waited unread tells when it arrived", "[transport]") {
  constexpr auto kBusy = std::chrono::milliseconds(400);
  const bool caller_leaves = GENERATE(false, true);
  CAPTURE(caller_leaves);
  std::atomic<Duration> age = Duration::zero();
  std::atomic<bool> has_left = false;
  std::atomic<bool> was_handled = false;
  LoopThread loop;
  HttpServerSettings settings;
  settings.tracks_arrival = true;
  HttpServer::Hooks hooks;
  hooks.accept_head = [](const HttpRequestHead&) -> Result<std::uint64_t> {
    return kBodyLimit;
  };
  hooks.handle = [&](HttpRequest request) {
    age = MonotonicNow() - request.arrived_at;
    has_left = request.watch->hung_up();
    was_handled = true;
    return Echo(std::move(request));
  };
  const auto server = HttpServer::Listen(loop.loop(), settings, hooks);
  asio::post(loop.loop(), [&] { std::this_thread::sleep_for(kBusy); });
  std::optional<RawConnection> caller(std::in_place, server->port());
  caller->Send("POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  if (caller_leaves) caller.reset();
  for (int i = 0; i < 200 && !was_handled; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  loop.Stop();
  REQUIRE(was_handled);
  // The system counts in its own ticks.
  CHECK(age.load() > kBusy / 2);
  CHECK(age.load() < std::chrono::seconds(10));
  CHECK(has_left == caller_leaves);
}

// Guards against an order that the network held up and whose host takes it for
// new: its bytes come late on a connection that was opened in time, accepted at
// once or by a process that was suspended.
TEST_CASE("a request that was held up tells when its connection was opened",
          "[transport]") {
  constexpr auto kHeld = std::chrono::milliseconds(400);
  const bool is_accepted_late = GENERATE(false, true);
  CAPTURE(is_accepted_late);
  std::atomic<Duration> age = Duration::zero();
  std::atomic<bool> was_handled = false;
  LoopThread loop;
  HttpServerSettings settings;
  settings.tracks_arrival = true;
  HttpServer::Hooks hooks;
  hooks.accept_head = [](const HttpRequestHead&) -> Result<std::uint64_t> {
    return kBodyLimit;
  };
  hooks.handle = [&](HttpRequest request) {
    age = MonotonicNow() - request.connection_opened_at;
    was_handled = true;
    return Echo(std::move(request));
  };
  const auto server = HttpServer::Listen(loop.loop(), settings, hooks);
  if (is_accepted_late) {
    asio::post(loop.loop(), [&] { std::this_thread::sleep_for(kHeld); });
  }
  RawConnection caller(server->port());
  std::this_thread::sleep_for(kHeld);
  caller.Send("POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  for (int i = 0; i < 200 && !was_handled; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  loop.Stop();
  REQUIRE(was_handled);
  // The system counts in its own ticks.
  CHECK(age.load() > kHeld / 2);
  CHECK(age.load() < std::chrono::seconds(10));
}

}  // namespace
}  // namespace sapphirebank
