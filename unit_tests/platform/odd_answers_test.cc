#include <catch2/catch.hpp>

#include "unit_tests/platform/entry_hosts.h"
#include "unit_tests/transport/scripted_server.h"

namespace sapphirebank {
namespace {

using boost::asio::ip::tcp;

std::string Response(const std::string& status, const std::string& id,
                     const std::string& fields, const std::string& body) {
  const std::string id_field =
      id.empty() ? "" : "Sapphirebank-Request-Id: " + id + "\r\n";
  return "HTTP/1.1 " + status + "\r\n" + id_field + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string kNotRun = "Sapphirebank-Not-Executed: 1\r\n";

// Guards against 'not run, try again' for a request that runs, because a server
// wrote an earlier refusal once more on the same connection.
TEST_CASE("a repeated refusal does not count for the next request",
          "[platform]") {
  for (const char* repeated_id : {"q1", ""}) {
    CAPTURE(repeated_id);
    std::atomic<int> runs = 0;
    ScriptedServer server([&](tcp::socket& socket, int) {
      if (!ScriptedServer::ReadRequest(socket)) return;
      ScriptedServer::Write(
          socket, Response("503 Service Unavailable", "q1", kNotRun, ""));
      if (!ScriptedServer::ReadRequest(socket)) return;
      ++runs;
      ScriptedServer::Write(socket, Response("503 Service Unavailable",
                                             repeated_id, kNotRun, ""));
      ScriptedServer::Write(socket, Response("200 OK", "q2", "", "ran"));
      ScriptedServer::ReadRequest(socket);
    });
    LoopThread loop;
    TestEntryHost host(loop, "127.0.0.1");
    host.Update({server.endpoint()}, {});
    CHECK(host.Send("/order/1", "q1").status == 503);
    const HttpAnswer answer = host.Send("/order/2", "q2");
    CHECK(runs == 1);
    // The answer, or an honest "unknown".
    if (std::string(repeated_id).empty()) {
      CHECK(answer.status == 502);
    } else {
      CHECK(answer.status == 200);
      CHECK(answer.body == "ran");
    }
  }
}

// Guards against an empty or short answer that looks complete because the
// server stopped in the middle of its head.
TEST_CASE("a head that ends in the middle is no answer", "[platform]") {
  const std::string whole =
      "HTTP/1.1 200 OK\r\nSapphirebank-Request-Id: q1\r\n"
      "Sapphirebank-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody";
  const std::size_t head_size = whole.size() - 4;
  for (std::size_t size = 0; size < whole.size(); size += 3) {
    CAPTURE(size, head_size);
    ScriptedServer server([&](tcp::socket& socket, int) {
      if (!ScriptedServer::ReadRequest(socket)) return;
      ScriptedServer::Write(socket, whole.substr(0, size));
    });
    LoopThread loop;
    TestEntryHost host(loop, "127.0.0.1");
    host.Update({server.endpoint()}, {});
    for (const char* path : {"/order/1", "/lookup/1"}) {
      const HttpAnswer answer = host.Send(path);
      CHECK(answer.status == 502);
      CHECK(FieldValue(answer.fields, "sapphirebank-server-stamp").empty());
    }
  }
}

}  // namespace
}  // namespace sapphirebank
