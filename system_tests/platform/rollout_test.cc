#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "system_tests/platform/platform_fleet.h"

// Rollouts with real processes: the leader is lost in mid-step, and all control
// hosts after the end.
namespace sapphirebank::system_tests {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kNewServers = 3;
constexpr milliseconds kRequestPeriod(25);

// A fleet in which servers of version v2 start beside those of v1, and callers
// who send requests until the end.
class RolloutFleet {
 public:
  RolloutFleet()
      : fleet_({{"rollout_share", 0.1},
                {"rollout_slack", 50},
                {"rollback", "5s"}}) {
    REQUIRE(fleet_.CallRpc("config.put", fleet_.MakePlan(5).dump()) == 200);
    fleet_.WaitUntilServing();
    for (int i = 0; i < kNewServers; ++i) {
      new_servers_.push_back(std::make_unique<StandInServer>(
          "n-" + std::to_string(i), PlatformFleet::LoopbackIp(41 + i),
          PlatformFleet::ControlHostIps(), "v2"));
    }
    for (int i = 0; i < PlatformFleet::kEntryHosts; ++i) {
      callers_.emplace_back([this, i] {
        for (int n = 0; !stopping_; ++n) {
          fleet_.SendRequest(i, n % 2 == 0 ? "GET" : "POST",
                             n % 2 == 0 ? "/lookup/1" : "/order/1");
          std::this_thread::sleep_for(kRequestPeriod);
        }
      });
    }
  }
  ~RolloutFleet() {
    stopping_ = true;
    for (std::thread& caller : callers_) caller.join();
  }

  int Order(const std::string& version, const std::string& duration,
            const std::string& service = "desk") {
    const json order = {{"service", service},
                        {"targetVersion", version},
                        {"duration", duration}};
    return fleet_.CallRpc("rollouts.start", order.dump());
  }

  json Read() {
    std::string body;
    if (fleet_.CallRpc("rollouts.get&of=desk", "", &body) != 200) return {};
    return json::parse(body);
  }

  void Restart(int control_host) {
    fleet_.control_host(control_host).Kill();
    fleet_.RemoveControlHost(control_host);
    fleet_.StartControlHost(control_host, false);
  }

  // Kills each control host in turn, so that the leader is lost.
  void LoseLeader() {
    for (int i = 0; i < PlatformFleet::kControlHosts; ++i) {
      Restart(i);
      std::this_thread::sleep_for(std::chrono::seconds(2));
    }
  }

  void RestartAll() {
    for (int i = 0; i < PlatformFleet::kControlHosts; ++i) {
      fleet_.control_host(i).Kill();
    }
    for (int i = 0; i < PlatformFleet::kControlHosts; ++i) {
      fleet_.RemoveControlHost(i);
      fleet_.StartControlHost(i, false);
    }
  }

  void SetFailing(bool failing) {
    for (const auto& server : new_servers_) server->set_failing(failing);
  }

  int NewServerRequests() const {
    int count = 0;
    for (const auto& server : new_servers_) count += server->request_count();
    return count;
  }

  PlatformFleet& fleet() { return fleet_; }

 private:
  PlatformFleet fleet_;
  std::vector<std::unique_ptr<StandInServer>> new_servers_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> callers_;
};

TEST_CASE(
    "a rollout is completed although its leader is lost, and stays so after a "
    "restart of all control hosts",
    "[platform]") {
  RolloutFleet fleet;
  CHECK(fleet.Order("v2", "24s", "none") == 404);
  CHECK(fleet.Order("", "24s") == 400);
  CHECK(fleet.Order("v2", "soon") == 400);
  CHECK(fleet.Order("v1", "24s") == 422);
  CHECK(fleet.Read().is_null());
  REQUIRE(fleet.Order("v2", "24s") == 200);
  const json running = {{"state", "running"}, {"targetVersion", "v2"}};
  CHECK(fleet.Read() == running);
  CHECK(fleet.Order("v2", "24s") == 200);
  CHECK(fleet.Order("v3", "24s") == 409);
  fleet.LoseLeader();
  CHECK(fleet.Read() == running);
  CHECK(fleet.Order("v2", "24s") == 200);
  const json completed = {{"state", "completed"}, {"targetVersion", "v2"}};
  WaitUntil("the rollout is completed",
            [&] { return fleet.Read() == completed; });
  CHECK(fleet.Order("v2", "24s") == 200);
  fleet.RestartAll();
  CHECK(fleet.Read() == completed);
  const int before = fleet.fleet().server(0).request_count();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK(fleet.fleet().server(0).request_count() == before);
}

TEST_CASE(
    "a bad version is rolled back although its leader is lost, and stays so "
    "after a restart of all control hosts",
    "[platform]") {
  RolloutFleet fleet;
  fleet.SetFailing(true);
  REQUIRE(fleet.Order("v2", "30s") == 200);
  fleet.Restart(0);
  const json rolled_back = {{"state", "rolled_back"}, {"targetVersion", "v2"}};
  WaitUntil("the rollout is rolled back",
            [&] { return fleet.Read() == rolled_back; });
  fleet.RestartAll();
  CHECK(fleet.Read() == rolled_back);
  // Not started again by the repeated order, as its acknowledgement may have
  // been lost.
  CHECK(fleet.Order("v2", "30s") == 200);
  CHECK(fleet.Read() == rolled_back);
  const int before = fleet.NewServerRequests();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  CHECK(fleet.NewServerRequests() == before);
}

}  // namespace
}  // namespace sapphirebank::system_tests
