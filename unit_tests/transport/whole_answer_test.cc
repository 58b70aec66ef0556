#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "sapphirebank/transport/http_client.h"
#include "unit_tests/transport/loop_thread.h"
#include "unit_tests/transport/scripted_server.h"

namespace sapphirebank {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// How a server goes on once it has written its answer.
enum class End {
  kReset,     // Resets the connection.
  kClose,     // Closes it: a reset where bytes of the request are unread.
  kShutDown,  // Ends its direction, and closes the connection later.
  kReadOn,    // Reads the request to its end, and answers another one.
};

// More than the buffers of a connection take.
constexpr std::size_t kLongBody = std::size_t{32} << 20U;

// What the client's system takes at once, and the server's, which does not
// read, does not.
constexpr std::size_t kBodyOnWay = std::size_t{512} << 10U;

const std::string kWithoutLength = "HTTP/1.1 200 OK\r\n\r\nsome bytes of it";
const std::string kWithLength =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

// Answers each request once its head has come.
class EarlyServer {
 public:
  EarlyServer(const std::string& answer, End end, std::size_t body_size)
      : server_([=](tcp::socket& socket, int) {
          boost::system::error_code ignored;
          if (end != End::kReadOn) {
            socket.set_option(
                boost::asio::socket_base::receive_buffer_size(4096), ignored);
          }
          std::size_t rest = 0;
          while (ReadHead(socket, body_size, rest)) {
            ScriptedServer::Write(socket, answer);
            // The client has the answer before it learns of the end.
            std::this_thread::sleep_for(milliseconds(50));
            if (end != End::kReadOn) break;
            Drop(socket, rest);
          }
          if (end == End::kReset) {
            ScriptedServer::Reset(socket);
          } else if (end == End::kShutDown) {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            std::this_thread::sleep_for(milliseconds(300));
          }
          socket.close(ignored);
        }) {}

  Endpoint endpoint() const { return server_.endpoint(); }

 private:
  // Reads a head byte by byte, and nothing of the body behind it.
  static bool ReadHead(tcp::socket& socket, std::size_t body_size,
                       std::size_t& rest) {
    std::string head;
    while (!head.ends_with("\r\n\r\n")) {
      char byte = 0;
      boost::system::error_code error;
      boost::asio::read(socket, boost::asio::buffer(&byte, 1), error);
      if (error) return false;
      head += byte;
    }
    rest = head.starts_with("POST") ? body_size : 0;
    return true;
  }
  static void Drop(tcp::socket& socket, std::size_t count) {
    std::string bytes(count, ' ');
    boost::system::error_code ignored;
    boost::asio::read(socket, boost::asio::buffer(bytes), ignored);
  }

  ScriptedServer server_;
};

// A client and how it takes answers.
struct Client {
  Client() : http(loop.loop(), HttpClientSettings()) {}

  // Sends a request, with a body if that is not empty.
  ExchangeResult Send(const Endpoint& to, const std::string& body,
                      std::uint64_t max_buffered_bytes = 1 << 20U) {
    HttpExchange exchange;
    exchange.to = to;
    exchange.method = body.empty() ? "GET" : "POST";
    exchange.target = "/";
    exchange.body = body;
    exchange.answer_timeout = std::chrono::seconds(5);
    exchange.max_buffered_bytes = max_buffered_bytes;
    return loop.Run(http.Exchange(exchange, nullptr));
  }

  // Returns the body of an answer that is whole, also of a streamed one, and
  // "broken off" for any other outcome.
  std::string BodyOf(const ExchangeResult& result) {
    const auto* answer = std::get_if<HttpAnswer>(&result.outcome);
    if (answer == nullptr) return "broken off";
    std::string body = answer->body;
    while (answer->stream) {
      const Result<std::string> piece = loop.Run(answer->stream->Next());
      if (!piece) return "broken off";
      if (piece->empty()) break;
      body += *piece;
    }
    return body;
  }

  LoopThread loop;
  HttpClient http;
};

// Guards against MIXED: a body without a length whose connection is reset while
// the request is written. The write gets the error, so that the read that
// follows sees an end as orderly as any.
TEST_CASE("a body ended by the close needs the whole request and no reset",
          "[transport]") {
  const End end = GENERATE(End::kReset, End::kClose, End::kShutDown);
  const std::size_t body_size = GENERATE(kLongBody, kBodyOnWay);
  const std::uint64_t max_buffered_bytes = GENERATE(2U, 1U << 20U);
  CAPTURE(end, body_size, max_buffered_bytes);
  EarlyServer server(kWithoutLength, end, body_size);
  Client client;
  const std::string body(body_size, 'b');
  CHECK(client.BodyOf(client.Send(server.endpoint(), body,
                                  max_buffered_bytes)) == "broken off");
}

TEST_CASE("a body ended by the close is whole where the end was in order",
          "[transport]") {
  const std::uint64_t max_buffered_bytes = GENERATE(2U, 1U << 20U);
  const End end = GENERATE(End::kClose, End::kShutDown, End::kReset);
  // The server's system takes a short body, though the server does not read it.
  const std::string body = end == End::kShutDown ? "short" : "";
  CAPTURE(end, max_buffered_bytes);
  EarlyServer server(kWithoutLength, end, body.size());
  Client client;
  const std::string received =
      client.BodyOf(client.Send(server.endpoint(), body, max_buffered_bytes));
  CHECK(received == (end == End::kReset ? "broken off" : "some bytes of it"));
}

// A server may answer an upload before it has read it (RFC 9112, section 9.3).
TEST_CASE("an early answer with a length is whole", "[transport]") {
  const End end = GENERATE(End::kReset, End::kClose, End::kReadOn);
  CAPTURE(end);
  EarlyServer server(kWithLength, end, kLongBody);
  Client client;
  const std::string body(kLongBody, 'b');
  CHECK(client.BodyOf(client.Send(server.endpoint(), body)) == "whole");
  // Nothing but the rest of the body is written before the next request.
  const ExchangeResult next = client.Send(server.endpoint(), "");
  CHECK(client.BodyOf(next) == "whole");
  CHECK(next.reused_connection == (end == End::kReadOn));
}

// Guards against MIXED: servers in trouble send statuses that are none.
TEST_CASE("an answer with an invalid status is no answer", "[transport]") {
  const std::string status = GENERATE("000", "007", "099", "101", "600", "999");
  CAPTURE(status);
  ScriptedServer server([&](tcp::socket& socket, int) {
    while (ScriptedServer::ReadRequest(socket)) {
      ScriptedServer::Write(
          socket, "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
    }
  });
  Client client;
  for (int i = 0; i < 2; ++i) {
    const ExchangeResult result = client.Send(server.endpoint(), "");
    const auto* failure = std::get_if<AttemptFailure>(&result.outcome);
    REQUIRE(failure != nullptr);
    CHECK(failure->stage == AttemptStage::kSent);
    // It does not wait for another answer.
    CHECK_FALSE(failure->timed_out);
    CHECK_FALSE(result.reused_connection);
  }
}

}  // namespace
}  // namespace sapphirebank
