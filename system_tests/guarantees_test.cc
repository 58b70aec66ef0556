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

// Callers in threads of their own that send requests to all entry hosts in turn
// until Stop().
class BackgroundLoad {
 public:
  BackgroundLoad(Fleet& fleet, int callers) {
    for (int i = 0; i < callers; ++i) {
      threads_.emplace_back([this, &fleet, i] {
        for (int request_number = i; !stop_; ++request_number) {
          const auto answer =
              fleet.SendRequest(request_number % fleet.options().entry_hosts,
                                "GET", "/permits/1", CallerHeaders());
          ++(answer && answer->status == 200 ? served_ : failed_);
        }
      });
    }
  }
  ~BackgroundLoad() { Stop(); }
  BackgroundLoad(const BackgroundLoad&) = delete;
  BackgroundLoad& operator=(const BackgroundLoad&) = delete;

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

int RequestCount(const Fleet& fleet, int server) {
  const json stats = fleet.ServerStats(0, server);
  return stats.is_object() ? stats.at("requests").get<int>() : -1;
}

TEST_CASE("all entry hosts together admit no more than rate and burst",
          "[system]") {
  constexpr double kRate = 10;
  constexpr double kBurst = 5;
  Fleet fleet({.entry_hosts = 3, .zones = 1, .slots = 8});
  fleet.WaitUntilServing();
  fleet.ApplyChange([](json& document) {
    document["workspaces"]["kochi"] = {{"rate", "10/s"}, {"burst", 5}};
  });
  // Entry hosts may still hold tokens granted under the larger limit. Count
  // only once they have been used up.
  WaitUntil("the new limit is enforced", [&] {
    int refused = 0;
    for (int i = 0; i < 60; ++i) {
      const auto answer =
          fleet.SendRequest(i % 3, "GET", "/permits/1", CallerHeaders());
      if (answer && answer->status == 429) ++refused;
    }
    return refused > 0;
  });
  const auto started_at = Clock::now();
  BackgroundLoad load(fleet, 9);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  fleet.entry_host(1).Kill();
  std::this_thread::sleep_for(std::chrono::seconds(4));
  load.Stop();
  const std::chrono::duration<double> elapsed = Clock::now() - started_at;
  CHECK(load.served() <= kRate * elapsed.count() + kBurst);
  CHECK(load.served() > 0);
}

TEST_CASE("a backend server that fails every request gets no more requests",
          "[system]") {
  Fleet fleet({.entry_hosts = 2, .zones = 1, .servers_per_zone = 4});
  fleet.WaitUntilServing();
  fleet.SetServerBehavior(0, 0, {{"error_percent", 100}});
  BackgroundLoad load(fleet, 4);
  WaitUntil("the failing server gets no more requests", [&] {
    const int before = RequestCount(fleet, 0);
    const int served = load.served();
    while (load.served() < served + 200) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    // Allow for one probe of the ejected server.
    return RequestCount(fleet, 0) <= before + 1;
  });
}

TEST_CASE("a backend server that leaves causes no failed request", "[system]") {
  Fleet fleet({.entry_hosts = 2, .zones = 1, .servers_per_zone = 3});
  fleet.WaitUntilServing();
  BackgroundLoad load(fleet, 3);
  const auto wait_for_more_served_requests = [&] {
    const int served = load.served();
    WaitUntil("50 more requests are served",
              [&] { return load.served() > served + 50; });
  };
  wait_for_more_served_requests();
  fleet.server(0, 1).SendSignal(SIGTERM);
  CHECK(fleet.server(0, 1).Wait() == 0);
  wait_for_more_served_requests();
  load.Stop();
  CHECK(load.failed() == 0);
}

TEST_CASE(
    "of two changes with the same base revision one is accepted and the other "
    "gets a conflict",
    "[system]") {
  Fleet fleet({.control_hosts = 3});
  fleet.WaitUntilServing();
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
  for (int i = 0; i < 3; ++i) fleet.control_host(i).Kill();
  for (int i = 0; i < 3; ++i) fleet.StartControlHost(i);
  CHECK(fleet.PostChange(change("of-a", "10/s")) == first);
  CHECK(fleet.ReadDeclarations().at("revision") == first.at("revision"));
}

TEST_CASE(
    "a control host without a quorum after its start authorizes no operator",
    "[system]") {
  Fleet fleet({.control_hosts = 3});
  fleet.WaitUntilServing();
  for (int i = 0; i < 3; ++i) fleet.control_host(i).Kill();
  // Without a majority the host cannot tell which declarations were accepted,
  // so it must authorize neither a declared operator nor the first operator of
  // its settings.
  fleet.StartControlHost(0);
  CHECK(fleet.OperatorApiStatus(0) == 503);
  for (int i = 1; i < 3; ++i) fleet.StartControlHost(i);
  WaitUntil("the operator is authorized",
            [&] { return fleet.OperatorApiStatus(0) == 200; });
}

TEST_CASE(
    "a control leader that resumes after SIGSTOP returns no stale declarations",
    "[system]") {
  Fleet fleet({.control_hosts = 3});
  fleet.WaitUntilServing();
  const auto leader = fleet.LeaderIndex();
  fleet.control_host(leader).SendSignal(SIGSTOP);
  fleet.ApplyChange(
      [](json& document) { document["workspaces"]["kochi"]["rate"] = "77/s"; });
  fleet.control_host(leader).SendSignal(SIGCONT);
  for (int i = 0; i < 20; ++i) {
    const json state = fleet.ReadDeclarationsFrom(leader);
    if (state.is_null()) continue;
    CHECK(state.at("document").at("workspaces").at("kochi").at("rate") ==
          "77/s");
  }
}

}  // namespace
}  // namespace sapphirebank::system_tests
