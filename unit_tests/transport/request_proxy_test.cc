#include "sapphirebank/transport/request_proxy.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <vector>

#include "sapphirebank/transport/process_clock.h"
#include "sapphirebank/transport/signed_field.h"
#include "unit_tests/transport/loop_thread.h"
#include "unit_tests/transport/scripted_server.h"

namespace sapphirebank {
namespace {

std::shared_ptr<const RouteTable> MakeTable() {
  ServiceDeclaration service;
  service.id = ServiceId("permits");
  RouteDeclaration route;
  route.id = "lookup";
  route.methods = {"GET"};
  route.path_prefix = "/";
  route.service = service.id;
  route.access = RouteAccess::kOpen;
  route.idempotent = true;
  route.deadline = std::chrono::seconds(2);
  Declarations declarations;
  declarations.services = {service};
  declarations.routes = {route};
  return RouteTable::Create(1, std::move(declarations));
}

// A request proxy whose dispatcher gives out `decisions` one after the other.
class ScriptedProxy {
 public:
  ScriptedProxy(LoopThread& loop, std::vector<DispatchDecision> decisions)
      : loop_(loop), decisions_(std::move(decisions)) {
    RequestProxyHooks hooks;
    hooks.now = MonotonicNow;
    hooks.routes = [table = MakeTable()] { return table; };
    hooks.keys_verifiable = [] { return true; };
    hooks.dispatch = [this](const DispatchRequest&, const auto& callback) {
      callback(decisions_.at(next_++));
    };
    hooks.cancel_dispatch = [](DispatchId) {};
    hooks.finish_attempt = [](AttemptId, const Outcome&, const auto&) {};
    hooks.acquire_retry_token = [](const ServiceId&, const auto& callback) {
      callback(true);
    };
    hooks.log = [](std::string_view, const nlohmann::json&) {};
    hooks.count_request = [](const ServiceId&, const WorkspaceId&,
                             const ErrorKind*, Duration, std::size_t) {};
    proxy_.emplace(loop.loop(), RequestProxySettings(), FleetSecret("secret"),
                   std::move(hooks));
  }

  ~ScriptedProxy() { loop_.Stop(); }
  ScriptedProxy(const ScriptedProxy&) = delete;
  ScriptedProxy& operator=(const ScriptedProxy&) = delete;

  HttpAnswer Send() {
    HttpRequest request;
    request.head.method = "GET";
    request.head.target = "/permits/1";
    request.watch = std::make_shared<CallerWatch>();
    return loop_.Run(proxy_->HandleCaller(std::move(request)));
  }

 private:
  LoopThread& loop_;
  std::vector<DispatchDecision> decisions_;
  std::size_t next_ = 0;
  std::optional<RequestProxy> proxy_;
};

DispatchDecision ToServer(const Endpoint& endpoint) {
  LocalSlot slot;
  slot.placement.status = PlacementStatus::kPlaced;
  slot.placement.backend = BackendId("server-1");
  slot.placement.address.ip = endpoint.ip;
  slot.placement.address.port = endpoint.port;
  DispatchDecision decision;
  decision.place = slot;
  return decision;
}

DispatchDecision Refused(ErrorKind kind) {
  DispatchDecision decision;
  decision.place = Error(kind, "no server left");
  return decision;
}

Endpoint ClosedEndpoint() {
  boost::asio::io_context loop;
  boost::asio::ip::tcp::acceptor acceptor(
      loop, {boost::asio::ip::address_v4::loopback(), 0});
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

// Guards against 'not run' for a request whose first attempt a server may have
// run, because the second one found no server or no connection.
TEST_CASE("a request that may have run is not refused as not run after a retry",
          "[transport]") {
  ScriptedServer server([](boost::asio::ip::tcp::socket& socket, int) {
    ScriptedServer::ReadRequest(socket);
  });
  const DispatchDecision seconds[] = {Refused(ErrorKind::kNoBackendServer),
                                      Refused(ErrorKind::kQueueTimeout),
                                      ToServer(ClosedEndpoint())};
  for (const DispatchDecision& second : seconds) {
    LoopThread loop;
    ScriptedProxy proxy(loop, {ToServer(server.endpoint()), second,
                               Refused(ErrorKind::kNoBackendServer)});
    const HttpAnswer answer = proxy.Send();
    CHECK(answer.status == 502);
    const auto body = nlohmann::json::parse(answer.body);
    CHECK(body["execution"] == "unknown");
    CHECK(body["kind"] == "backend_broken");
  }
}

TEST_CASE("a request that reached no server is refused as not run",
          "[transport]") {
  LoopThread loop;
  ScriptedProxy proxy(
      loop, {ToServer(ClosedEndpoint()), Refused(ErrorKind::kNoBackendServer)});
  const HttpAnswer answer = proxy.Send();
  CHECK(answer.status == 503);
  CHECK(nlohmann::json::parse(answer.body)["execution"] == "not run");
}

DispatchDecision ToPeer(const Endpoint& endpoint) {
  ForwardTo to;
  to.host = HostId("peer");
  to.forwards = endpoint;
  DispatchDecision decision;
  decision.place = to;
  return decision;
}

// Guards against 'not run' for a request that runs behind another entry host,
// because a copy of that host's earlier refusal came before its answer.
TEST_CASE("a repeated refusal of a peer does not count for the next request",
          "[transport]") {
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\n"
      "X-Sapphirebank-Refusal: queue_full\r\nContent-Length: 0\r\n\r\n";
  std::atomic<int> runs = 0;
  ScriptedServer peer([&](boost::asio::ip::tcp::socket& socket, int) {
    if (!ScriptedServer::ReadRequest(socket)) return;
    ScriptedServer::Write(socket, refusal);
    if (!ScriptedServer::ReadRequest(socket)) return;
    ++runs;
    ScriptedServer::Write(
        socket, refusal + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    ScriptedServer::ReadRequest(socket);
  });
  LoopThread loop;
  ScriptedProxy proxy(
      loop, {ToPeer(peer.endpoint()), Refused(ErrorKind::kNoBackendServer),
             ToPeer(peer.endpoint()), Refused(ErrorKind::kNoBackendServer)});
  CHECK(proxy.Send().status == 503);
  CHECK(runs == 0);
  const HttpAnswer answer = proxy.Send();
  CHECK(runs == 1);
  CHECK(answer.status != 503);
}

// Guards against MIXED: a copy of a server's earlier answer counts for the next
// request on its connection.
TEST_CASE("a repeated answer of a server does not count for the next request",
          "[transport]") {
  const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  std::atomic<int> runs = 0;
  ScriptedServer server([&](boost::asio::ip::tcp::socket& socket, int) {
    if (!ScriptedServer::ReadRequest(socket)) return;
    ScriptedServer::Write(socket, first);
    if (!ScriptedServer::ReadRequest(socket)) return;
    ++runs;
    ScriptedServer::Write(socket, first +
                                      "HTTP/1.1 500 Internal Server Error\r\n"
                                      "Content-Length: 0\r\n\r\n");
    ScriptedServer::ReadRequest(socket);
  });
  LoopThread loop;
  ScriptedProxy proxy(loop,
                      {ToServer(server.endpoint()), ToServer(server.endpoint()),
                       Refused(ErrorKind::kNoBackendServer)});
  CHECK(proxy.Send().body == "first");
  const HttpAnswer answer = proxy.Send();
  CHECK(runs == 1);
  CHECK(answer.body != "first");
}

}  // namespace
}  // namespace sapphirebank
