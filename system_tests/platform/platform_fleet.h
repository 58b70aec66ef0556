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
#include <vector>

#include "system_tests/fleet.h"
#include "system_tests/platform/stand_in_server.h"

namespace sapphirebank::system_tests {

inline constexpr int kCallerPort = 18405;
inline constexpr int kReadinessPort = 18406;
inline constexpr int kMetricsPort = 18464;
inline constexpr int kDirectoryPort = 18404;
inline constexpr int kFleetPort = 17660;

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
    nlohmann::json settings =
        Settings("control", fmt::format("core-{}", i), ControlIp(i));
    settings["listeners"]["control"] =
        fmt::format("{}:{}", ControlIp(i), kControlPort);
    settings["listeners"]["directory"] =
        fmt::format("{}:{}", ControlIp(i), kDirectoryPort);
    settings["listeners"]["metrics"] =
        fmt::format("{}:{}", ControlIp(i), kMetricsPort);
    settings["found_group"] = is_first;
    settings["data_folder"] = DataFolder(i);
    controls_[i] = Start(fmt::format("core-{}", i), settings);
  }
  void StartEntry(int i) {
    nlohmann::json settings =
        Settings("entry", fmt::format("front-{}", i), EntryIp(i));
    settings["listeners"]["callers"] =
        fmt::format("{}:{}", EntryIp(i), kCallerPort);
    settings["listeners"]["readiness"] =
        fmt::format("{}:{}", EntryIp(i), kReadinessPort);
    settings["listeners"]["metrics"] =
        fmt::format("{}:{}", EntryIp(i), kMetricsPort);
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

  nlohmann::json Plan(int version, const std::string& key = "key-1") const {
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

  // Returns the metrics of the host at `ip`.
  static std::string Metrics(const std::string& ip) {
    httplib::Client client(ip, kMetricsPort);
    const auto answer = client.Get("/metrics");
    return answer ? answer->body : "";
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
    return nlohmann::json::parse(answer->body).at("addresses");
  }

  Process& control(int i) { return *controls_.at(i); }
  Process& entry(int i) { return *entries_.at(i); }
  StandInServer& server(int i) { return *servers_.at(i); }
  void EndControl(int i) { controls_.erase(i); }

 private:
  nlohmann::json Settings(const std::string& role, const std::string& host,
                          const std::string& ip) const {
    nlohmann::json seeds = nlohmann::json::array();
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
                                 const nlohmann::json& settings) const {
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

}  // namespace sapphirebank::system_tests
