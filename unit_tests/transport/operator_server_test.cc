#include "sapphirebank/transport/operator_server.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <mutex>
#include <string>
#include <thread>

#include "sapphirebank/config/declarations_document.h"
#include "sapphirebank/consensus/declaration_store.h"
#include "sapphirebank/request/route_table.h"
#include "sapphirebank/transport/operator_client.h"
#include "unit_tests/transport/scripted_server.h"

namespace sapphirebank {
namespace {

constexpr const char* kKey = "key-of-the-desk";
constexpr int kOperators = 6;

// Control state that the servers of a test share, in place of a replicated log.
class FakeControl {
 public:
  OperatorHooks Hooks() {
    OperatorHooks hooks;
    hooks.operator_of_digest =
        [](std::string_view sha256) -> Result<std::optional<std::string>> {
      if (sha256 != Sha256Hex(kKey)) return std::optional<std::string>();
      return "desk";
    };
    hooks.declarations = [this]() -> Result<DocumentAtRevision> {
      const std::lock_guard lock(mutex_);
      return DocumentAtRevision{store_.revision(), *store_.document()};
    };
    hooks.apply = [this](const ApplyChange& change) {
      const std::lock_guard lock(mutex_);
      last_operator_ = change.operator_id;
      return store_.Apply(change);
    };
    hooks.status = []() -> Result<FleetStatus> {
      return FleetStatus{
          3,
          HostId("control-1"),
          2,
          {{HostId("entry-1"), "entry", ZoneId("a"), "alive", 3}},
          {{"service:desk", HostId("entry-1"), 7}}};
    };
    hooks.backends = []() -> Result<std::vector<BackendStatus>> {
      return std::vector<BackendStatus>{{BackendId("b1"), ServiceId("desk"),
                                         ZoneId("a"), HostId("entry-1"),
                                         "serving", 3, 2, 1}};
    };
    hooks.totals = [](const std::string& day) -> Result<DayReport> {
      return DayReport{day, 0, {}};
    };
    hooks.leader = [] { return std::optional<Endpoint>(); };
    return hooks;
  }

  const std::string& last_operator() const { return last_operator_; }

 private:
  std::mutex mutex_;
  DeclarationStore store_;
  std::string last_operator_;
};

std::unique_ptr<OperatorServer> StartServer(OperatorHooks hooks) {
  OperatorServerSettings settings;
  settings.max_body_bytes = 4096;
  return OperatorServer::Start(settings, std::move(hooks)).value();
}

Endpoint EndpointOf(const OperatorServer& server) {
  return {"127.0.0.1", server.port()};
}

OperatorClient MakeClient(std::vector<Endpoint> hosts, std::string key = kKey) {
  OperatorClientSettings settings;
  settings.control_hosts = std::move(hosts);
  settings.operator_key = std::move(key);
  return OperatorClient::Create(std::move(settings), [](Duration) {}).value();
}

ApplyChange AddZone(Revision base, const std::string& id,
                    const std::string& zone) {
  const auto patch = nlohmann::json::array(
      {{{"op", "add"},
        {"path", base == 0 ? "/zones" : "/zones/" + zone},
        {"value", base == 0 ? nlohmann::json{{zone, nlohmann::json::object()}}
                            : nlohmann::json::object()}}});
  return {base, id, "", patch};
}

// Sends raw bytes and returns everything received until the server closes the
// connection.
std::string SendRaw(const OperatorServer& server, const std::string& bytes) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(fd >= 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0);
  REQUIRE(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(bytes.size()));
  std::string answer;
  char buffer[4096];
  ssize_t count = 0;
  while ((count = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
    answer.append(buffer, static_cast<std::size_t>(count));
  }
  close(fd);
  return answer;
}

TEST_CASE(
    "operators are refused while the host does not know the current operators",
    "[operators]") {
  FakeControl control;
  OperatorHooks hooks = control.Hooks();
  hooks.operator_of_digest =
      [](std::string_view) -> Result<std::optional<std::string>> {
    return Fail(ErrorKind::kNoQuorum, "no leader yet");
  };
  const auto server = StartServer(std::move(hooks));
  httplib::Client client("127.0.0.1", server->port());
  const httplib::Headers headers = {
      {"Authorization", std::string("Bearer ") + kKey}};
  const auto answer = client.Get("/v1/status", headers);
  REQUIRE(answer);
  CHECK(answer->status == AnswerFor(ErrorKind::kNoQuorum).http_status);
}

TEST_CASE("an operator reads and changes the declarations", "[operators]") {
  FakeControl control;
  const auto server = StartServer(control.Hooks());
  OperatorClient client = MakeClient({EndpointOf(*server)});
  CHECK(client.Declarations()->revision == 0);
  CHECK(client.Apply(AddZone(0, "c1", "a")) == ChangeResult{1});
  CHECK(control.last_operator() == "desk");
  CHECK(client.Apply(AddZone(0, "c1", "a")) == ChangeResult{1});
  const auto conflict = client.Apply(AddZone(0, "c2", "b"));
  REQUIRE_FALSE(conflict);
  CHECK(conflict.error().kind == ErrorKind::kRevisionConflict);
  CHECK_THAT(conflict.error().detail,
             Catch::Contains("revision 1 is in force"));
  const auto now = client.Declarations();
  CHECK(now->revision == 1);
  CHECK(now->document == nlohmann::json::parse(R"({"zones": {"a": {}}})"));
}

TEST_CASE("status, backend servers and totals are returned unchanged",
          "[operators]") {
  FakeControl control;
  OperatorHooks hooks = control.Hooks();
  const auto server = StartServer(hooks);
  OperatorClient client = MakeClient({EndpointOf(*server)});
  CHECK(client.Status() == hooks.status());
  CHECK(client.Backends() == hooks.backends());
  CHECK(client.Totals("2026-12-04") == hooks.totals("2026-12-04"));
}

TEST_CASE("a request without an operator's key is refused", "[operators]") {
  FakeControl control;
  const auto server = StartServer(control.Hooks());
  OperatorClient client = MakeClient({EndpointOf(*server)}, "a-caller-key");
  const Error unknown = client.Declarations().error();
  CHECK(unknown.kind == ErrorKind::kOperatorUnknown);
  CHECK_THAT(unknown.detail, !Catch::Contains("a-caller-key"));
  CHECK(client.Apply(AddZone(0, "c", "a")).error().kind ==
        ErrorKind::kOperatorUnknown);
  CHECK(client.Status().error().kind == ErrorKind::kOperatorUnknown);
  CHECK(control.last_operator().empty());
}

TEST_CASE("malformed requests are refused and change nothing", "[operators]") {
  struct Row {
    std::string head;
    std::string body;
    std::string status;
    std::string cause;
  };
  const std::string auth =
      std::string("Authorization: Bearer ") + kKey + "\r\n";
  const std::string change = "POST /v1/changes HTTP/1.1\r\n" + auth;
  const auto sized = [&](const std::string& body) {
    return change + "Content-Length: " + std::to_string(body.size()) + "\r\n";
  };
  const std::string no_id = R"({"base_revision": 0, "patch": []})";
  const std::string twice = R"({"base_revision": 0, "base_revision": 1})";
  const std::string extra =
      R"({"base_revision": 0, "change_id": "c", "patch": [], "by": "x"})";
  const Row rows[] = {
      {"GET /v1/status HTTP/1.1\r\n", "", "401", "operator_unknown"},
      {"GET /v1/none HTTP/1.1\r\n" + auth, "", "404", "not_found"},
      {"PUT /v1/changes HTTP/1.1\r\n" + auth, "", "405", "method_not_allowed"},
      {"GET /v1/totals HTTP/1.1\r\n" + auth, "", "400", "malformed_request"},
      {"GET /v1/totals?day=4.12. HTTP/1.1\r\n" + auth, "", "400",
       "malformed_request"},
      {"nonsense\r\n", "", "400", "malformed_request"},
      {change, "", "400", "malformed_request"},
      {change + "Content-Length: -1\r\n", "", "400", "malformed_request"},
      {change + "Content-Length: abc\r\n", "", "400", "malformed_request"},
      {change + "Content-Length: 2\r\nContent-Length: 3\r\n", "{}", "400",
       "malformed_request"},
      {change + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "{}",
       "400", "Transfer-Encoding is not served"},
      {change + "Content-Length: 4097\r\n", "", "413", "expected at most 4096"},
      {sized("{"), "{", "400", "malformed_request"},
      {sized("[]"), "[]", "400", "malformed_request"},
      {sized(no_id), no_id, "400", "malformed_request"},
      {sized(twice), twice, "400", "malformed_request"},
      {sized(extra), extra, "400", "unknown member \\\"by\\\""},
  };
  FakeControl control;
  const auto server = StartServer(control.Hooks());
  for (const Row& row : rows) {
    const std::string answer = SendRaw(*server, row.head + "\r\n" + row.body);
    INFO(row.head << row.body << "\n-> " << answer);
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 " + row.status));
    CHECK_THAT(answer, Catch::Contains(row.cause));
    CHECK_THAT(answer, Catch::Contains("application/problem+json"));
  }
  CHECK(control.last_operator().empty());
}

TEST_CASE("a client follows the leader and skips unreachable hosts",
          "[operators]") {
  FakeControl control;
  const auto leader = StartServer(control.Hooks());
  OperatorHooks follower_hooks = control.Hooks();
  int follower_calls = 0;
  follower_hooks.apply = [&](const ApplyChange&) -> Result<ChangeResult> {
    ++follower_calls;
    return Fail(ErrorKind::kNotLeader, "control-2 follows");
  };
  follower_hooks.leader = [&] { return std::optional(EndpointOf(*leader)); };
  const auto follower = StartServer(follower_hooks);
  const Endpoint unreachable = {"127.0.0.1", 1};  // Nothing listens there.
  OperatorClient client = MakeClient({unreachable, EndpointOf(*follower)});
  CHECK(client.Apply(AddZone(0, "c1", "a")) == ChangeResult{1});
  CHECK(follower_calls == 1);
  const auto no_leader = MakeClient({unreachable}).Status();
  REQUIRE_FALSE(no_leader);
  CHECK(no_leader.error().kind == ErrorKind::kNoQuorum);
  CHECK_THAT(no_leader.error().detail, Catch::Contains("127.0.0.1:1 gave no"));
}

TEST_CASE("a change whose response is lost is resent and applied once",
          "[operators]") {
  FakeControl control;
  OperatorHooks hooks = control.Hooks();
  int losses = 2;
  hooks.apply = [&, apply = hooks.apply](const ApplyChange& change) {
    auto answer = apply(change);
    if (losses-- > 0) {
      return Result<ChangeResult>(Fail(ErrorKind::kNoQuorum, "lost"));
    }
    return answer;
  };
  const auto server = StartServer(hooks);
  OperatorClient client = MakeClient({EndpointOf(*server)});
  CHECK(client.Apply(AddZone(0, "c1", "a")) == ChangeResult{1});
  CHECK(client.Declarations()->revision == 1);
}

TEST_CASE("one of several concurrent changes of the same revision succeeds",
          "[operators]") {
  FakeControl control;
  const auto server = StartServer(control.Hooks());
  REQUIRE(MakeClient({EndpointOf(*server)}).Apply(AddZone(0, "first", "z")));
  std::vector<std::optional<Result<ChangeResult>>> answers(kOperators);
  std::vector<std::thread> threads;
  threads.reserve(kOperators);
  for (int i = 0; i < kOperators; ++i) {
    threads.emplace_back([&, i] {
      const std::string name = "n" + std::to_string(i);
      answers[i] =
          MakeClient({EndpointOf(*server)}).Apply(AddZone(1, name, name));
    });
  }
  for (std::thread& thread : threads) thread.join();
  int succeeded = 0;
  for (const auto& answer : answers) {
    if (*answer) {
      ++succeeded;
    } else {
      CHECK(answer->error().kind == ErrorKind::kRevisionConflict);
    }
  }
  CHECK(succeeded == 1);
  CHECK(MakeClient({EndpointOf(*server)}).Declarations()->revision == 2);
}

TEST_CASE("a second server on the same port fails to start", "[operators]") {
  FakeControl control;
  const auto server = StartServer(control.Hooks());
  OperatorServerSettings settings;
  settings.endpoint = EndpointOf(*server);
  const auto second = OperatorServer::Start(settings, control.Hooks());
  REQUIRE_FALSE(second);
  CHECK(second.error().kind == ErrorKind::kInvalidSettings);
  OperatorHooks hooks = control.Hooks();
  hooks.apply = nullptr;
  CHECK_FALSE(OperatorServer::Start({}, hooks));
}

TEST_CASE("an operator's answer that is not whole is none", "[transport]") {
  const std::string head = GENERATE(
      "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 000 X\r\nContent-Length: 15\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n");
  // With a change that is longer than the buffers of a connection, too.
  const std::size_t name_size = GENERATE(1U, 32U << 20U);
  CAPTURE(head, name_size);
  ScriptedServer server([&](boost::asio::ip::tcp::socket& socket, int) {
    if (!ScriptedServer::ReadRequest(socket)) return;
    ScriptedServer::Write(socket, head + R"({"revision": 1})");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    ScriptedServer::Reset(socket);
  });
  OperatorClient client = MakeClient({server.endpoint()});
  CHECK_FALSE(client.Apply(AddZone(0, std::string(name_size, 'z'), "z")));
}

}  // namespace
}  // namespace sapphirebank
