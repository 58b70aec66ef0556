#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "system_tests/platform/platform_fleet.h"

// The whole path of a fleet that learns everything from its control hosts, as
// real processes on addresses of loopback, against a stand-in of the platform:
// its settings, operator, backend servers with heartbeats, and callers that ask
// for addresses and connect themselves.
namespace sapphirebank::system_tests {
namespace {

using nlohmann::json;

TEST_CASE("a request goes the whole path on the platform", "[platform]") {
  PlatformFleet fleet;
  REQUIRE(fleet.Call("config.put", fleet.Plan(5).dump()) == 200);
  fleet.AwaitService();
  const auto answer = fleet.Send(0, "POST", "/order/7?x=1");
  REQUIRE(answer);
  CHECK(answer->status == 200);
  CHECK(answer->body.find("POST /order/7?x=1 body") != std::string::npos);
  CHECK_FALSE(answer->get_header_value("Sapphirebank-Server-Stamp").empty());
  for (int i = 0; i < 2; ++i) {
    for (const httplib::Headers& headers : fleet.server(i).seen()) {
      CHECK(headers.find("Authorization") == headers.end());
      CHECK(headers.find("Sapphirebank-Tenant")->second == "north");
    }
  }
  for (int i = 0; i < PlatformFleet::kControls; ++i) {
    Await("two addresses", [&] { return fleet.Resolve(i).size() == 2; });
  }
  CHECK(fleet.IsReady(0));
  CHECK(fleet.Send(0, "GET", "/none/1")->status == 404);
  CHECK(fleet.Send(0, "GET", "/lookup/1", "wrong")->status == 401);

  // An older version and other content under the same number change nothing.
  CHECK(fleet.Call("config.put", fleet.Plan(4, "other").dump()) == 200);
  CHECK(fleet.Call("config.put", fleet.Plan(5, "other").dump()) == 200);
  std::string read;
  CHECK(fleet.Call("config.get", "", &read) == 200);
  CHECK(json::parse(read) == fleet.Plan(5));
  CHECK(fleet.Call("config.put", "{\"version\":\"r9\"") == 400);

  // A withdrawn key stops working everywhere.
  REQUIRE(fleet.Call("config.put", fleet.Plan(8, "key-2").dump()) == 200);
  for (int i = 0; i < PlatformFleet::kEntries; ++i) {
    Await("withdrawal",
          [&] { return fleet.Send(i, "GET", "/lookup/1")->status == 401; });
    CHECK(fleet.Send(i, "GET", "/lookup/1", "key-2")->status == 200);
  }
}

TEST_CASE("drain, zone out and a failing server on the platform",
          "[platform]") {
  PlatformFleet fleet;
  REQUIRE(fleet.Call("config.put", fleet.Plan(5).dump()) == 200);
  fleet.AwaitService();
  Await("both servers", [&] {
    fleet.Send(0, "GET", "/lookup/1");
    return fleet.server(0).runs() > 0 && fleet.server(1).runs() > 0;
  });
  // A lookup that fails at one server succeeds at the other, as long as the
  // host has retries saved.
  for (int i = 0; i < 60; ++i) fleet.Send(0, "GET", "/lookup/1");
  fleet.server(0).set_failing(true);
  for (int i = 0; i < 20; ++i) {
    CHECK(fleet.Send(0, "GET", "/lookup/1")->status == 200);
  }
  fleet.server(0).set_failing(false);

  fleet.server(0).Leave();
  Await("the ack of the leave", [&] { return fleet.server(0).left(); });
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const int before = fleet.server(0).runs();
  for (int i = 0; i < 10; ++i) {
    CHECK(fleet.Send(i % 2, "GET", "/lookup/1")->status == 200);
  }
  CHECK(fleet.server(0).runs() == before);

  CHECK(fleet.Call("evacuations.start&of=kochi") == 200);
  Await("the zone to be out",
        [&] { return fleet.Send(0, "GET", "/lookup/1")->status == 503; });
  CHECK(fleet.Call("evacuations.end&of=kochi") == 200);
  Await("the zone to be back",
        [&] { return fleet.Send(0, "GET", "/lookup/1")->status == 200; });
}

TEST_CASE("processes serve metrics", "[platform]") {
  PlatformFleet fleet;
  REQUIRE(fleet.Call("config.put", fleet.Plan(5).dump()) == 200);
  fleet.AwaitService();
  for (int i = 0; i < 5; ++i) fleet.Send(0, "GET", "/lookup/1");
  fleet.Send(0, "GET", "/lookup/1", "wrong");
  const std::string of_entry =
      PlatformFleet::Metrics(PlatformFleet::EntryIp(0));
  CHECK_THAT(of_entry, Catch::Contains("sapphirebank_requests_total"));
  CHECK_THAT(of_entry, Catch::Contains("outcome=\"answered\""));
  CHECK_THAT(of_entry, Catch::Contains("key_unknown"));
  CHECK_THAT(of_entry, Catch::Contains("sapphirebank_added_latency_seconds"));
  CHECK_THAT(of_entry, Catch::Contains("sapphirebank_configuration_revision"));
  // No key is in a label.
  CHECK(of_entry.find("key-1") == std::string::npos);
  Await("backend servers in the metrics of a control host", [] {
    return PlatformFleet::Metrics(PlatformFleet::ControlIp(0))
               .find("sapphirebank_backend_servers{") != std::string::npos;
  });
}

TEST_CASE("an answer that is there is delivered when a retry finds nothing",
          "[platform]") {
  PlatformFleet fleet;
  REQUIRE(fleet.Call("config.put", fleet.Plan(5).dump()) == 200);
  fleet.AwaitService();
  // Saves some retries.
  for (int i = 0; i < 40; ++i) fleet.Send(0, "GET", "/lookup/1");
  fleet.server(0).set_failing(true);
  fleet.server(1).StopListening();
  for (int i = 0; i < 20; ++i) {
    const auto answer = fleet.Send(0, "GET", "/lookup/1");
    REQUIRE(answer);
    // The other server may still serve on a connection that it holds.
    CHECK((answer->status == 500 || answer->status == 200));
    CHECK_FALSE(answer->get_header_value("Sapphirebank-Server-Stamp").empty());
  }
}

TEST_CASE("control hosts are killed and lose a disk; an entry host ends",
          "[platform]") {
  PlatformFleet fleet;
  REQUIRE(fleet.Call("config.put", fleet.Plan(5).dump()) == 200);
  fleet.AwaitService();
  // All control hosts die, one with its disk; what was acknowledged is there.
  for (int i = 0; i < PlatformFleet::kControls; ++i) fleet.control(i).Kill();
  std::filesystem::remove_all(fleet.DataFolder(0));
  for (int i = 0; i < PlatformFleet::kControls; ++i) {
    fleet.EndControl(i);
    fleet.StartControl(i, false);
  }
  std::string read;
  CHECK(fleet.Call("config.get", "", &read) == 200);
  CHECK(json::parse(read) == fleet.Plan(5));
  CHECK(fleet.Call("config.put", fleet.Plan(6).dump()) == 200);
  fleet.AwaitService();

  // An entry host that ends is not ready at once, is no longer named, and goes
  // on answering for a while.
  fleet.entry(0).Signal(SIGTERM);
  Await("not ready", [&] { return !fleet.IsReady(0); });
  const auto late = fleet.Send(0, "GET", "/lookup/1");
  REQUIRE(late);
  CHECK(late->status == 200);
  Await("one address", [&] { return fleet.Resolve(1).size() == 1; });
  CHECK(fleet.entry(0).Wait() == 0);
}

}  // namespace
}  // namespace sapphirebank::system_tests
