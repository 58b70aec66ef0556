#pragma once

#include <fmt/format.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "review/harness-2/record.h"
#include "review/harness-2/sockets.h"

namespace review {

// Ports of a small deployment, each at the address of its host.
inline constexpr int kCallerPort = 8405;
inline constexpr int kReadinessPort = 8406;
inline constexpr int kControlPort = 8407;
inline constexpr int kDirectoryPort = 8404;
inline constexpr int kMetricsPort = 9464;
inline constexpr int kFleetPort = 7660;
inline constexpr int kServerPort = 8080;

// The case cannot run: neither a pass nor a failure.
class CannotRun : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

inline void WaitUntil(const std::string& what, milliseconds limit,
                      const std::function<bool()>& condition) {
  const auto deadline = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() >= deadline) throw CannotRun("no success: " + what);
    SleepMs(50);
  }
}

// Whether the case is run with its disruption, as its script says.
inline bool& TroubleFlag() {
  static bool has_trouble = true;
  return has_trouble;
}
inline bool HasTrouble() { return TroubleFlag(); }

// A process of the platform's program. The destructor kills it.
class Process {
 public:
  Process(const std::string& settings_file, const std::string& log_file) {
    const char* path = ::getenv("PATH");
    const char* home = ::getenv("HOME");
    const std::vector<std::string> variables = {
        fmt::format("PATH={}", path == nullptr ? "" : path),
        fmt::format("HOME={}", home == nullptr ? "" : home),
        "SAPPHIREBANK_BOOT=" + settings_file};
    pid_ = ::fork();
    if (pid_ < 0) throw CannotRun("fork failed");
    if (pid_ > 0) return;
    // Ends with the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (std::freopen(log_file.c_str(), "a", stdout) == nullptr) ::_exit(126);
    if (std::freopen(log_file.c_str(), "a", stderr) == nullptr) ::_exit(126);
    std::vector<char*> environment;
    for (const std::string& variable : variables) {
      environment.push_back(::strdup(variable.c_str()));
    }
    environment.push_back(nullptr);
    const char* program = "target/bin/sapphirebank_platform";
    char* arguments[] = {::strdup(program), nullptr};
    ::execve(program, arguments, environment.data());
    ::_exit(127);
  }
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Send(int signal) const {
    if (pid_ > 0) ::kill(pid_, signal);
  }
  // Sends SIGKILL and waits for the end.
  void Kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // Returns whether the process has ended by itself.
  bool HasEnded() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

// The control and entry hosts of a small deployment, on loopback addresses of a
// network that no one else uses. Settings, data and logs are in a temporary
// folder, which the destructor removes.
class Fleet {
 public:
  // `control_zones` and `entry_zones` name the zone of each host.
  Fleet(Record& record, std::vector<std::string> control_zones,
        std::vector<std::string> entry_zones)
      : record_(record),
        control_zones_(std::move(control_zones)),
        entry_zones_(std::move(entry_zones)) {
    ChooseNet();
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) throw CannotRun("no folder");
    folder_ = name;
    control_.resize(control_zones_.size());
    entry_.resize(entry_zones_.size());
    for (std::size_t i = 0; i < control_.size(); ++i) StartControl(i, true);
    for (std::size_t i = 0; i < entry_.size(); ++i) StartEntry(i);
  }
  ~Fleet() {
    control_.clear();
    entry_.clear();
    const char* keep = ::getenv("REVIEW_LOGS");
    if (keep != nullptr) {
      std::filesystem::copy(
          folder_, keep,
          std::filesystem::copy_options::recursive |
              std::filesystem::copy_options::overwrite_existing);
    }
    std::filesystem::remove_all(folder_);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::string ControlIp(std::size_t index) const { return Ip(11 + index); }
  std::string EntryIp(std::size_t index) const { return Ip(101 + index); }
  std::string ServerIp(std::size_t index) const { return Ip(51 + index); }
  std::size_t control_count() const { return control_.size(); }
  std::size_t entry_count() const { return entry_.size(); }

  Process& control(std::size_t index) { return *control_.at(index); }
  Process& entry(std::size_t index) { return *entry_.at(index); }

  // `bootstrap` is true for the first start of the whole system only.
  void StartControl(std::size_t index, bool bootstrap) {
    nlohmann::json settings =
        Settings("control", fmt::format("core-{}", index), ControlIp(index),
                 control_zones_.at(index), bootstrap);
    settings["listeners"]["control"] = At(ControlIp(index), kControlPort);
    settings["listeners"]["directory"] = At(ControlIp(index), kDirectoryPort);
    settings["data_folder"] = folder_ + fmt::format("/data-{}", index);
    settings["memory_mb"] = 256;
    control_.at(index) = Start(fmt::format("core-{}", index), settings);
  }
  void StartEntry(std::size_t index) {
    nlohmann::json settings =
        Settings("entry", fmt::format("front-{}", index), EntryIp(index),
                 entry_zones_.at(index), false);
    settings["listeners"]["callers"] = At(EntryIp(index), kCallerPort);
    settings["listeners"]["readiness"] = At(EntryIp(index), kReadinessPort);
    settings["memory_mb"] = 260;
    entry_.at(index) = Start(fmt::format("front-{}", index), settings);
  }

  // Returns the log of a control host; used to choose a host, not to judge.
  std::string ControlLog(std::size_t index) const {
    std::ifstream file(folder_ + fmt::format("/core-{}.log", index));
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // Returns the index of the control host that began to lead last.
  std::size_t Leader() const {
    std::size_t leader = 0;
    std::string latest;
    for (std::size_t i = 0; i < control_.size(); ++i) {
      const std::string log = ControlLog(i);
      const auto at = log.rfind("leadership_begun");
      if (at == std::string::npos) continue;
      const auto line = log.rfind('\n', at) + 1;
      const std::string text = log.substr(line, log.find('\n', at) - line);
      const auto time = text.find("\"time\":\"");
      const std::string stamp =
          time == std::string::npos ? text : text.substr(time, 40);
      if (stamp > latest) {
        latest = stamp;
        leader = i;
      }
    }
    return leader;
  }

  // Returns whether the readiness check of an entry host answers 200.
  bool IsReady(std::size_t index) const {
    const auto deadline = Clock::now() + milliseconds(1000);
    const Socket socket =
        Socket::Connect(EntryIp(index), kReadinessPort, milliseconds(1000));
    std::string received;
    if (!socket.is_open() ||
        !socket.Write("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      return false;
    }
    const auto answer = ReadMessage(socket, received, deadline);
    return answer && answer->Status() == 200;
  }

  Record& record() { return record_; }

 private:
  std::string Ip(std::size_t number) const {
    return fmt::format("127.{}.{}.{}", net_ / 256, net_ % 256, number);
  }
  static std::string At(const std::string& ip, int port) {
    return fmt::format("{}:{}", ip, port);
  }

  // Chooses a network of loopback addresses whose ports are free.
  void ChooseNet() {
    std::random_device random;
    for (int attempt = 0; attempt < 50; ++attempt) {
      net_ = static_cast<int>(10 * 256 + random() % (200 * 256));
      const bool is_free = CanListen(ControlIp(0), kControlPort) &&
                           CanListen(ControlIp(0), kFleetPort) &&
                           CanListen(EntryIp(0), kCallerPort) &&
                           CanListen(ServerIp(0), kServerPort) &&
                           CanListen(EntryIp(0), kMetricsPort);
      if (is_free) return;
    }
    throw CannotRun("no free loopback network");
  }
  static bool CanListen(const std::string& ip, int port) {
    const Socket socket(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    return ::bind(socket.handle(), reinterpret_cast<sockaddr*>(&at),
                  sizeof(at)) == 0;
  }

  // The settings as the platform fills in deploy/settings.json.
  nlohmann::json Settings(const std::string& role, const std::string& name,
                          const std::string& ip, const std::string& zone,
                          bool bootstrap) const {
    nlohmann::json seeds = nlohmann::json::array();
    for (std::size_t i = 0; i < control_zones_.size() && i < 3; ++i) {
      seeds.push_back(At(ControlIp(i), kControlPort));
    }
    return {{"role", role},
            {"host", name},
            {"ip", ip},
            {"zone", zone},
            {"listeners",
             {{"metrics", At(ip, kMetricsPort)}, {"fleet_port", kFleetPort}}},
            {"seeds", std::move(seeds)},
            {"found_group", bootstrap},
            {"key_withdrawal", "5000ms"},
            {"plan_change", "2000ms"},
            {"server_departure", "2000ms"},
            {"zone_change", "5000ms"},
            {"acknowledgement", "4000ms"},
            {"grace", "6s"},
            {"longest_lookup_life", "5s"},
            {"link_mbps", 1000.0},
            {"place_by_work", true},
            {"retry_slack", 62}};
  }

  std::unique_ptr<Process> Start(const std::string& name,
                                 const nlohmann::json& settings) {
    const std::string file = folder_ + "/" + name + ".json";
    std::ofstream(file) << settings.dump(2);
    record_.Write("start " + name);
    return std::make_unique<Process>(file, folder_ + "/" + name + ".log");
  }

  Record& record_;
  std::vector<std::string> control_zones_;
  std::vector<std::string> entry_zones_;
  int net_ = 0;
  std::string folder_;
  std::vector<std::unique_ptr<Process>> control_;
  std::vector<std::unique_ptr<Process>> entry_;
};

// Runs a case and returns the exit status of its script: 0 if the rule held, 1
// if it was broken, 2 if the case could not run. The arguments are the record's
// file and the value of TROUBLE, with which 0 leaves the disruption out.
inline int RunCase(int count, char** arguments,
                   const std::function<bool(Record&)>& holds) {
  constexpr int kBroken = 1;
  constexpr int kCannotRun = 2;
  if (count != 3) return kCannotRun;
  ::signal(SIGPIPE, SIG_IGN);
  Record record(arguments[1]);
  TroubleFlag() = std::string(arguments[2]) != "0";
  record.Write(fmt::format("disruption: {}", HasTrouble() ? "yes" : "no"));
  try {
    const bool held = holds(record);
    record.Write(held ? "verdict: the rule held" : "verdict: the rule broke");
    return held ? 0 : kBroken;
  } catch (const std::exception& e) {
    record.Write(fmt::format("verdict: cannot run: {}", e.what()));
    return kCannotRun;
  }
}

}  // namespace review
