#include "sapphirebank/transport/http_client.h"

#include <catch2/catch.hpp>
#include <thread>

#include "unit_tests/transport/loop_thread.h"
#include "unit_tests/transport/scripted_server.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

std::string OkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

ExchangeResult Get(LoopThread& loop, HttpClient& client,
                   const Endpoint& endpoint) {
  HttpExchange exchange;
  exchange.to = endpoint;
  exchange.method = "GET";
  exchange.target = "/";
  exchange.answer_timeout = milliseconds(200);
  return loop.Run(client.Exchange(exchange, nullptr));
}

std::string BodyOf(const ExchangeResult& result) {
  const auto* answer = std::get_if<HttpAnswer>(&result.outcome);
  return answer == nullptr ? "no answer" : answer->body;
}

TEST_CASE("an incomplete or malformed answer is reported as a failure",
          "[transport]") {
  struct Row {
    const char* description;
    std::string bytes;
    bool timed_out;
  };
  const Row rows[] = {
      {"body shorter than declared",
       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false},
      {"chunked body without the last chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
       false},
      {"truncated header section", "HTTP/1.1 200 OK\r\nConte", false},
      {"no bytes", "", false},
      {"not HTTP", "hello\r\n\r\n", false},
  };
  for (const Row& row : rows) {
    INFO(row.description);
    ScriptedServer server([&](tcp::socket& socket, int) {
      if (ScriptedServer::ReadRequest(socket)) {
        ScriptedServer::Write(socket, row.bytes);
      }
    });
    LoopThread loop;
    HttpClient client(loop.loop(), HttpClientSettings());
    const auto result = Get(loop, client, server.endpoint());
    const auto* failure = std::get_if<AttemptFailure>(&result.outcome);
    REQUIRE(failure != nullptr);
    CHECK(failure->stage == AttemptStage::kSent);
    CHECK(failure->timed_out == row.timed_out);
  }
}

TEST_CASE("an answer after the time-out is not taken for the next request's",
          "[transport]") {
  // The first connection answers after the time-out. The client must close it
  // and not return that answer for a later request.
  ScriptedServer server([](tcp::socket& socket, int number) {
    while (ScriptedServer::ReadRequest(socket)) {
      if (number == 0) std::this_thread::sleep_for(milliseconds(400));
      ScriptedServer::Write(socket,
                            OkResponse("connection " + std::to_string(number)));
    }
  });
  LoopThread loop;
  HttpClient client(loop.loop(), HttpClientSettings());
  const auto late = Get(loop, client, server.endpoint());
  REQUIRE(std::holds_alternative<AttemptFailure>(late.outcome));
  CHECK(std::get<AttemptFailure>(late.outcome).timed_out);
  // The server accepts the next connection only after the first one has ended.
  std::string body;
  while (body.empty() || body == "no answer") {
    body = BodyOf(Get(loop, client, server.endpoint()));
  }
  CHECK(body != "connection 0");
}

TEST_CASE("an idle connection that received bytes is not reused",
          "[transport]") {
  ScriptedServer server([](tcp::socket& socket, int number) {
    if (!ScriptedServer::ReadRequest(socket)) return;
    ScriptedServer::Write(socket, OkResponse("whole"));
    if (number != 0) return;
    ScriptedServer::Write(socket, OkResponse("unsolicited answer"));
    ScriptedServer::ReadRequest(socket);
  });
  LoopThread loop;
  HttpClient client(loop.loop(), HttpClientSettings());
  CHECK(BodyOf(Get(loop, client, server.endpoint())) == "whole");
  std::this_thread::sleep_for(milliseconds(50));
  const auto second = Get(loop, client, server.endpoint());
  CHECK(BodyOf(second) == "whole");
  CHECK_FALSE(second.reused_connection);
}

TEST_CASE("a refused connection is reported as not connected", "[transport]") {
  Endpoint closed;
  {
    asio::io_context other;
    tcp::acceptor acceptor(other, {asio::ip::address_v4::loopback(), 0});
    closed = {"127.0.0.1", acceptor.local_endpoint().port()};
  }
  LoopThread loop;
  HttpClient client(loop.loop(), HttpClientSettings());
  const auto result = Get(loop, client, closed);
  REQUIRE(std::holds_alternative<AttemptFailure>(result.outcome));
  CHECK(std::get<AttemptFailure>(result.outcome).stage ==
        AttemptStage::kNotConnected);
}

// Guards against sending to a server that left while the connection to it was
// established.
TEST_CASE("a request is withheld when it may no longer be sent",
          "[transport]") {
  std::atomic<int> requests = 0;
  ScriptedServer server([&](tcp::socket& socket, int) {
    while (ScriptedServer::ReadRequest(socket)) {
      ++requests;
      ScriptedServer::Write(socket, OkResponse("whole"));
    }
  });
  LoopThread loop;
  HttpClient client(loop.loop(), HttpClientSettings());
  const auto send = [&](bool may_send) {
    HttpExchange exchange;
    exchange.to = server.endpoint();
    exchange.method = "GET";
    exchange.target = "/";
    exchange.may_send = [may_send] { return may_send; };
    return loop.Run(client.Exchange(exchange, nullptr));
  };
  // On a new connection, and on one that is kept alive.
  for (int i = 0; i < 2; ++i) {
    const auto withheld = send(false);
    const auto* failure = std::get_if<AttemptFailure>(&withheld.outcome);
    REQUIRE(failure != nullptr);
    CHECK(failure->stage == AttemptStage::kWithheld);
    CHECK(requests == i);
    CHECK(BodyOf(send(true)) == "whole");
    CHECK(requests == i + 1);
  }
}

TEST_CASE("a streamed answer that is cut off ends with an error",
          "[transport]") {
  ScriptedServer server([](tcp::socket& socket, int) {
    if (!ScriptedServer::ReadRequest(socket)) return;
    ScriptedServer::Write(socket,
                          "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" +
                              std::string(60, 'x'));
  });
  LoopThread loop;
  HttpClient client(loop.loop(), HttpClientSettings());
  HttpExchange exchange;
  exchange.to = server.endpoint();
  exchange.method = "GET";
  exchange.target = "/";
  exchange.max_buffered_bytes = 10;
  const auto result = loop.Run(client.Exchange(exchange, nullptr));
  const auto* answer = std::get_if<HttpAnswer>(&result.outcome);
  REQUIRE(answer != nullptr);
  REQUIRE(answer->stream);
  CHECK(answer->stream_length == 100);
  std::size_t received_bytes = answer->body.size();
  while (true) {
    const auto piece = loop.Run(answer->stream->Next());
    if (!piece) break;
    REQUIRE_FALSE(piece->empty());
    received_bytes += piece->size();
  }
  CHECK(received_bytes == 60);
}

// Guards against long answers that take the memory of all others.
TEST_CASE("a body beyond its part of the memory is passed on while it is read",
          "[transport]") {
  const std::string body(std::size_t{512} << 10U, 'x');
  ScriptedServer server([&](tcp::socket& socket, int) {
    while (ScriptedServer::ReadRequest(socket)) {
      ScriptedServer::Write(socket, OkResponse(body));
    }
  });
  LoopThread loop;
  HttpClientSettings settings;
  settings.max_answer_bytes = std::size_t{256} << 10U;
  HttpClient client(loop.loop(), settings);
  // Memory of an answer is free again once it is gone.
  for (int i = 0; i < 4; ++i) {
    const ExchangeResult result = Get(loop, client, server.endpoint());
    const auto* answer = std::get_if<HttpAnswer>(&result.outcome);
    REQUIRE(answer != nullptr);
    REQUIRE(answer->stream);
    CHECK(answer->body.size() < settings.max_answer_bytes);
    std::string received = answer->body;
    while (true) {
      const Result<std::string> piece = loop.Run(answer->stream->Next());
      REQUIRE(piece);
      if (piece->empty()) break;
      received += *piece;
    }
    CHECK(received == body);
  }
}

TEST_CASE("an answer fails when there is no memory for its head",
          "[transport]") {
  ScriptedServer server([&](tcp::socket& socket, int) {
    if (ScriptedServer::ReadRequest(socket)) {
      ScriptedServer::Write(socket, OkResponse("whole"));
    }
  });
  LoopThread loop;
  HttpClientSettings settings;
  settings.max_answer_bytes = std::size_t{16} << 10U;
  HttpClient client(loop.loop(), settings);
  const ExchangeResult result = Get(loop, client, server.endpoint());
  const auto* failure = std::get_if<AttemptFailure>(&result.outcome);
  REQUIRE(failure != nullptr);
  CHECK(failure->stage == AttemptStage::kSent);
}

// A server that sends bytes which never become an answer, until the client
// closes the connection.
TEST_CASE("an answer without end fails after a bounded number of bytes",
          "[transport]") {
  struct Row {
    const char* name;
    std::string start;
    std::string repeated;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string stray = ok + "X-Id: other\r\n";
  const std::string piece(4096, 'x');
  const Row row = GENERATE_COPY(values<Row>({
      {"no line", "", piece},
      {"status line", "HTTP/1.1 200 ", piece},
      {"field name", ok, piece},
      {"field value", ok + "A: ", piece},
      {"fields", ok, "A: " + std::string(60, 'b') + "\r\n"},
      {"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
      {"chunk size", chunked, std::string(4096, '0')},
      {"chunk extension", chunked + "1;", piece},
      {"trailer", chunked + "0\r\nA: ", piece},
      {"body of another answer", stray + "\r\n", piece},
      {"chunks of another answer", stray + "Transfer-Encoding: chunked\r\n\r\n",
       "1000\r\n" + piece + "\r\n"},
  }));
  CAPTURE(row.name);
  std::atomic<std::size_t> sent = 0;
  std::atomic<bool> ended = false;
  ScriptedServer server([&](tcp::socket& socket, int) {
    if (!ScriptedServer::ReadRequest(socket)) return;
    ScriptedServer::Write(socket, row.start);
    boost::system::error_code error;
    while (!error) {
      sent += asio::write(socket, asio::buffer(row.repeated), error);
    }
    ended = true;
  });
  LoopThread loop;
  HttpClient client(loop.loop(), HttpClientSettings());
  HttpExchange exchange;
  exchange.to = server.endpoint();
  exchange.method = "GET";
  exchange.target = "/";
  exchange.answer_timeout = std::chrono::seconds(20);
  exchange.match_request = [](const HeaderFields& fields) {
    return FieldValue(fields, "x-id") == "other" ? AnswerMatch::kOther
                                                 : AnswerMatch::kOwn;
  };
  const auto started = std::chrono::steady_clock::now();
  const ExchangeResult result = loop.Run(client.Exchange(exchange, nullptr));
  const auto* failure = std::get_if<AttemptFailure>(&result.outcome);
  REQUIRE(failure != nullptr);
  CHECK(failure->stage == AttemptStage::kSent);
  CHECK_FALSE(failure->timed_out);
  CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(10));
  while (!ended) std::this_thread::sleep_for(milliseconds(1));
  // What the client reads, at most a buffered answer, and what the sockets
  // hold.
  CHECK(sent < (std::size_t{16} << 20U));
}

}  // namespace
}  // namespace sapphirebank
