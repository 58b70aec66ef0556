#include "sapphirebank/transport/request_proxy.h"

#include <fmt/format.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <vector>

#include "sapphirebank/transport/forward_fields.h"
#include "sapphirebank/transport/process_clock.h"
#include "sapphirebank/transport/signed_field.h"
#include "sapphirebank/transport/stored_answer.h"
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
  RouteDeclaration order = route;
  order.id = "order";
  order.methods = {"POST"};
  order.idempotent = false;
  order.body_limit = std::size_t{64} << 20U;
  Declarations declarations;
  declarations.services = {service};
  declarations.routes = {route, order};
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
    hooks.finish_attempt = [this](AttemptId, const Outcome& outcome,
                                  const auto&) {
      outcomes_.push_back(outcome.kind);
    };
    hooks.acquire_retry_token = [](const ServiceId&, const auto& callback) {
      callback(true);
    };
    hooks.claim = [this](const Claim&, const auto& callback) {
      callback(ClaimResult{ClaimState::kAnswered, stored_});
    };
    hooks.complete_claim = [](const CompleteClaim&) {};
    hooks.log = [](std::string_view, const nlohmann::json&) {};
    hooks.count_request = [](const ServiceId&, const WorkspaceId&,
                             const ErrorKind*, Duration, std::size_t) {};
    proxy_.emplace(loop.loop(), RequestProxySettings(), FleetSecret("secret"),
                   std::move(hooks));
  }

  ~ScriptedProxy() { loop_.Stop(); }
  ScriptedProxy(const ScriptedProxy&) = delete;
  ScriptedProxy& operator=(const ScriptedProxy&) = delete;

  HttpAnswer Send() { return loop_.Run(proxy_->HandleCaller(MakeRequest())); }

  // Sends a request that must run once.
  HttpAnswer SendOrder(std::string body, HeaderFields fields = {}) {
    HttpRequest request = MakeRequest();
    request.head.method = "POST";
    request.head.fields = std::move(fields);
    request.body = std::move(body);
    return loop_.Run(proxy_->HandleCaller(std::move(request)));
  }

  // Finds this answer stored for each idempotency key.
  void set_stored_answer(std::string bytes) { stored_ = std::move(bytes); }

  // Passes on a request as another entry host does.
  HttpAnswer Forward(const RequestId& id) {
    ForwardedRequest forwarded;
    forwarded.id = id;
    forwarded.time_left = std::chrono::seconds(1);
    HttpRequest request = MakeRequest();
    AddForwardFields(FleetSecret("secret"), forwarded, request.head, "");
    return loop_.Run(proxy_->HandleForward(std::move(request)));
  }

  // Outcomes of the attempts at backend servers so far.
  const std::vector<OutcomeKind>& outcomes() const { return outcomes_; }

 private:
  static HttpRequest MakeRequest() {
    HttpRequest request;
    request.head.method = "GET";
    request.head.target = "/permits/1";
    request.watch = std::make_shared<CallerWatch>();
    return request;
  }

  LoopThread& loop_;
  std::vector<DispatchDecision> decisions_;
  std::vector<OutcomeKind> outcomes_;
  std::string stored_;
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

DispatchDecision ToHost(const Endpoint& endpoint) {
  DispatchDecision decision;
  decision.place = ForwardTo{HostId("entry-2"), endpoint};
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

std::string FieldIn(const std::string& head, const std::string& name) {
  const std::string start = name + ": ";
  const auto at = head.find(start);
  if (at == std::string::npos) return "";
  const auto begin = at + start.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

// Returns the request id in the head of a request to a backend server or to
// another entry host.
std::string RequestIdIn(const std::string& head) {
  const std::string forwarded = FieldIn(head, std::string(kForwardField));
  if (forwarded.empty()) return FieldIn(head, "x-sapphirebank-request-id");
  return nlohmann::json::parse(forwarded)["id"];
}

// Returns an answer that names the request `id`; none if that is empty.
std::string AnswerText(std::string_view status, const std::string& id,
                       const std::string& body,
                       const std::string& fields = "") {
  std::string text = fmt::format("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n",
                                 status, fields, body.size());
  if (!id.empty()) text += "x-sapphirebank-request-id: " + id + "\r\n";
  return text + "\r\n" + body;
}

// Returns another entry host's refusal of a request that was not run.
std::string RefusalText(const std::string& id) {
  return AnswerText("503 Service Unavailable", id, "full",
                    "x-sapphirebank-refusal: queue_full\r\n");
}

// Answers each request on a connection with "answer N", N counted over all
// connections, behind a second copy of the answer before it on the same
// connection.
class RepeatingServer {
 public:
  explicit RepeatingServer(bool echoes_id)
      : server_([this, echoes_id](boost::asio::ip::tcp::socket& socket, int) {
          ++connections_;
          std::string last;
          for (auto head = ScriptedServer::ReadHead(socket); !head.empty();
               head = ScriptedServer::ReadHead(socket)) {
            const std::string id = echoes_id ? RequestIdIn(head) : "";
            const std::string answer =
                AnswerText("200 OK", id, fmt::format("answer {}", ++answers_));
            ScriptedServer::Write(socket, last + answer);
            last = answer;
          }
        }) {}

  Endpoint endpoint() const { return server_.endpoint(); }
  int connections() const { return connections_; }

 private:
  std::atomic<int> connections_ = 0;
  int answers_ = 0;
  ScriptedServer server_;
};

// Guards against MIXED: a late copy of an earlier answer on a kept connection.
TEST_CASE("a copy of an earlier answer is not taken for the next request's",
          "[transport]") {
  RepeatingServer server(true);
  LoopThread loop;
  const DispatchDecision decision = ToServer(server.endpoint());
  ScriptedProxy proxy(loop, {decision, decision});
  CHECK(proxy.Send().body == "answer 1");
  CHECK(proxy.Send().body == "answer 2");
  CHECK(server.connections() == 1);
}

TEST_CASE("a server that does not name requests gets each on a new connection",
          "[transport]") {
  RepeatingServer server(false);
  LoopThread loop;
  const DispatchDecision decision = ToServer(server.endpoint());
  ScriptedProxy proxy(loop, {decision, decision, decision});
  for (int number = 1; number <= 3; ++number) {
    const HttpAnswer answer = proxy.Send();
    CHECK(answer.status == 200);
    CHECK(answer.body == fmt::format("answer {}", number));
    CHECK(server.connections() == number);
  }
}

// Servers and devices in between write 408 to connections that were idle, and
// some servers answer errors without the fields of their other answers.
TEST_CASE("an answer without an id on a kept connection is asked for again",
          "[transport]") {
  const std::string status =
      GENERATE("200 OK", "408 Request Timeout", "500 Internal Server Error",
               "503 Service Unavailable");
  CAPTURE(status);
  ScriptedServer server([&](boost::asio::ip::tcp::socket& socket, int number) {
    const std::string id = RequestIdIn(ScriptedServer::ReadHead(socket));
    ScriptedServer::Write(socket, AnswerText("200 OK", id, "own"));
    if (number > 0 || !ScriptedServer::ReadRequest(socket)) return;
    ScriptedServer::Write(socket, AnswerText(status, "", "without id"));
  });
  LoopThread loop;
  const DispatchDecision decision = ToServer(server.endpoint());
  ScriptedProxy proxy(loop, {decision, decision, decision});
  CHECK(proxy.Send().body == "own");
  const HttpAnswer second = proxy.Send();
  CHECK(second.status == 200);
  CHECK(second.body == "own");
  // The server did not crash on the request.
  CHECK(proxy.outcomes() == std::vector<OutcomeKind>({OutcomeKind::kSuccess,
                                                      OutcomeKind::kHttpError,
                                                      OutcomeKind::kSuccess}));
}

TEST_CASE("an answer without an id on a new connection is passed on",
          "[transport]") {
  ScriptedServer server([](boost::asio::ip::tcp::socket& socket, int) {
    if (!ScriptedServer::ReadRequest(socket)) return;
    ScriptedServer::Write(socket, AnswerText("404 Not Found", "", "nothing"));
  });
  LoopThread loop;
  ScriptedProxy proxy(loop, {ToServer(server.endpoint())});
  const HttpAnswer answer = proxy.Send();
  CHECK(answer.status == 404);
  CHECK(answer.body == "nothing");
}

TEST_CASE("another host's answer to an earlier request is not taken",
          "[transport]") {
  RepeatingServer host(true);
  LoopThread loop;
  const DispatchDecision decision = ToHost(host.endpoint());
  ScriptedProxy proxy(loop, {decision, decision});
  CHECK(proxy.Send().body == "answer 1");
  CHECK(proxy.Send().body == "answer 2");
  CHECK(host.connections() == 1);
}

// Sends two requests to another host, of which the second is refused behind
// `before`, and nothing takes it after that. Returns the second answer.
HttpAnswer AnswerToRefused(bool names_id, bool repeats_first) {
  ScriptedServer host([=](boost::asio::ip::tcp::socket& socket, int) {
    const std::string id = RequestIdIn(ScriptedServer::ReadHead(socket));
    const std::string first = AnswerText("200 OK", id, "first");
    ScriptedServer::Write(socket, first);
    const std::string head = ScriptedServer::ReadHead(socket);
    if (head.empty()) return;
    if (repeats_first) ScriptedServer::Write(socket, first);
    const std::string refused_id = names_id ? RequestIdIn(head) : "";
    ScriptedServer::Write(socket, RefusalText(refused_id));
  });
  LoopThread loop;
  const DispatchDecision decision = ToHost(host.endpoint());
  ScriptedProxy proxy(
      loop, {decision, decision, Refused(ErrorKind::kNoBackendServer)});
  CHECK(proxy.Send().body == "first");
  return proxy.Send();
}

// Hosts of earlier builds refuse without the id.
TEST_CASE("another host's refusal counts as 'not run' as the first answer only",
          "[transport]") {
  const bool names_id = GENERATE(true, false);
  CAPTURE(names_id);
  const HttpAnswer first = AnswerToRefused(names_id, false);
  CHECK(first.status == 503);
  CHECK(nlohmann::json::parse(first.body)["execution"] == "not run");
  const HttpAnswer second = AnswerToRefused(names_id, true);
  CHECK(second.status == 502);
  CHECK(nlohmann::json::parse(second.body)["execution"] == "unknown");
}

// Guards against REFUSED: a late copy of another host's refusal.
TEST_CASE("a copy of another host's refusal is not taken for the next one",
          "[transport]") {
  const bool names_id = GENERATE(true, false);
  CAPTURE(names_id);
  // Refuses the first request. Answers the second one, behind a copy of that
  // refusal if it comes on the same connection.
  std::atomic<int> requests = 0;
  ScriptedServer host([&](boost::asio::ip::tcp::socket& socket, int) {
    std::string refusal;
    for (auto head = ScriptedServer::ReadHead(socket); !head.empty();
         head = ScriptedServer::ReadHead(socket)) {
      const std::string id = RequestIdIn(head);
      const bool refuses = requests++ == 0;
      ScriptedServer::Write(socket, refusal);
      if (refuses) refusal = RefusalText(names_id ? id : "");
      ScriptedServer::Write(
          socket, refuses ? refusal : AnswerText("200 OK", id, "served"));
    }
  });
  LoopThread loop;
  const DispatchDecision decision = ToHost(host.endpoint());
  ScriptedProxy proxy(loop, {decision, Refused(ErrorKind::kNoBackendServer),
                             decision, Refused(ErrorKind::kNoBackendServer)});
  const HttpAnswer first = proxy.Send();
  CHECK(first.status == 503);
  CHECK(nlohmann::json::parse(first.body)["execution"] == "not run");
  const HttpAnswer second = proxy.Send();
  CHECK(second.status == 200);
  CHECK(second.body == "served");
}

// Guards against MIXED: a server, or the owner of the service, that answers a
// long upload at once, in part, and resets the connection.
TEST_CASE("a part of an answer to an upload is not passed on", "[transport]") {
  const bool is_owner = GENERATE(false, true);
  CAPTURE(is_owner);
  ScriptedServer server([](boost::asio::ip::tcp::socket& socket, int) {
    const std::string id = RequestIdIn(ScriptedServer::ReadHead(socket));
    ScriptedServer::Write(
        socket, fmt::format("HTTP/1.1 200 OK\r\nx-sapphirebank-request-id: {}"
                            "\r\n\r\na part of it",
                            id));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    ScriptedServer::Reset(socket);
  });
  LoopThread loop;
  ScriptedProxy proxy(loop, {is_owner ? ToHost(server.endpoint())
                                      : ToServer(server.endpoint())});
  const HttpAnswer answer =
      proxy.SendOrder(std::string(std::size_t{32} << 20U, 'b'));
  CHECK(answer.status == 502);
  CHECK(nlohmann::json::parse(answer.body)["execution"] == "unknown");
}

TEST_CASE("an answer with an invalid status is asked for again",
          "[transport]") {
  const std::string status = GENERATE("000", "101", "600");
  const bool is_owner = GENERATE(false, true);
  CAPTURE(status, is_owner);
  ScriptedServer server([&](boost::asio::ip::tcp::socket& socket, int number) {
    const std::string id = RequestIdIn(ScriptedServer::ReadHead(socket));
    ScriptedServer::Write(
        socket, AnswerText(number > 0 ? "200 OK" : status + " X", id, "body"));
    ScriptedServer::ReadRequest(socket);
  });
  LoopThread loop;
  const DispatchDecision decision =
      is_owner ? ToHost(server.endpoint()) : ToServer(server.endpoint());
  ScriptedProxy proxy(loop, {decision, decision});
  CHECK(proxy.Send().status == 200);
}

// Guards against 'not run' for a request whose stored answer cannot be used.
TEST_CASE("a stored answer with an invalid status leaves the request unknown",
          "[transport]") {
  LoopThread loop;
  ScriptedProxy proxy(loop, {});
  HttpAnswer stored;
  stored.body = "stored";
  const HeaderFields key = {{"idempotency-key", "k"}};
  proxy.set_stored_answer(EncodeAnswer(stored));
  CHECK(proxy.SendOrder("body", key).body == "stored");
  for (const int status : {0, 101, 600}) {
    CAPTURE(status);
    stored.status = status;
    proxy.set_stored_answer(EncodeAnswer(stored));
    const HttpAnswer answer = proxy.SendOrder("body", key);
    CHECK(answer.status == 409);
    CHECK(nlohmann::json::parse(answer.body)["execution"] == "unknown");
  }
}

TEST_CASE("a refusal names its request to the host that passed it on",
          "[transport]") {
  LoopThread loop;
  const DispatchDecision refused = Refused(ErrorKind::kQueueFull);
  ScriptedProxy proxy(loop, {refused, refused});
  const std::string_view name = "x-sapphirebank-request-id";
  CHECK(FieldValue(proxy.Forward(RequestId("7")).fields, name) == "7");
  CHECK(FieldValue(proxy.Send().fields, name).empty());
}

}  // namespace
}  // namespace sapphirebank
