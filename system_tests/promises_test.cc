#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "system_tests/fleet.h"

namespace sapphirebank::system_tests {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

// Callers that ask all entry hosts in turn until they are stopped.
class Load {
 public:
  Load(Fleet& fleet, int callers) {
    for (int i = 0; i < callers; ++i) {
      threads_.emplace_back([this, &fleet, i] {
        for (int n = i; !stop_; ++n) {
          const auto answer = fleet.Send(n % fleet.shape().entry_hosts, "GET",
                                         "/permits/1", WithKey());
          ++(answer && answer->status == 200 ? served_ : failed_);
        }
      });
    }
  }
  ~Load() { Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }

  int served() const { return served_; }
  int failed() const { return failed_; }

 private:
  std::atomic<bool> stop_ = false;
  std::atomic<int> served_ = 0;
  std::atomic<int> failed_ = 0;
  std::vector<std::thread> threads_;
};

int Requests(const Fleet& fleet, int server) {
  const json stats = fleet.Stats(0, server);
  return stats.is_object() ? stats.at("requests").get<int>() : -1;
}

TEST_CASE("all entry hosts together stay within rate and burst", "[system]") {
  constexpr double kRate = 10;
  constexpr double kBurst = 5;
  Fleet fleet({.entry_hosts = 3, .zones = 1, .slots = 8});
  fleet.AwaitService();
  fleet.Change([](json& document) {
    document["workspaces"]["kochi"] = {{"rate", "10/s"}, {"burst", 5}};
  });
  // The larger limit must be forgotten everywhere first.
  Await("the new limit shows", [&] {
    int refused = 0;
    for (int i = 0; i < 60; ++i) {
      const auto answer = fleet.Send(i % 3, "GET", "/permits/1", WithKey());
      if (answer && answer->status == 429) ++refused;
    }
    return refused > 0;
  });
  const auto begun = Clock::now();
  Load load(fleet, 9);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  fleet.entry(1).Kill();
  std::this_thread::sleep_for(std::chrono::seconds(4));
  load.Stop();
  const std::chrono::duration<double> time = Clock::now() - begun;
  CHECK(load.served() <= kRate * time.count() + kBurst);
  CHECK(load.served() > 0);
}

TEST_CASE("a server that only fails gets no more work", "[system]") {
  Fleet fleet({.entry_hosts = 2, .zones = 1, .servers_in_zone = 4});
  fleet.AwaitService();
  fleet.Behave(0, 0, {{"error_percent", 100}});
  Load load(fleet, 4);
  Await("the server gets no more work", [&] {
    const int before = Requests(fleet, 0);
    const int served = load.served();
    while (load.served() < served + 200) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    // A probe may come in between.
    return Requests(fleet, 0) <= before + 1;
  });
}

TEST_CASE("a server that leaves gets no new work and cuts no request",
          "[system]") {
  Fleet fleet({.entry_hosts = 2, .zones = 1, .servers_in_zone = 3});
  fleet.AwaitService();
  Load load(fleet, 3);
  const auto serve_some = [&] {
    const int served = load.served();
    Await("requests are served", [&] { return load.served() > served + 50; });
  };
  serve_some();
  fleet.server(0, 1).Signal(SIGTERM);
  CHECK(fleet.server(0, 1).Wait() == 0);
  serve_some();
  load.Stop();
  CHECK(load.failed() == 0);
}

TEST_CASE("of two operators with equal revisions one wins and one is told",
          "[system]") {
  Fleet fleet({.control_hosts = 3});
  fleet.AwaitService();
  const json state = fleet.ReadDeclarations();
  const auto change = [&](const char* id, const char* rate) {
    return json{{"base_revision", state.at("revision")},
                {"change_id", id},
                {"patch",
                 {{{"op", "replace"},
                   {"path", "/workspaces/kochi/rate"},
                   {"value", rate}}}}};
  };
  const auto first = fleet.PostChange(change("of-a", "10/s"));
  const auto second = fleet.PostChange(change("of-b", "20/s"));
  const auto resent = fleet.PostChange(change("of-a", "10/s"));
  CHECK(first.at("revision") == state.at("revision").get<std::uint64_t>() + 1);
  CHECK(second.at("kind") == "revision_conflict");
  CHECK(resent == first);
  for (int i = 0; i < 3; ++i) fleet.control(i).Kill();
  for (int i = 0; i < 3; ++i) fleet.StartControl(i);
  CHECK(fleet.PostChange(change("of-a", "10/s")) == first);
  CHECK(fleet.ReadDeclarations().at("revision") == first.at("revision"));
}

TEST_CASE("a control host that knows no declarations yet names no operator",
          "[system]") {
  Fleet fleet({.control_hosts = 3});
  fleet.AwaitService();
  for (int i = 0; i < 3; ++i) fleet.control(i).Kill();
  // Without a majority it cannot tell what was accepted, so that neither a
  // declared operator nor the first one of its settings may speak there.
  fleet.StartControl(0);
  CHECK(fleet.OperatorStatusOf(0) == 503);
  for (int i = 1; i < 3; ++i) fleet.StartControl(i);
  Await("the operator is known",
        [&] { return fleet.OperatorStatusOf(0) == 200; });
}

TEST_CASE("a control leader that was frozen never answers with old state",
          "[system]") {
  Fleet fleet({.control_hosts = 3});
  fleet.AwaitService();
  const auto leader = fleet.Leader();
  fleet.control(leader).Signal(SIGSTOP);
  fleet.Change(
      [](json& document) { document["workspaces"]["kochi"]["rate"] = "77/s"; });
  fleet.control(leader).Signal(SIGCONT);
  for (int i = 0; i < 20; ++i) {
    const json state = fleet.ReadDeclarationsFrom(leader);
    if (state.is_null()) continue;
    CHECK(state.at("document").at("workspaces").at("kochi").at("rate") ==
          "77/s");
  }
}

}  // namespace
}  // namespace sapphirebank::system_tests
