#include <fmt/format.h>
#include <httplib.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include "system_tests/fleet.h"

// The whole path of a fleet that learns everything from its control hosts, as
// real processes on addresses of loopback, against a stand-in of the platform:
// its settings, operator, backend servers with heartbeats, and callers that ask
// for addresses and connect themselves.
namespace sapphirebank::system_tests {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kCallerPort = 18405;
constexpr int kReadinessPort = 18406;
constexpr int kControlPort = 18407;
constexpr int kDirectoryPort = 18404;
constexpr int kFleetPort = 17660;
constexpr int kServerPort = 18080;

// A backend server with the platform's wire that announces itself.
class StandInServer {
 public:
  StandInServer(std::string id, std::string ip,
                std::vector<std::string> control)
      : id_(std::move(id)), ip_(std::move(ip)), control_(std::move(control)) {
    const auto answer = [this](const httplib::Request& request,
                               httplib::Response& response) {
      Answer(request, response);
    };
    http_.Get(".*", answer);
    http_.Post(".*", answer);
    listener_ = std::thread([this] { http_.listen(ip_.c_str(), kServerPort); });
    announcer_ = std::thread([this] { Announce(); });
  }
  ~StandInServer() {
    stopping_ = true;
    http_.stop();
    listener_.join();
    announcer_.join();
  }

  // Reports that it leaves, until that is acknowledged.
  void Leave() { leaving_ = true; }
  bool left() const { return left_; }
  int runs() const { return runs_; }
  void set_failing(bool failing) { failing_ = failing; }

  std::vector<httplib::Headers> seen() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return seen_;
  }

 private:
  void Answer(const httplib::Request& request, httplib::Response& response) {
    const std::string id = request.get_header_value("Sapphirebank-Request-Id");
    response.set_header("Sapphirebank-Request-Id", id);
    if (request.get_header_value("Sapphirebank-Expect-Instance") != id_) {
      response.status = 421;
      return;
    }
    ++runs_;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      seen_.push_back(request.headers);
    }
    response.status = failing_ ? 500 : 200;
    response.set_header("Sapphirebank-Server-Stamp", "stamp-" + id);
    response.set_content(
        id_ + " " + request.method + " " + request.target + " " + request.body,
        "text/plain");
  }

  void Announce() {
    for (int sequence = 1; !stopping_; ++sequence) {
      const json beat = {{"service", "desk"},
                         {"address", fmt::format("{}:{}", ip_, kServerPort)},
                         {"zone", "kochi"},
                         {"version", "v1"},
                         {"slots", 4},
                         {"state", leaving_ ? "draining" : "ready"},
                         {"warmupLeft", "0ms"},
                         {"born", 1},
                         {"seq", sequence}};
      const std::string& ip =
          control_[static_cast<std::size_t>(sequence) % control_.size()];
      httplib::Client client(ip, kControlPort);
      client.set_connection_timeout(1);
      const auto answer =
          client.Post("/api/rpc?call=instances.heartbeat&of=" + id_,
                      beat.dump(), "application/json");
      if (leaving_ && answer && answer->status == 200) left_ = true;
      std::this_thread::sleep_for(milliseconds(200));
    }
  }

  std::string id_;
  std::string ip_;
  std::vector<std::string> control_;
  httplib::Server http_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> left_{false};
  std::atomic<bool> failing_{false};
  std::atomic<int> runs_{0};
  std::mutex mutex_;
  std::vector<httplib::Headers> seen_;
  std::thread listener_;
  std::thread announcer_;
};

// Three control hosts, two entry hosts and two backend servers.
class PlatformFleet {
 public:
  PlatformFleet() {
    folder_ = std::filesystem::temp_directory_path() /
              fmt::format("sapphirebank-platform-{}", ::getpid());
    std::filesystem::create_directories(folder_);
    for (int i = 0; i < kControls; ++i) StartControl(i, true);
    for (int i = 0; i < kEntries; ++i) StartEntry(i);
    for (int i = 0; i < 2; ++i) {
      servers_.push_back(std::make_unique<StandInServer>(
          fmt::format("i-{}", i), fmt::format("127.0.9.{}", 31 + i),
          ControlIps()));
    }
  }
  ~PlatformFleet() {
    servers_.clear();
    entries_.clear();
    controls_.clear();
    std::filesystem::remove_all(folder_);
  }

  static constexpr int kControls = 3;
  static constexpr int kEntries = 2;

  static std::string ControlIp(int i) {
    return fmt::format("127.0.9.{}", 11 + i);
  }
  static std::string EntryIp(int i) {
    return fmt::format("127.0.9.{}", 21 + i);
  }
  static std::vector<std::string> ControlIps() {
    std::vector<std::string> ips;
    ips.reserve(kControls);
    for (int i = 0; i < kControls; ++i) ips.push_back(ControlIp(i));
    return ips;
  }

  void StartControl(int i, bool is_first) {
    json settings =
        Settings("control", fmt::format("core-{}", i), ControlIp(i));
    settings["listeners"]["control"] =
        fmt::format("{}:{}", ControlIp(i), kControlPort);
    settings["listeners"]["directory"] =
        fmt::format("{}:{}", ControlIp(i), kDirectoryPort);
    settings["found_group"] = is_first;
    settings["data_folder"] = DataFolder(i);
    controls_[i] = Start(fmt::format("core-{}", i), settings);
  }
  void StartEntry(int i) {
    json settings = Settings("entry", fmt::format("front-{}", i), EntryIp(i));
    settings["listeners"]["callers"] =
        fmt::format("{}:{}", EntryIp(i), kCallerPort);
    settings["listeners"]["readiness"] =
        fmt::format("{}:{}", EntryIp(i), kReadinessPort);
    entries_[i] = Start(fmt::format("front-{}", i), settings);
  }

  std::string DataFolder(int i) const {
    return (folder_ / fmt::format("data-{}", i)).string();
  }

  // Calls control hosts in turn until one gives a clear answer.
  int Call(const std::string& call, const std::string& body = "",
           std::string* answer_body = nullptr) {
    int status = 0;
    Await(call, [&] {
      const int host = next_host_++ % kControls;
      httplib::Client client(ControlIp(host), kControlPort);
      client.set_connection_timeout(1);
      client.set_read_timeout(2);
      const auto answer =
          client.Post("/api/rpc?call=" + call, body, "application/json");
      if (!answer || answer->status >= 500) return false;
      status = answer->status;
      if (answer_body != nullptr) *answer_body = answer->body;
      return true;
    });
    return status;
  }

  json Plan(int version, const std::string& key = "key-1") const {
    return {
        {"version", fmt::format("r{}", version)},
        {"routes",
         {{"lookup",
           {{"host", "desk.example"},
            {"pathPrefix", "/lookup/"},
            {"kind", "safe"},
            {"timeout", "2s"},
            {"targetLatency", "1s"},
            {"service", "desk"},
            {"maxAttempts", 3}}},
          {"order",
           {{"host", "desk.example"},
            {"pathPrefix", "/order/"},
            {"kind", "unsafe"},
            {"timeout", "2s"},
            {"service", "desk"},
            {"maxAttempts", 3}}}}},
        {"services", {{"desk", {{"warmup", "1s"}, {"warmupPerS", 5}}}}},
        {"limits", {{"idleTimeout", "15s"}}},
        {"tenants",
         {{"north", {{"apiKeys", {key}}, {"ratePerS", 500}, {"burst", 500}}}}}};
  }

  // Sends a caller's request to an entry host.
  httplib::Result Send(int entry, const std::string& method,
                       const std::string& path,
                       const std::string& key = "key-1") {
    httplib::Client client(EntryIp(entry), kCallerPort);
    client.set_connection_timeout(2);
    client.set_read_timeout(5);
    const httplib::Headers headers = {
        {"Host", "desk.example"},
        {"Authorization", "Token " + key},
        {"Sapphirebank-Request-Id", fmt::format("q{}", next_request_++)},
        {"Sapphirebank-Deadline-Ms", "3000"}};
    if (method == "GET") return client.Get(path, headers);
    return client.Post(path, headers, "body", "text/plain");
  }

  void AwaitService() {
    for (int i = 0; i < kEntries; ++i) {
      Await("service", [&] {
        const auto answer = Send(i, "GET", "/lookup/1");
        return answer && answer->status == 200;
      });
    }
  }

  bool IsReady(int entry) const {
    httplib::Client client(EntryIp(entry), kReadinessPort);
    const auto answer = client.Get("/api/ready");
    return answer && answer->status == 200;
  }

  std::vector<std::string> Resolve(int control) const {
    httplib::Client client(ControlIp(control), kDirectoryPort);
    const auto answer =
        client.Get("/api/resolve?name=desk.example&region=kerala&zone=kochi");
    if (!answer || answer->status != 200) return {};
    return json::parse(answer->body).at("addresses");
  }

  Process& control(int i) { return *controls_.at(i); }
  Process& entry(int i) { return *entries_.at(i); }
  StandInServer& server(int i) { return *servers_.at(i); }
  void EndControl(int i) { controls_.erase(i); }

 private:
  json Settings(const std::string& role, const std::string& host,
                const std::string& ip) const {
    json seeds = json::array();
    for (int i = 0; i < kControls; ++i) {
      seeds.push_back(fmt::format("{}:{}", ControlIp(i), kControlPort));
    }
    return {{"role", role},
            {"host", host},
            {"ip", ip},
            {"zone", "kochi"},
            {"listeners", {{"fleet_port", kFleetPort}}},
            {"seeds", std::move(seeds)},
            {"key_withdrawal", "5s"},
            {"grace", "3s"}};
  }

  std::unique_ptr<Process> Start(const std::string& name,
                                 const json& settings) const {
    const std::string path = (folder_ / (name + ".json")).string();
    std::ofstream(path) << settings.dump();
    ::setenv("SAPPHIREBANK_BOOT", path.c_str(), 1);
    return std::make_unique<Process>("sapphirebank_platform",
                                     std::vector<std::string>{},
                                     (folder_ / (name + ".log")).string());
  }

  std::filesystem::path folder_;
  std::map<int, std::unique_ptr<Process>> controls_;
  std::map<int, std::unique_ptr<Process>> entries_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
  int next_host_ = 0;
  int next_request_ = 1;
};

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
  // A lookup that fails at one server succeeds at the other.
  fleet.server(0).set_failing(true);
  int failed = 0;
  for (int i = 0; i < 20; ++i) {
    if (fleet.Send(0, "GET", "/lookup/1")->status != 200) ++failed;
  }
  CHECK(failed <= 2);
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
