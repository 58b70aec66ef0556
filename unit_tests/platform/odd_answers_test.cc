#include <catch2/catch.hpp>
#include <chrono>
#include <set>

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

const std::string kStamp = "Sapphirebank-Server-Stamp: s\r\n";
const std::string kNotRun = "Sapphirebank-Not-Executed: 1\r\n";

// Guards against 'not run, try again' for a request that runs, because a server
// wrote an earlier refusal once more on the same connection.
TEST_CASE("a repeated refusal does not count for the next request",
          "[platform]") {
  struct Row {
    const char* path;
    const char* repeated_id;
  };
  const Row rows[] = {
      {"/lookup/", "q1"}, {"/lookup/", ""}, {"/order/", "q1"}, {"/order/", ""}};
  for (const Row& row : rows) {
    CAPTURE(row.path, row.repeated_id);
    std::atomic<int> runs = 0;
    ScriptedServer server(
        [&](tcp::socket& socket, int number) {
          const std::string own = Response("200 OK", "q2", kStamp, "ran");
          if (!ScriptedServer::ReadRequest(socket)) return;
          if (number > 0) {
            ++runs;
            ScriptedServer::Write(socket, own);
            ScriptedServer::ReadRequest(socket);
            return;
          }
          ScriptedServer::Write(
              socket, Response("503 Service Unavailable", "q1", kNotRun, ""));
          if (!ScriptedServer::ReadRequest(socket)) return;
          ++runs;
          ScriptedServer::Write(socket, Response("503 Service Unavailable",
                                                 row.repeated_id, kNotRun, "") +
                                            own);
          ScriptedServer::ReadRequest(socket);
        },
        /*is_concurrent=*/true);
    LoopThread loop;
    TestEntryHost host(loop, "127.0.0.1");
    host.Update({server.endpoint()}, {});
    const std::string path = row.path;
    CHECK(host.Send(path + "1", "q1").status == 503);
    const HttpAnswer answer = host.Send(path + "2", "q2");
    CHECK(runs == 1);
    // The answer, or an honest "unknown" where a copy without an id may come
    // before it.
    if (path == "/lookup/" && std::string(row.repeated_id).empty()) {
      CHECK(answer.status == 502);
    } else {
      CHECK(answer.status == 200);
      CHECK(answer.body == "ran");
    }
  }
}

// Returns an answer whose request id stands behind its other fields.
std::string LateIdResponse(const std::string& status, const std::string& id,
                           const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Server: desk/1.4\r\nSapphirebank-Request-Id: " + id +
         "\r\nSapphirebank-Server-Stamp: stamp-" + id +
         "\r\nContent-Length: 4\r\n\r\nbody";
}

bool PromisesNotRun(int status) {
  return std::set<int>{408, 421, 429, 503}.contains(status);
}

// Outcome of a request that follows `late_bytes` on its connection.
struct AfterLateBytes {
  HttpAnswer answer;
  int runs = 0;
  bool shared_connection = false;
};

// Sends a request which the server answers with `first`, then one of `path`
// before whose answer `second` it writes `late_bytes`.
AfterLateBytes SendAfterLateBytes(const std::string& first,
                                  const std::string& late_bytes,
                                  const std::string& second,
                                  const std::string& path) {
  std::atomic<int> runs = 0;
  std::atomic<bool> shared = false;
  ScriptedServer server(
      [&](tcp::socket& socket, int number) {
        if (!ScriptedServer::ReadRequest(socket)) return;
        if (number > 0) {
          ++runs;
          ScriptedServer::Write(socket, second);
          ScriptedServer::ReadRequest(socket);
          return;
        }
        ScriptedServer::Write(socket, first);
        if (!ScriptedServer::ReadRequest(socket)) return;
        shared = true;
        ++runs;
        ScriptedServer::Write(socket, late_bytes + second);
        ScriptedServer::ReadRequest(socket);
      },
      /*is_concurrent=*/true);
  LoopThread loop;
  TestEntryHost host(loop, "127.0.0.1");
  host.Update({server.endpoint()}, {});
  host.Send("/lookup/1", "q1");
  AfterLateBytes result;
  result.answer = host.Send(path, "q2");
  result.runs = runs;
  result.shared_connection = shared;
  return result;
}

// Guards against REFUSED and MIXED: a late copy of an answer that is cut inside
// the value of a field takes in the status line of the next answer, whose
// request then gets the status of the copy.
TEST_CASE("a cut copy of an answer does not change the next one's status",
          "[platform]") {
  const std::string rejection =
      LateIdResponse("503 Service Unavailable", "q1", kNotRun);
  const std::string success = LateIdResponse("200 OK", "q1", "");
  const std::string failure =
      LateIdResponse("500 Internal Server Error", "q1", "");
  struct Row {
    const std::string* copy;
    const char* cut_after;
    int status;
  };
  const Row rows[] = {
      {&rejection, "desk/", 200}, {&rejection, "desk/", 500},
      {&rejection, "Exec", 200},  {&rejection, "Executed: ", 200},
      {&rejection, "Serv", 200},  {&success, "desk/", 500},
      {&failure, "desk/", 200},   {&failure, "Internal", 200},
  };
  for (const Row& row : rows) {
    for (const char* path : {"/order/1", "/lookup/2"}) {
      CAPTURE(row.copy->substr(0, 20), row.cut_after, row.status, path);
      const auto end = row.copy->find(row.cut_after);
      REQUIRE(end != std::string::npos);
      const std::string late =
          row.copy->substr(0, end + std::string(row.cut_after).size());
      const AfterLateBytes result = SendAfterLateBytes(
          success, late,
          LateIdResponse(std::to_string(row.status) + " X", "q2", ""), path);
      CHECK(result.runs >= 1);
      CHECK_FALSE(PromisesNotRun(result.answer.status));
      const bool has_stamp =
          !FieldValue(result.answer.fields, "sapphirebank-server-stamp")
               .empty();
      if (has_stamp) CHECK(result.answer.status == row.status);
    }
  }
}

// Guards against REFUSED: a request that comes again under the same id, and the
// copy of its first rejection arrives while it runs.
TEST_CASE("a copy of a rejection does not count for the same id sent again",
          "[platform]") {
  std::atomic<int> runs = 0;
  const std::string rejection =
      Response("503 Service Unavailable", "q1", kNotRun, "");
  ScriptedServer server([&](tcp::socket& socket, int number) {
    if (!ScriptedServer::ReadRequest(socket)) return;
    if (number == 0) {
      ScriptedServer::Write(socket, rejection);
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      if (socket.available() == 0) return;
      ScriptedServer::ReadRequest(socket);
      ScriptedServer::Write(socket, rejection);
    }
    ++runs;
    ScriptedServer::Write(socket, Response("200 OK", "q1", kStamp, "ran"));
    ScriptedServer::ReadRequest(socket);
  });
  LoopThread loop;
  TestEntryHost host(loop, "127.0.0.1");
  host.Update({server.endpoint()}, {});
  CHECK(host.Send("/order/1", "q1").status == 503);
  const HttpAnswer answer = host.Send("/order/1", "q1");
  CHECK(runs == 1);
  CHECK(answer.status == 200);
}

// Guards against REFUSED: to the caller a status that promises "not run" is the
// proxy's word, also where a server sent it without saying so.
TEST_CASE("a server's 503 that does not say that it did not run is no promise",
          "[platform]") {
  for (const char* status : {"503 Service Unavailable", "429 Too Many Requests",
                             "408 Request Timeout"}) {
    for (const char* path : {"/order/1", "/lookup/1"}) {
      CAPTURE(status, path);
      ScriptedServer server([&](tcp::socket& socket, int) {
        while (ScriptedServer::ReadRequest(socket)) {
          ScriptedServer::Write(
              socket,
              Response(status, "q1", "Sapphirebank-Server-Stamp: s\r\n", ""));
        }
      });
      LoopThread loop;
      TestEntryHost host(loop, "127.0.0.1");
      host.Update({server.endpoint()}, {});
      const HttpAnswer answer = host.Send(path);
      CHECK(answer.status == 502);
      CHECK(FieldValue(answer.fields, "sapphirebank-server-stamp").empty());
    }
  }
}

// Answers each request with a part of an answer without a length, before it has
// read the body, and resets the connection.
class ResettingServer {
 public:
  ResettingServer()
      : server_([this](tcp::socket& socket, int) {
          if (!ScriptedServer::ReadRequest(socket)) return;
          ++requests_;
          ScriptedServer::Write(
              socket,
              "HTTP/1.1 200 OK\r\nSapphirebank-Request-Id: q1\r\n"
              "Sapphirebank-Server-Stamp: s\r\n\r\na part of it");
          std::this_thread::sleep_for(std::chrono::milliseconds(50));
          ScriptedServer::Reset(socket);
        }) {}

  Endpoint endpoint() const { return server_.endpoint(); }
  int requests() const { return requests_; }

 private:
  std::atomic<int> requests_ = 0;
  ScriptedServer server_;
};

// Guards against MIXED: a long upload whose server answers at once and resets
// the connection while the upload is written.
TEST_CASE("a part of an answer before a reset is no answer", "[platform]") {
  const std::string body =
      GENERATE(std::string("short"), std::string(std::size_t{32} << 20U, 'b'));
  CAPTURE(body.size());
  ResettingServer server;
  LoopThread loop;
  TestEntryHost host(loop, "127.0.0.1");
  host.Update({server.endpoint()}, {});
  const HttpAnswer answer = host.Send("/order/1", "q1", body);
  CHECK(server.requests() == 1);
  CHECK(answer.status == 502);
  CHECK(FieldValue(answer.fields, "sapphirebank-server-stamp").empty());
}

// The same at another entry host that takes the detour.
TEST_CASE("a part of another host's answer before a reset is no answer",
          "[platform]") {
  ResettingServer other_host;
  LoopThread loop;
  ClosedPort closed[2];
  TestEntryHost host(loop, "127.0.0.2", other_host.endpoint().port);
  host.Update({closed[0].endpoint(), closed[1].endpoint()}, {"127.0.0.1:80"});
  const HttpAnswer answer =
      host.Send("/order/1", "q1", std::string(std::size_t{32} << 20U, 'b'));
  CHECK(other_host.requests() == 1);
  CHECK(answer.status == 502);
  CHECK(FieldValue(answer.fields, "sapphirebank-server-stamp").empty());
}

// Guards against MIXED: a server in trouble sends a status that is none.
TEST_CASE("an answer with an invalid status is not passed on", "[platform]") {
  const std::string status = GENERATE("000", "099", "101", "600");
  const bool is_host = GENERATE(false, true);
  CAPTURE(status, is_host);
  ScriptedServer other([&](tcp::socket& socket, int) {
    while (ScriptedServer::ReadRequest(socket)) {
      ScriptedServer::Write(
          socket, Response(status + " X", "q1",
                           "Sapphirebank-Server-Stamp: s\r\n", "body"));
    }
  });
  LoopThread loop;
  ClosedPort closed[2];
  TestEntryHost host(loop, "127.0.0.2", other.endpoint().port);
  if (is_host) {
    host.Update({closed[0].endpoint(), closed[1].endpoint()}, {"127.0.0.1:80"});
  } else {
    host.Update({other.endpoint()}, {});
  }
  const HttpAnswer answer = host.Send("/order/1");
  CHECK(answer.status == 502);
  CHECK(FieldValue(answer.fields, "sapphirebank-server-stamp").empty());
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

// Guards against REFUSED: a late copy that is cut inside the value of a field,
// and one byte of another copy inside the next answer's status line.
TEST_CASE("a status line that is split by other bytes makes no promise",
          "[platform]") {
  const std::string rejection =
      LateIdResponse("503 Service Unavailable", "q1", kNotRun);
  const std::string late = rejection.substr(
      0, rejection.find("desk/") + std::string("desk/").size());
  const std::string own = LateIdResponse("200 OK", "q2", "");
  for (std::size_t at = 1; at < std::string("HTTP/1.1 200").size(); ++at) {
    for (const char* path : {"/order/1", "/lookup/2"}) {
      CAPTURE(at, path);
      const AfterLateBytes result =
          SendAfterLateBytes(LateIdResponse("200 OK", "q1", ""), late,
                             own.substr(0, at) + "H" + own.substr(at), path);
      CHECK(result.runs >= 1);
      CHECK_FALSE(PromisesNotRun(result.answer.status));
    }
  }
}

// Guards against MIXED: an answer that was cut within its body, and a copy of
// another one that makes up the length.
TEST_CASE("a body that runs into a copy of another answer is not passed on",
          "[platform]") {
  const std::string copy =
      LateIdResponse("500 Internal Server Error", "q1", "");
  const std::string own =
      "HTTP/1.1 200 OK\r\nSapphirebank-Request-Id: q2\r\n"
      "Sapphirebank-Server-Stamp: stamp-q2\r\nContent-Length: 60\r\n\r\nbody";
  const AfterLateBytes result =
      SendAfterLateBytes(copy, "", own + copy, "/lookup/2");
  CHECK(result.runs >= 1);
  CHECK(result.shared_connection);
  CHECK(result.answer.status == 502);
}

// Guards against REFUSED: the statement of an earlier rejection
// arrives in the trailer section of the answer of a request that ran.
TEST_CASE("a statement in a trailer section does not count", "[platform]") {
  std::atomic<int> runs = 0;
  ScriptedServer server([&](tcp::socket& socket, int) {
    if (!ScriptedServer::ReadRequest(socket)) return;
    ++runs;
    ScriptedServer::Write(
        socket,
        "HTTP/1.1 400 Bad Request\r\nSapphirebank-Request-Id: q1\r\n"
        "Sapphirebank-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n"
        "\r\n4\r\nbody\r\n0\r\n" +
            kNotRun + "\r\n");
  });
  LoopThread loop;
  TestEntryHost host(loop, "127.0.0.1");
  host.Update({server.endpoint(), server.endpoint()}, {});
  const HttpAnswer answer = host.Send("/order/1", "q1");
  CHECK(runs == 1);
  CHECK_FALSE(PromisesNotRun(answer.status));
}

}  // namespace
}  // namespace sapphirebank
