#include <catch2/catch.hpp>
#include <thread>

#include "sapphirebank/transport/detour_fields.h"
#include "sapphirebank/transport/signed_field.h"
#include "unit_tests/platform/entry_hosts.h"
#include "unit_tests/transport/scripted_server.h"

namespace sapphirebank {
namespace {

// Two entry hosts, of which the first reaches no server.
struct CutOffHosts {
  explicit CutOffHosts(ScriptedBackend::Script script = ScriptedBackend::Answer)
      : backend(loop, std::move(script)),
        sound(loop, "127.0.0.2"),
        cut_off(loop, "127.0.0.1", sound.fleet_port()) {
    sound.Update({backend.endpoint()}, {});
    cut_off.Update(Closed(), {"127.0.0.2:80"});
  }
  std::vector<Endpoint> Closed() const {
    return {closed[0].endpoint(), closed[1].endpoint(), closed[2].endpoint()};
  }

  LoopThread loop;
  ClosedPort closed[3];
  ScriptedBackend backend;
  TestEntryHost sound;
  TestEntryHost cut_off;
};

// Guards against callers of a host without a path that are refused although
// other hosts reach the servers.
TEST_CASE("requests at a host without a path are served through another one",
          "[platform]") {
  CutOffHosts hosts;
  for (int i = 0; i < 10; ++i) {
    const HttpAnswer order =
        hosts.cut_off.Send("/order/1", fmt::format("o{}", i));
    CHECK(order.status == 200);
    CHECK(order.body == "ran body");
    CHECK(FieldValue(order.fields, "sapphirebank-server-stamp") == "stamp");
    CHECK(FieldValue(order.fields, kServerField).empty());
    CHECK(hosts.cut_off.Send("/lookup/1", fmt::format("l{}", i)).status == 200);
  }
  CHECK(hosts.backend.requests() == 20);
  CHECK(hosts.cut_off.path_is_lost());
  // Nothing is put down to servers that others reach.
  CHECK(hosts.cut_off.TakeReport().outcomes.empty());
  // The path is back.
  hosts.cut_off.Update({hosts.backend.endpoint()}, {"127.0.0.2:80"});
  hosts.cut_off.AwaitPath();
  const int detours = hosts.sound.detours();
  CHECK(hosts.cut_off.Send("/order/1", "o20").status == 200);
  CHECK(hosts.sound.detours() == detours);
}

// Guards against requests that go round between hosts without a path.
TEST_CASE("a request is refused as not run when no host has a path",
          "[platform]") {
  CutOffHosts hosts;
  hosts.sound.Update(hosts.Closed(), {"127.0.0.1:80"});
  for (const char* path : {"/order/1", "/lookup/1"}) {
    for (int i = 0; i < 3; ++i) {
      const HttpAnswer answer = hosts.cut_off.Send(path);
      CHECK(answer.status == 503);
      CHECK(FieldValue(answer.fields, kRefusalField).empty());
    }
  }
  CHECK(hosts.cut_off.detours() == 0);
  CHECK(hosts.backend.requests() == 0);
}

// Guards against 'not run' for a request that ran behind the second host.
TEST_CASE("a request whose answer is lost behind another host is not repeated",
          "[platform]") {
  CutOffHosts hosts([](const HttpRequest& request) {
    HttpAnswer answer = ScriptedBackend::Answer(request);
    answer.stream_length_known = true;
    answer.stream_length = 1000;
    struct Broken : BodyStream {
      boost::asio::awaitable<Result<std::string>> Next() override {
        co_return Fail(ErrorKind::kInternal, "cut");
      }
    };
    answer.stream = std::make_shared<Broken>();
    return answer;
  });
  CHECK(hosts.cut_off.Send("/order/1").status == 502);
  CHECK(hosts.backend.requests() == 1);
}

// Guards against 'not run' for a request whose answer was lost behind another
// host, as the rate of its workspace is used up when it is to be sent again.
TEST_CASE("a rate that is used up after a lost answer promises nothing",
          "[platform]") {
  ScriptedServer other_host([](boost::asio::ip::tcp::socket& socket, int) {
    ScriptedServer::ReadRequest(socket);
  });
  LoopThread loop;
  ClosedPort closed[2];
  TestEntryHost host(loop, "127.0.0.2", other_host.endpoint().port);
  host.Update({closed[0].endpoint(), closed[1].endpoint()}, {});
  host.Send("/lookup/1", "q1");
  REQUIRE(host.path_is_lost());
  host.set_workspace_rate(1e-6);
  host.Update({closed[0].endpoint(), closed[1].endpoint()}, {"127.0.0.1:80"},
              2);
  const HttpAnswer answer = host.Send("/lookup/1", "q2");
  CHECK(answer.status == 502);
  CHECK(FieldValue(answer.fields, "retry-after").empty());
}

// Guards against REFUSED: an entry host's refusal without an id, written once
// more on a kept connection, counts for the next request.
TEST_CASE("a repeated refusal of an entry host does not count for the next one",
          "[platform]") {
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\n"
      "X-Sapphirebank-Refusal: queue_full\r\n"
      "X-Sapphirebank-Not-Run: proved\r\nContent-Length: 0\r\n\r\n";
  const std::string own =
      "HTTP/1.1 200 OK\r\nSapphirebank-Request-Id: q3\r\n"
      "Sapphirebank-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n";
  for (const char* path : {"/order/1", "/lookup/1"}) {
    CAPTURE(path);
    std::atomic<int> runs = 0;
    std::atomic<bool> runs_begin = false;
    ScriptedServer other_host(
        [&](boost::asio::ip::tcp::socket& socket, int) {
          std::string before;
          while (ScriptedServer::ReadRequest(socket)) {
            if (runs_begin) ++runs;
            ScriptedServer::Write(socket, runs_begin ? before + own : refusal);
            before = refusal;
          }
        },
        /*is_concurrent=*/true);
    LoopThread loop;
    ClosedPort closed[2];
    TestEntryHost host(loop, "127.0.0.2", other_host.endpoint().port);
    host.Update({closed[0].endpoint(), closed[1].endpoint()}, {});
    host.Send("/lookup/1", "q1");
    REQUIRE(host.path_is_lost());
    host.Update({closed[0].endpoint(), closed[1].endpoint()}, {"127.0.0.1:80"});
    CHECK(host.Send(path, "q2").status == 503);
    runs_begin = true;
    const HttpAnswer answer = host.Send(path, "q3");
    CHECK(runs >= 1);
    CHECK((answer.status == 200 || answer.status == 502));
  }
}

// Guards against REFUSED during an upgrade: a host of the build before says
// 'not run' without a proof.
TEST_CASE("an entry host's refusal without a proof promises nothing for orders",
          "[platform]") {
  ScriptedServer other_host([](boost::asio::ip::tcp::socket& socket, int) {
    const std::string head = ScriptedServer::ReadHead(socket);
    const std::string id = head.find("POST") == std::string::npos ? "l1" : "o1";
    ScriptedServer::Write(
        socket,
        "HTTP/1.1 503 Service Unavailable\r\nSapphirebank-Request-Id: " + id +
            "\r\nX-Sapphirebank-Refusal: queue_full\r\n"
            "Connection: close\r\nContent-Length: 0\r\n\r\n");
  });
  LoopThread loop;
  ClosedPort closed[2];
  TestEntryHost host(loop, "127.0.0.2", other_host.endpoint().port);
  host.Update({closed[0].endpoint(), closed[1].endpoint()}, {});
  host.Send("/lookup/1", "q1");
  REQUIRE(host.path_is_lost());
  host.Update({closed[0].endpoint(), closed[1].endpoint()}, {"127.0.0.1:80"});
  CHECK(host.Send("/order/1", "o1").status == 502);
  CHECK(host.Send("/lookup/1", "l1").status == 503);
}

// Guards against REFUSED: a kind that does not say 'not run' has a status that
// does.
TEST_CASE("an entry host's refusal of unknown outcome promises nothing",
          "[platform]") {
  std::atomic<int> runs = 0;
  ScriptedServer other_host([&](boost::asio::ip::tcp::socket& socket, int) {
    if (!ScriptedServer::ReadRequest(socket)) return;
    ++runs;
    ScriptedServer::Write(
        socket,
        "HTTP/1.1 503 Service Unavailable\r\nSapphirebank-Request-Id: q2\r\n"
        "X-Sapphirebank-Refusal: no_quorum\r\nContent-Length: 0\r\n\r\n");
    ScriptedServer::ReadRequest(socket);
  });
  LoopThread loop;
  ClosedPort closed[2];
  TestEntryHost host(loop, "127.0.0.2", other_host.endpoint().port);
  host.Update({closed[0].endpoint(), closed[1].endpoint()}, {});
  host.Send("/lookup/1", "q1");
  REQUIRE(host.path_is_lost());
  host.Update({closed[0].endpoint(), closed[1].endpoint()}, {"127.0.0.1:80"});
  CHECK(host.Send("/order/1", "q2").status == 502);
  CHECK(runs == 1);
}

// Guards against a newer plan that is not in force for requests that take a
// detour.
TEST_CASE("a host with an older plan does not handle requests of another one",
          "[platform]") {
  CutOffHosts hosts;
  hosts.cut_off.Update(hosts.Closed(), {"127.0.0.2:80"}, 2);
  CHECK(hosts.cut_off.Send("/order/1").status == 503);
  CHECK(hosts.sound.detours() == 1);
  CHECK(hosts.backend.requests() == 0);
  hosts.sound.Update({hosts.backend.endpoint()}, {}, 2);
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  CHECK(hosts.cut_off.Send("/order/1").status == 200);
}

// Guards against a server that passes for an entry host.
TEST_CASE("fields between entry hosts are not taken from a server's answer",
          "[platform]") {
  CutOffHosts hosts([](const HttpRequest& request) {
    HttpAnswer answer = ScriptedBackend::Answer(request);
    answer.fields.push_back({std::string(kRefusalField), "queue_full"});
    return answer;
  });
  CHECK(hosts.cut_off.Send("/order/1").status == 200);
  CHECK(hosts.backend.requests() == 1);
}

// Guards against requests at a server that said that it leaves in an answer
// that took a detour.
TEST_CASE("a host obeys what a server said behind another host", "[platform]") {
  CutOffHosts hosts([](const HttpRequest& request) {
    HttpAnswer answer = ScriptedBackend::Answer(request);
    answer.fields.push_back({"server-leaving", "1"});
    return answer;
  });
  CHECK(hosts.cut_off.Send("/order/1").status == 200);
  hosts.cut_off.Update({hosts.backend.endpoint()}, {});
  hosts.cut_off.AwaitPath();
  CHECK(hosts.cut_off.Send("/order/2", "q2").status == 503);
  CHECK(hosts.backend.requests() == 1);
}

// Guards against a failing server that goes unnoticed because its failures are
// taken for those of the path.
TEST_CASE("a server that refuses connections is put down to the server",
          "[platform]") {
  LoopThread loop;
  const ClosedPort closed;
  ScriptedBackend backend(loop);
  TestEntryHost host(loop, "127.0.0.1");
  host.Update({closed.endpoint(), backend.endpoint(), backend.endpoint()}, {});
  for (int i = 0; i < 20; ++i) {
    CHECK(host.Send("/lookup/1", fmt::format("q{}", i)).status == 200);
  }
  CHECK_FALSE(host.path_is_lost());
  const EntryReport report = host.TakeReport();
  REQUIRE(report.outcomes.contains(BackendId("s0")));
  CHECK(report.outcomes.at(BackendId("s0")).hard_failures > 0);
}

}  // namespace
}  // namespace sapphirebank
