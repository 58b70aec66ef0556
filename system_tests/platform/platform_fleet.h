#pragma once

#include <fmt/format.h>
#include <httplib.h>
#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "system_tests/fleet.h"
#include "system_tests/platform/stand_in_server.h"

namespace sapphirebank::system_tests {

// Ports that all hosts of a role listen on, each at its own address.
inline constexpr int kCallerPort = 18405;
inline constexpr int kReadinessPort = 18406;
inline constexpr int kMetricsPort = 18464;
inline constexpr int kDirectoryPort = 18404;
inline constexpr int kFleetPort = 17660;

// A fleet of real processes on loopback addresses: three control hosts, two
// entry hosts and two stand-in backend servers, which run in the test process.
// Settings, data and logs are in a temporary folder that the destructor
// removes unless it is to be kept.
class PlatformFleet {
 public:
  // `settings` are added to those of each host.
  explicit PlatformFleet(nlohmann::json settings = nlohmann::json::object())
      : more_settings_(std::move(settings)) {
    folder_ = std::filesystem::temp_directory_path() /
              fmt::format("sapphirebank-platform-{}", ::getpid());
    std::filesystem::create_directories(folder_);
    for (int i = 0; i < kControlHosts; ++i) StartControlHost(i, true);
    for (int i = 0; i < kEntryHosts; ++i) StartEntryHost(i);
    for (int index = 0; index < 2; ++index) {
      servers_.push_back(std::make_unique<StandInServer>(
          fmt::format("i-{}", index), LoopbackIp(31 + index),
          ControlHostIps()));
    }
  }
  ~PlatformFleet() {
    servers_.clear();
    entry_hosts_.clear();
    control_hosts_.clear();
    if (!keeps_folder_) std::filesystem::remove_all(folder_);
  }

  static constexpr int kControlHosts = 3;
  static constexpr int kEntryHosts = 2;
  static constexpr std::size_t kEntryMemoryMb = 160;

  // Returns an address of this fleet. Fleets that run at the same time have
  // different numbers from 1 to 254 in SAPPHIREBANK_TEST_NET.
  static std::string LoopbackIp(int number) {
    const char* net = ::getenv("SAPPHIREBANK_TEST_NET");
    return fmt::format("127.0.{}.{}", net == nullptr ? "9" : net, number);
  }
  static std::string ControlHostIp(int index) { return LoopbackIp(11 + index); }
  static std::string EntryHostIp(int index) { return LoopbackIp(21 + index); }
  static std::vector<std::string> ControlHostIps() {
    std::vector<std::string> ips;
    ips.reserve(kControlHosts);
    for (int i = 0; i < kControlHosts; ++i) ips.push_back(ControlHostIp(i));
    return ips;
  }

  // Starts a control host. `founds_group` tells it to form a new consensus
  // group instead of rejoining the existing one.
  void StartControlHost(int index, bool founds_group) {
    nlohmann::json settings = MakeSettings(
        "control", fmt::format("core-{}", index), ControlHostIp(index));
    settings["listeners"]["control"] =
        fmt::format("{}:{}", ControlHostIp(index), kControlPort);
    settings["listeners"]["directory"] =
        fmt::format("{}:{}", ControlHostIp(index), kDirectoryPort);
    settings["listeners"]["metrics"] =
        fmt::format("{}:{}", ControlHostIp(index), kMetricsPort);
    settings["found_group"] = founds_group;
    settings["data_folder"] = DataFolder(index);
    control_hosts_[index] =
        StartProcess(fmt::format("core-{}", index), settings);
  }
  void StartEntryHost(int index) {
    nlohmann::json settings = MakeSettings(
        "entry", fmt::format("front-{}", index), EntryHostIp(index));
    settings["listeners"]["callers"] =
        fmt::format("{}:{}", EntryHostIp(index), kCallerPort);
    settings["listeners"]["readiness"] =
        fmt::format("{}:{}", EntryHostIp(index), kReadinessPort);
    settings["listeners"]["metrics"] =
        fmt::format("{}:{}", EntryHostIp(index), kMetricsPort);
    settings["memory_mb"] = kEntryMemoryMb;
    entry_hosts_[index] =
        StartProcess(fmt::format("front-{}", index), settings);
  }

  // Keeps the logs of the hosts, and returns their folder.
  std::string KeepFolder() {
    keeps_folder_ = true;
    return folder_.string();
  }

  std::string DataFolder(int index) const {
    return (folder_ / fmt::format("data-{}", index)).string();
  }

  // Calls a method of the HTTP API of the control hosts. Tries them in turn
  // until one answers with a status below 500; returns the status and, if
  // `answer_body` is set, stores the body of the answer there.
  int CallRpc(const std::string& method_name, const std::string& body = "",
              std::string* answer_body = nullptr) {
    int status = 0;
    WaitUntil(method_name, [&] {
      const int control_host = next_control_host_++ % kControlHosts;
      httplib::Client client(ControlHostIp(control_host), kControlPort);
      client.set_connection_timeout(1);
      client.set_read_timeout(2);
      const auto answer =
          client.Post("/api/rpc?call=" + method_name, body, "application/json");
      if (!answer || answer->status >= 500) return false;
      status = answer->status;
      if (answer_body != nullptr) *answer_body = answer->body;
      return true;
    });
    return status;
  }

  // Returns a plan with one service, a safe and an unsafe route, and one tenant
  // with the API key `key`.
  nlohmann::json MakePlan(int version, const std::string& key = "key-1") const {
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

  // Sends a caller's request with the API key `key` to an entry host.
  httplib::Result SendRequest(int entry_host, const std::string& method,
                              const std::string& path,
                              const std::string& key = "key-1") {
    httplib::Client client(EntryHostIp(entry_host), kCallerPort);
    client.set_connection_timeout(2);
    client.set_read_timeout(5);
    const httplib::Headers headers = {
        {"Host", "desk.example"},
        {"Authorization", "Token " + key},
        {"Sapphirebank-Request-Id", fmt::format("q{}", next_request_number_++)},
        {"Sapphirebank-Deadline-Ms", "3000"}};
    if (method == "GET") return client.Get(path, headers);
    return client.Post(path, headers, "body", "text/plain");
  }

  // Waits until every entry host answers a caller's request with status 200.
  void WaitUntilServing() {
    for (int index = 0; index < kEntryHosts; ++index) {
      WaitUntil("an entry host serves requests", [&] {
        const auto answer = SendRequest(index, "GET", "/lookup/1");
        return answer && answer->status == 200;
      });
    }
  }

  // Returns the metrics of the host at `ip`, or an empty string if it does not
  // answer.
  static std::string FetchMetrics(const std::string& ip) {
    httplib::Client client(ip, kMetricsPort);
    const auto answer = client.Get("/metrics");
    return answer ? answer->body : "";
  }

  // Returns whether the readiness check of an entry host answers with 200.
  bool IsReady(int entry_host) const {
    httplib::Client client(EntryHostIp(entry_host), kReadinessPort);
    const auto answer = client.Get("/api/ready");
    return answer && answer->status == 200;
  }

  // Returns the entry host addresses that a control host gives to callers, or
  // none if it does not answer with status 200.
  std::vector<std::string> ResolveAddresses(int control_host) const {
    httplib::Client client(ControlHostIp(control_host), kDirectoryPort);
    const auto answer =
        client.Get("/api/resolve?name=desk.example&region=kerala&zone=kochi");
    if (!answer || answer->status != 200) return {};
    return nlohmann::json::parse(answer->body).at("addresses");
  }

  Process& control_host(int index) { return *control_hosts_.at(index); }
  Process& entry_host(int index) { return *entry_hosts_.at(index); }
  StandInServer& server(int index) { return *servers_.at(index); }
  void RemoveControlHost(int index) { control_hosts_.erase(index); }

 private:
  nlohmann::json MakeSettings(const std::string& role,
                              const std::string& host_name,
                              const std::string& ip) const {
    nlohmann::json seeds = nlohmann::json::array();
    for (int index = 0; index < kControlHosts; ++index) {
      seeds.push_back(fmt::format("{}:{}", ControlHostIp(index), kControlPort));
    }
    nlohmann::json settings = {{"role", role},
                               {"host", host_name},
                               {"ip", ip},
                               {"zone", "kochi"},
                               {"listeners", {{"fleet_port", kFleetPort}}},
                               {"seeds", std::move(seeds)},
                               {"key_withdrawal", "5s"},
                               {"grace", "3s"}};
    settings.update(more_settings_);
    return settings;
  }

  std::unique_ptr<Process> StartProcess(const std::string& name,
                                        const nlohmann::json& settings) const {
    const std::string path = (folder_ / (name + ".json")).string();
    std::ofstream(path) << settings.dump();
    ::setenv("SAPPHIREBANK_BOOT", path.c_str(), 1);
    return std::make_unique<Process>("sapphirebank_platform",
                                     std::vector<std::string>{},
                                     (folder_ / (name + ".log")).string());
  }

  nlohmann::json more_settings_;
  std::filesystem::path folder_;
  bool keeps_folder_ = false;
  std::map<int, std::unique_ptr<Process>> control_hosts_;
  std::map<int, std::unique_ptr<Process>> entry_hosts_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
  int next_control_host_ = 0;
  int next_request_number_ = 1;
};

}  // namespace sapphirebank::system_tests
