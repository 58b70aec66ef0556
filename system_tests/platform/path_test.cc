#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <list>
#include <nlohmann/json.hpp>
#include <thread>

#include "system_tests/platform/endless_server.h"
#include "system_tests/platform/platform_fleet.h"

// Tests of the platform program with real processes on loopback addresses.
// Entry hosts get their whole configuration from the control hosts; the test
// takes the place of the platform: it writes the settings, acts as the
// operator, runs backend servers that send heartbeats, and sends requests as
// callers that resolve the addresses of entry hosts.
namespace sapphirebank::system_tests {
namespace {

using nlohmann::json;

TEST_CASE(
    "callers are authenticated, routed and resolved, and stale plans are "
    "ignored, on the platform",
    "[platform]") {
  PlatformFleet fleet;
  REQUIRE(fleet.CallRpc("config.put", fleet.MakePlan(5).dump()) == 200);
  fleet.WaitUntilServing();
  const auto answer = fleet.SendRequest(0, "POST", "/order/7?x=1");
  REQUIRE(answer);
  CHECK(answer->status == 200);
  CHECK(answer->body.find("POST /order/7?x=1 body") != std::string::npos);
  CHECK_FALSE(answer->get_header_value("Sapphirebank-Server-Stamp").empty());
  for (int i = 0; i < 2; ++i) {
    for (const httplib::Headers& headers : fleet.server(i).received_headers()) {
      CHECK(headers.find("Authorization") == headers.end());
      CHECK(headers.find("Sapphirebank-Tenant")->second == "north");
    }
  }
  for (int i = 0; i < PlatformFleet::kControlHosts; ++i) {
    WaitUntil("a control host resolves two addresses",
              [&] { return fleet.ResolveAddresses(i).size() == 2; });
  }
  CHECK(fleet.IsReady(0));
  CHECK(fleet.SendRequest(0, "GET", "/none/1")->status == 404);
  CHECK(fleet.SendRequest(0, "GET", "/lookup/1", "wrong")->status == 401);

  // A lower version, and different content with the same version, are accepted
  // without effect.
  CHECK(fleet.CallRpc("config.put", fleet.MakePlan(4, "other").dump()) == 200);
  CHECK(fleet.CallRpc("config.put", fleet.MakePlan(5, "other").dump()) == 200);
  std::string stored_plan;
  CHECK(fleet.CallRpc("config.get", "", &stored_plan) == 200);
  CHECK(json::parse(stored_plan) == fleet.MakePlan(5));
  CHECK(fleet.CallRpc("config.put", "{\"version\":\"r9\"") == 400);

  // A withdrawn key is rejected by all entry hosts.
  REQUIRE(fleet.CallRpc("config.put", fleet.MakePlan(8, "key-2").dump()) ==
          200);
  for (int i = 0; i < PlatformFleet::kEntryHosts; ++i) {
    WaitUntil("the withdrawn key is rejected", [&] {
      return fleet.SendRequest(i, "GET", "/lookup/1")->status == 401;
    });
    CHECK(fleet.SendRequest(i, "GET", "/lookup/1", "key-2")->status == 200);
  }
}

TEST_CASE(
    "failing and draining servers and an evacuated zone get no requests on "
    "the platform",
    "[platform]") {
  PlatformFleet fleet;
  REQUIRE(fleet.CallRpc("config.put", fleet.MakePlan(5).dump()) == 200);
  fleet.WaitUntilServing();
  WaitUntil("both servers get requests", [&] {
    fleet.SendRequest(0, "GET", "/lookup/1");
    return fleet.server(0).request_count() > 0 &&
           fleet.server(1).request_count() > 0;
  });
  // A safe request that fails at one server is retried at the other while the
  // host has tokens in its retry budget. Successful requests fill the budget.
  for (int i = 0; i < 60; ++i) fleet.SendRequest(0, "GET", "/lookup/1");
  fleet.server(0).set_failing(true);
  for (int i = 0; i < 20; ++i) {
    CHECK(fleet.SendRequest(0, "GET", "/lookup/1")->status == 200);
  }
  fleet.server(0).set_failing(false);

  fleet.server(0).Leave();
  WaitUntil("a control host acknowledges the draining state",
            [&] { return fleet.server(0).leave_acknowledged(); });
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const int before = fleet.server(0).request_count();
  for (int i = 0; i < 10; ++i) {
    CHECK(fleet.SendRequest(i % 2, "GET", "/lookup/1")->status == 200);
  }
  CHECK(fleet.server(0).request_count() == before);

  CHECK(fleet.CallRpc("evacuations.start&of=kochi") == 200);
  WaitUntil("the zone is out of service", [&] {
    return fleet.SendRequest(0, "GET", "/lookup/1")->status == 503;
  });
  CHECK(fleet.CallRpc("evacuations.end&of=kochi") == 200);
  WaitUntil("the zone is in service again", [&] {
    return fleet.SendRequest(0, "GET", "/lookup/1")->status == 200;
  });
}

TEST_CASE("entry and control hosts serve metrics without keys on the platform",
          "[platform]") {
  PlatformFleet fleet;
  REQUIRE(fleet.CallRpc("config.put", fleet.MakePlan(5).dump()) == 200);
  fleet.WaitUntilServing();
  for (int i = 0; i < 5; ++i) fleet.SendRequest(0, "GET", "/lookup/1");
  fleet.SendRequest(0, "GET", "/lookup/1", "wrong");
  const std::string entry_host_metrics =
      PlatformFleet::FetchMetrics(PlatformFleet::EntryHostIp(0));
  CHECK_THAT(entry_host_metrics,
             Catch::Contains("sapphirebank_requests_total"));
  CHECK_THAT(entry_host_metrics, Catch::Contains("outcome=\"answered\""));
  CHECK_THAT(entry_host_metrics, Catch::Contains("key_unknown"));
  CHECK_THAT(entry_host_metrics,
             Catch::Contains("sapphirebank_added_latency_seconds"));
  CHECK_THAT(entry_host_metrics,
             Catch::Contains("sapphirebank_configuration_revision"));
  // Labels must not contain keys.
  CHECK(entry_host_metrics.find("key-1") == std::string::npos);
  WaitUntil("the metrics of a control host contain backend servers", [] {
    return PlatformFleet::FetchMetrics(PlatformFleet::ControlHostIp(0))
               .find("sapphirebank_backend_servers{") != std::string::npos;
  });
}

TEST_CASE(
    "the answer of the first attempt is delivered when a retry finds no server",
    "[platform]") {
  PlatformFleet fleet;
  REQUIRE(fleet.CallRpc("config.put", fleet.MakePlan(5).dump()) == 200);
  fleet.WaitUntilServing();
  // Fill the retry budget.
  for (int i = 0; i < 40; ++i) fleet.SendRequest(0, "GET", "/lookup/1");
  fleet.server(0).set_failing(true);
  fleet.server(1).StopListening();
  for (int i = 0; i < 20; ++i) {
    const auto answer = fleet.SendRequest(0, "GET", "/lookup/1");
    REQUIRE(answer);
    // The other server may still serve requests on connections that are open.
    CHECK((answer->status == 500 || answer->status == 200));
    CHECK_FALSE(answer->get_header_value("Sapphirebank-Server-Stamp").empty());
  }
}

TEST_CASE(
    "an acknowledged plan survives a crash of all control hosts and the loss "
    "of one disk; a terminated entry host drains",
    "[platform]") {
  PlatformFleet fleet;
  REQUIRE(fleet.CallRpc("config.put", fleet.MakePlan(5).dump()) == 200);
  fleet.WaitUntilServing();
  // Kill all control hosts and delete the data of one. The acknowledged plan
  // must survive.
  for (int i = 0; i < PlatformFleet::kControlHosts; ++i)
    fleet.control_host(i).Kill();
  std::filesystem::remove_all(fleet.DataFolder(0));
  for (int i = 0; i < PlatformFleet::kControlHosts; ++i) {
    fleet.RemoveControlHost(i);
    fleet.StartControlHost(i, false);
  }
  std::string stored_plan;
  CHECK(fleet.CallRpc("config.get", "", &stored_plan) == 200);
  CHECK(json::parse(stored_plan) == fleet.MakePlan(5));
  CHECK(fleet.CallRpc("config.put", fleet.MakePlan(6).dump()) == 200);
  fleet.WaitUntilServing();

  // On SIGTERM an entry host reports that it is not ready and is no longer
  // resolved, but answers requests during its grace period.
  fleet.entry_host(0).SendSignal(SIGTERM);
  WaitUntil("the terminated entry host is not ready",
            [&] { return !fleet.IsReady(0); });
  const auto answer_after_signal = fleet.SendRequest(0, "GET", "/lookup/1");
  REQUIRE(answer_after_signal);
  CHECK(answer_after_signal->status == 200);
  WaitUntil("the terminated entry host is no longer resolved",
            [&] { return fleet.ResolveAddresses(1).size() == 1; });
  CHECK(fleet.entry_host(0).Wait() == 0);
}

// Guards against a withdrawn key, and a server that left, in use at a host that
// was suspended while the change was acknowledged.
TEST_CASE(
    "a change is acknowledged once a suspended host cannot act without it",
    "[platform]") {
  // The limit of the settings, and an operator's time for a call.
  constexpr auto kLimit = std::chrono::seconds(2);
  constexpr auto kCallTime = std::chrono::seconds(1);
  // A host without its hub holds a change back for a tenth of the limit of
  // acknowledgements after its last report, 0.4 s, less what passes until the
  // change is sent.
  constexpr auto kLeastWait = std::chrono::milliseconds(300);
  PlatformFleet fleet;
  REQUIRE(fleet.CallRpc("config.put", fleet.MakePlan(5).dump()) == 200);
  fleet.WaitUntilServing();
  using Clock = std::chrono::steady_clock;
  const auto refuses_old_key = [&](int entry_host) {
    const auto answer = fleet.SendRequest(entry_host, "GET", "/lookup/1");
    return answer && (answer->status == 401 || answer->status == 503);
  };
  // The host reports failed requests to its hub at once.
  const auto suspend_after_report = [&](const std::string& key) {
    for (int i = 0; i < 2; ++i) fleet.server(i).set_failing(true);
    fleet.SendRequest(0, "GET", "/lookup/1", key);
    for (int i = 0; i < 2; ++i) fleet.server(i).set_failing(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    fleet.entry_host(0).SendSignal(SIGSTOP);
  };
  // In a sound fleet no lease is waited for.
  auto asked_at = Clock::now();
  REQUIRE(fleet.CallRpc("config.put", fleet.MakePlan(6).dump()) == 200);
  CHECK(Clock::now() - asked_at < kCallTime);
  fleet.WaitUntilServing();

  suspend_after_report("key-1");
  asked_at = Clock::now();
  REQUIRE(fleet.CallRpc("config.put", fleet.MakePlan(7, "key-2").dump()) ==
          200);
  const auto acknowledged_at = Clock::now();
  CHECK(acknowledged_at - asked_at >= kLeastWait);
  CHECK(acknowledged_at - asked_at < kCallTime);
  std::this_thread::sleep_until(acknowledged_at + kLimit);
  CHECK(refuses_old_key(1));
  fleet.entry_host(0).SendSignal(SIGCONT);
  CHECK(refuses_old_key(0));

  // The same for a server that leaves.
  WaitUntil("the host serves by the new plan", [&] {
    const auto answer = fleet.SendRequest(0, "GET", "/lookup/1", "key-2");
    return answer && answer->status == 200;
  });
  suspend_after_report("key-2");
  asked_at = Clock::now();
  fleet.server(0).Leave();
  WaitUntil("a control host acknowledges the draining state",
            [&] { return fleet.server(0).leave_acknowledged(); });
  CHECK(Clock::now() - asked_at >= kLeastWait);
  fleet.entry_host(0).SendSignal(SIGCONT);
}

// Sends `count` requests to the service "bulk" through the first entry host and
// leaves their answers unread until it is destroyed.
class BulkCallers {
 public:
  explicit BulkCallers(int count) {
    const std::string request =
        "GET /bulk/1 HTTP/1.1\r\nHost: desk.example\r\n"
        "Authorization: Token key-1\r\nSapphirebank-Deadline-Ms: 8000\r\n"
        "Sapphirebank-Request-Id: bulk-";
    for (int i = 0; i < count; ++i) {
      auto& socket = sockets_.emplace_back(loop_);
      socket.connect(
          {boost::asio::ip::make_address(PlatformFleet::EntryHostIp(0)),
           kCallerPort});
      boost::asio::write(
          socket, boost::asio::buffer(fmt::format("{}{}\r\n\r\n", request, i)));
    }
  }

 private:
  boost::asio::io_context loop_;
  std::list<boost::asio::ip::tcp::socket> sockets_;
};

// Guards against servers that answer without end and take the memory of an
// entry host, whose other callers lose their requests when it ends.
TEST_CASE("answers without end leave memory for other callers",
          "[platform][memory]") {
  constexpr int kRequests = 300;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string piece(4096, 'x');
  struct Row {
    const char* name;
    std::string start;
    std::string repeated;
    std::size_t length;
  };
  const Row row = GENERATE_COPY(values<Row>({
      {"a chunked body that stops before it is passed on",
       ok + "Transfer-Encoding: chunked\r\n", "1000\r\n" + piece + "\r\n",
       std::size_t{1} << 20U},
      {"a body until the connection ends", ok, piece, SIZE_MAX},
      {"a head", ok + "A: ", piece, SIZE_MAX},
  }));
  CAPTURE(row.name);
  PlatformFleet fleet;
  const EndlessServer endless(PlatformFleet::LoopbackIp(41),
                              PlatformFleet::ControlHostIp(0), row.start,
                              row.repeated, row.length);
  json plan = fleet.MakePlan(5);
  plan["routes"]["bulk"] = plan["routes"]["lookup"];
  plan["routes"]["bulk"]["pathPrefix"] = "/bulk/";
  plan["routes"]["bulk"]["service"] = "bulk";
  plan["routes"]["bulk"]["timeout"] = "8s";
  plan["routes"]["bulk"]["targetLatency"] = "8s";
  plan["routes"]["bulk"]["maxAttempts"] = 1;
  plan["services"]["bulk"] = plan["services"]["desk"];
  REQUIRE(fleet.CallRpc("config.put", plan.dump()) == 200);
  fleet.WaitUntilServing();
  WaitUntil("the service has a server", [&] {
    const BulkCallers one(1);
    return endless.request_count() > 0;
  });

  const BulkCallers bulk(kRequests);
  int served = 0;
  constexpr int kOtherRequests = 40;
  for (int i = 0; i < kOtherRequests; ++i) {
    const auto answer = fleet.SendRequest(0, "GET", "/lookup/1");
    if (answer && answer->status == 200) ++served;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK(served == kOtherRequests);
  CHECK(endless.request_count() > kRequests / 4);
  CHECK(fleet.entry_host(0).PeakMemory() < PlatformFleet::kEntryMemoryMb
                                               << 20U);
}

}  // namespace
}  // namespace sapphirebank::system_tests
