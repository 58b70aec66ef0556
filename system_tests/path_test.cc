#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "system_tests/fleet.h"

namespace sapphirebank::system_tests {
namespace {

using nlohmann::json;

std::string ErrorKindOf(const httplib::Result& answer) {
  if (!answer) return "no answer";
  return json::parse(answer->body).value("kind", std::string());
}

TEST_CASE(
    "entry hosts forward requests without the caller's key and reject unknown "
    "keys",
    "[system]") {
  Fleet fleet({.entry_hosts = 2, .zones = 2});
  fleet.WaitUntilServing();
  for (int entry_host = 0; entry_host < 2; ++entry_host) {
    const auto answer = fleet.SendRequest(
        entry_host, "GET",
        std::string("/permits/7?a=1&token=") + Fleet::kCallerKey,
        CallerHeaders({{"x-echo", Fleet::kCallerKey}, {"x-other", "kept"}}));
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body.find(Fleet::kCallerKey) == std::string::npos);
    const json echo = json::parse(answer->body);
    CHECK(echo.at("target") == "/permits/7?a=1");
    CHECK(echo.at("headers").at("x-other") == "kept");
    CHECK(echo.at("headers").at("x-sapphirebank-workspace") == "kochi");
  }
  const auto unknown =
      fleet.SendRequest(0, "GET", "/permits/7", {{"x-api-key", "nobody"}});
  REQUIRE(unknown);
  CHECK(unknown->status == 401);
  CHECK(ErrorKindOf(unknown) == "key_unknown");
  const auto lookup =
      fleet.SendRequest(0, "GET", "/.sapphirebank/lookup/permits", {});
  REQUIRE(lookup);
  CHECK(json::parse(lookup->body).at("addresses").size() == 2);
}

TEST_CASE(
    "a resent request gets the first answer, also from another host after "
    "hosts were killed",
    "[system]") {
  Fleet fleet({.control_hosts = 3, .entry_hosts = 3, .zones = 1});
  fleet.WaitUntilServing();
  const auto headers =
      CallerHeaders({{"Idempotency-Key", "fee-1"}, {"x-effect", "fee-1"}});
  const auto first =
      fleet.SendRequest(0, "POST", "/permits/fee", headers, "12");
  REQUIRE(first);
  REQUIRE(first->status == 200);
  const auto second =
      fleet.SendRequest(1, "POST", "/permits/fee", headers, "12");
  REQUIRE(second);
  CHECK(second->body == first->body);
  const auto other =
      fleet.SendRequest(1, "POST", "/permits/fee", headers, "13");
  CHECK(ErrorKindOf(other) == "idempotency_key_reused");
  fleet.entry_host(0).Kill();
  fleet.control_host(0).Kill();
  WaitUntil("a resend gets the first answer after a control host was killed",
            [&] {
              const auto third =
                  fleet.SendRequest(1, "POST", "/permits/fee", headers, "12");
              return third && third->body == first->body;
            });
  CHECK(fleet.EffectCount("fee-1") == 1);
}

TEST_CASE("a resend gets the answer of the request that still runs",
          "[system]") {
  Fleet fleet({.control_hosts = 3, .entry_hosts = 2, .zones = 1});
  fleet.WaitUntilServing();
  fleet.SetServerBehavior(0, 0, {{"work_ms", 200}});
  const auto headers =
      CallerHeaders({{"Idempotency-Key", "fee-9"}, {"x-effect", "fee-9"}});
  std::string first;
  std::thread caller([&] {
    const auto answer =
        fleet.SendRequest(0, "POST", "/permits/fee", headers, "12");
    if (answer) first = answer->body;
  });
  WaitUntil("the request is executed",
            [&] { return fleet.EffectCount("fee-9") == 1; });
  const auto second =
      fleet.SendRequest(1, "POST", "/permits/fee", headers, "12");
  caller.join();
  REQUIRE(second);
  CHECK(second->status == 200);
  CHECK(second->body == first);
  CHECK(fleet.EffectCount("fee-9") == 1);
}

TEST_CASE("a request whose entry host crashed is not executed again",
          "[system]") {
  Fleet fleet({.control_hosts = 1, .entry_hosts = 2, .zones = 1});
  fleet.WaitUntilServing();
  fleet.SetServerBehavior(0, 0, {{"work_ms", 2000}});
  const auto headers =
      CallerHeaders({{"Idempotency-Key", "fee-2"}, {"x-effect", "fee-2"}});
  std::thread caller(
      [&] { fleet.SendRequest(0, "POST", "/permits/fee", headers); });
  WaitUntil("the request is executed",
            [&] { return fleet.EffectCount("fee-2") == 1; });
  fleet.entry_host(0).Kill();
  caller.join();
  const auto running = fleet.SendRequest(1, "POST", "/permits/fee", headers);
  CHECK(ErrorKindOf(running) == "idempotency_running");
  fleet.StartEntryHost(0);
  // The new incarnation of the host tells the control hosts that no process
  // waits for the outcome of the request any more.
  WaitUntil("the outcome of the request is recorded as unknown", [&] {
    fleet.SendRequest(0, "POST", "/permits/fee",
                      CallerHeaders({{"Idempotency-Key", "fee-3"}}));
    return ErrorKindOf(fleet.SendRequest(1, "POST", "/permits/fee", headers)) ==
           "idempotency_unknown";
  });
  CHECK(fleet.EffectCount("fee-2") == 1);
}

TEST_CASE("entry hosts serve and restart while all control hosts are down",
          "[system]") {
  Fleet fleet({.control_hosts = 1, .entry_hosts = 3, .zones = 1});
  fleet.WaitUntilServing();
  fleet.control_host(0).Kill();
  fleet.entry_host(2).Kill();
  fleet.StartEntryHost(2);
  WaitUntil(
      "the restarted host serves requests with keys without control hosts",
      [&] {
        const auto answer =
            fleet.SendRequest(2, "GET", "/permits/1", CallerHeaders());
        return answer && answer->status == 200;
      });
  const auto answer =
      fleet.SendRequest(0, "GET", "/permits/1", CallerHeaders());
  REQUIRE(answer);
  CHECK(answer->status == 200);
  const auto unavailable = fleet.SendRequest(
      0, "POST", "/permits/fee",
      CallerHeaders({{"Idempotency-Key", "fee-4"}, {"x-effect", "fee-4"}}));
  CHECK(ErrorKindOf(unavailable) == "idempotency_unavailable");
  CHECK(fleet.EffectCount("fee-4") == 0);
}

TEST_CASE("a withdrawn key is rejected on an open connection", "[system]") {
  Fleet fleet({.control_hosts = 1, .entry_hosts = 2, .zones = 1});
  fleet.WaitUntilServing();
  httplib::Client client("127.0.0.1", fleet.caller_port(1));
  client.set_keep_alive(true);
  REQUIRE(client.Get("/permits/1", CallerHeaders())->status == 200);
  fleet.ApplyChange([](json& document) { document["keys"] = json::object(); });
  WaitUntil("the withdrawn key is rejected", [&] {
    const auto answer = client.Get("/permits/1", CallerHeaders());
    return answer && answer->status == 401;
  });
}

TEST_CASE(
    "an owner that resumes after SIGSTOP does not exceed the slots of servers",
    "[system]") {
  Fleet fleet({.control_hosts = 1,
               .entry_hosts = 3,
               .zones = 1,
               .servers_per_zone = 2,
               .slots = 2});
  fleet.WaitUntilServing();
  for (int i = 0; i < 2; ++i) fleet.SetServerBehavior(0, i, {{"work_ms", 30}});
  std::atomic<bool> stop = false;
  constexpr int kCallers = 12;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      while (!stop)
        fleet.SendRequest(i % 3, "GET", "/permits/1", CallerHeaders());
    });
  }
  for (int entry_host = 0; entry_host < 3; ++entry_host) {
    fleet.entry_host(entry_host).SendSignal(SIGSTOP);
    const int other = (entry_host + 1) % 3;
    WaitUntil("another host serves while one is stopped", [&] {
      const auto answer =
          fleet.SendRequest(other, "GET", "/permits/1", CallerHeaders());
      return answer && answer->status == 200;
    });
    fleet.entry_host(entry_host).SendSignal(SIGCONT);
    WaitUntil("the resumed host serves again", [&] {
      const auto answer =
          fleet.SendRequest(entry_host, "GET", "/permits/1", CallerHeaders());
      return answer && answer->status == 200;
    });
  }
  stop = true;
  for (std::thread& caller : callers) caller.join();
  for (int i = 0; i < 2; ++i) {
    CHECK(fleet.ServerStats(0, i).at("most_in_work") <= 2);
  }
}

TEST_CASE("a graceful shutdown leaves no request unanswered", "[system]") {
  Fleet fleet({.control_hosts = 1, .entry_hosts = 2, .zones = 1, .slots = 8});
  fleet.WaitUntilServing();
  fleet.SetServerBehavior(0, 0, {{"work_ms", 300}});
  std::atomic<int> completed = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> without_answer = 0;
  constexpr int kCallers = 4;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      const auto answer = fleet.SendRequest(
          0, "GET", "/permits/1", CallerHeaders({{"x-effect", "drain"}}));
      ++(!answer                 ? without_answer
         : answer->status == 200 ? completed
                                 : refused);
    });
  }
  WaitUntil("a request is executed",
            [&] { return fleet.EffectCount("drain") >= 1; });
  fleet.entry_host(0).SendSignal(SIGTERM);
  CHECK(fleet.entry_host(0).Wait() == 0);
  for (std::thread& caller : callers) caller.join();
  CHECK(without_answer == 0);
  CHECK(completed + refused == kCallers);
  CHECK(completed >= 1);
  WaitUntil("lookups no longer return the host", [&] {
    const auto lookup =
        fleet.SendRequest(1, "GET", "/.sapphirebank/lookup/permits", {});
    return lookup && json::parse(lookup->body).at("addresses").size() == 1;
  });
}

TEST_CASE("a zone out of service gets no requests until it is back in service",
          "[system]") {
  Fleet fleet({.control_hosts = 1, .entry_hosts = 2, .zones = 2, .slots = 4});
  fleet.WaitUntilServing();
  const auto set_zone = [&](bool in_service) {
    fleet.ApplyChange([&](json& document) {
      document["zones"]["zone-0"]["in_service"] = in_service;
    });
  };
  const auto requests_served_by = [&](int zone) {
    const int before = fleet.ServerStats(zone, 0).at("requests");
    for (int i = 0; i < 20; ++i) {
      const auto answer =
          fleet.SendRequest(i % 2, "GET", "/permits/1", CallerHeaders());
      if (!answer || answer->status != 200) return -1;
    }
    return fleet.ServerStats(zone, 0).at("requests").get<int>() - before;
  };
  set_zone(false);
  WaitUntil("the zone gets no requests and every request is served",
            [&] { return requests_served_by(0) == 0; });
  set_zone(true);
  WaitUntil("the zone gets requests again",
            [&] { return requests_served_by(0) > 0; });
}

}  // namespace
}  // namespace sapphirebank::system_tests
