#include "review/harness-3/small_fleet.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <httplib.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

constexpr const char* kProgram = "target/bin/sapphirebank_platform";
constexpr int kFleetPort = 7660;
constexpr int kMetricsPort = 9464;

double MemoryMb(pid_t pid) {
  std::ifstream in(fmt::format("/proc/{}/status", pid));
  std::string line;
  while (std::getline(in, line)) {
    if (!line.starts_with("RssAnon:")) continue;
    return std::atof(line.c_str() + sizeof("RssAnon:") - 1) / 1024;
  }
  return 0;
}

bool HasEnded(std::map<int, pid_t>& processes, int index) {
  const auto found = processes.find(index);
  if (found == processes.end()) return true;
  if (::waitpid(found->second, nullptr, WNOHANG) != found->second) return false;
  processes.erase(found);
  return true;
}

void Reap(std::map<int, pid_t>& processes, int index) {
  const auto found = processes.find(index);
  if (found == processes.end()) return;
  ::waitpid(found->second, nullptr, 0);
  processes.erase(found);
}

void Signal(const std::map<int, pid_t>& processes, int index, int signal) {
  const auto found = processes.find(index);
  if (found != processes.end()) ::kill(found->second, signal);
}

}  // namespace

Record::Record(const std::string& path) : out_(path) {
  if (!out_) throw std::runtime_error("cannot write " + path);
}

void Record::Write(const std::string& line) {
  const std::chrono::duration<double> at = Clock::now() - start_;
  const std::lock_guard lock(mutex_);
  out_ << fmt::format("{:9.3f} {}\n", at.count(), line) << std::flush;
}

SmallFleet::SmallFleet(const FleetSize& size, const FleetTerms& terms)
    : size_(size), terms_(terms) {
  std::string path = "/tmp/sapphirebank-review-XXXXXX";
  if (::mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder");
  }
  folder_ = path;
  // Fleets that run at the same time have different addresses.
  const int pid = ::getpid();
  net_ = fmt::format("127.{}.{}", 64 + pid / 250 % 180, 1 + pid % 250);
  for (int i = 0; i < size_.control_hosts; ++i) StartControl(i, true);
  for (int i = 0; i < size_.entry_hosts; ++i) StartEntry(i);
}

SmallFleet::~SmallFleet() {
  for (auto* processes : {&control_, &entry_}) {
    for (const auto& [index, pid] : *processes) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
  }
  if (std::getenv("KEEP_FOLDER") != nullptr) return;
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string SmallFleet::Ip(int number) const {
  return fmt::format("{}.{}", net_, number);
}

std::vector<std::string> SmallFleet::ControlIps() const {
  std::vector<std::string> ips(size_.control_hosts);
  for (int i = 0; i < size_.control_hosts; ++i) ips[i] = ControlIp(i);
  return ips;
}

// The settings that deploy/settings.json makes of the pages' example.
json SmallFleet::Settings(const std::string& role, const std::string& host,
                          const std::string& ip) const {
  json seeds = json::array();
  for (int i = 0; i < std::min(size_.control_hosts, 3); ++i) {
    seeds.push_back(fmt::format("{}:{}", ControlIp(i), kControlPort));
  }
  return {{"role", role},
          {"host", host},
          {"ip", ip},
          {"zone", "kochi"},
          {"listeners",
           {{"metrics", fmt::format("{}:{}", ip, kMetricsPort)},
            {"fleet_port", kFleetPort}}},
          {"seeds", std::move(seeds)},
          {"found_group", false},
          {"key_withdrawal", "5000ms"},
          {"plan_change", "2000ms"},
          {"server_departure", "2000ms"},
          {"zone_change", "5000ms"},
          {"acknowledgement", "4000ms"},
          {"grace", terms_.grace},
          {"longest_lookup_life", "5s"},
          {"link_mbps", 1000.0},
          {"place_by_work", true},
          {"retry_slack", 62}};
}

pid_t SmallFleet::Start(const std::string& name, const json& settings,
                        int max_fds) const {
  const std::string path = folder_ / (name + ".json");
  std::ofstream(path) << settings.dump();
  const std::string log = folder_ / (name + ".log");
  const pid_t pid = ::fork();
  if (pid < 0) throw std::runtime_error("cannot fork");
  if (pid > 0) return pid;
  // No process outlives the case, whatever ends it.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  if (max_fds > 0) {
    const rlimit limit = {static_cast<rlim_t>(max_fds),
                          static_cast<rlim_t>(max_fds)};
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  ::setenv("SAPPHIREBANK_BOOT", path.c_str(), 1);
  ::execl(kProgram, kProgram, nullptr);
  ::_exit(127);
}

void SmallFleet::StartControl(int index, bool bootstrap) {
  const std::string name = fmt::format("core-{}", index);
  json settings = Settings("control", name, ControlIp(index));
  json& listeners = settings["listeners"];
  listeners["control"] = fmt::format("{}:{}", ControlIp(index), kControlPort);
  listeners["directory"] =
      fmt::format("{}:{}", ControlIp(index), kDirectoryPort);
  settings["found_group"] = bootstrap;
  settings["data_folder"] = folder_ / ("data-" + name);
  settings["memory_mb"] = terms_.control_memory_mb;
  control_[index] = Start(name, settings, terms_.control_max_fds);
}

void SmallFleet::StartEntry(int index) {
  const std::string name = fmt::format("front-{}", index);
  json settings = Settings("entry", name, EntryIp(index));
  json& listeners = settings["listeners"];
  listeners["callers"] = fmt::format("{}:{}", EntryIp(index), kCallerPort);
  listeners["readiness"] = fmt::format("{}:{}", EntryIp(index), kReadyPort);
  settings["memory_mb"] = terms_.entry_memory_mb;
  entry_[index] = Start(name, settings, 0);
}

void SmallFleet::SignalControl(int index, int signal) const {
  Signal(control_, index, signal);
}

void SmallFleet::SignalEntry(int index, int signal) const {
  Signal(entry_, index, signal);
}

void SmallFleet::ReapControl(int index) { Reap(control_, index); }

void SmallFleet::ReapEntry(int index) { Reap(entry_, index); }

bool SmallFleet::ControlHasEnded(int index) {
  return HasEnded(control_, index);
}

bool SmallFleet::EntryHasEnded(int index) { return HasEnded(entry_, index); }

double SmallFleet::ControlMemoryMb(int index) const {
  const auto found = control_.find(index);
  return found == control_.end() ? 0 : MemoryMb(found->second);
}

double SmallFleet::EntryMemoryMb(int index) const {
  const auto found = entry_.find(index);
  return found == entry_.end() ? 0 : MemoryMb(found->second);
}

int SmallFleet::Call(const std::string& call, const std::string& body,
                     std::string* answer, std::chrono::milliseconds time) {
  const auto end = Clock::now() + time;
  auto pause = std::chrono::milliseconds(20);
  while (Clock::now() < end) {
    int index = 0;
    {
      const std::lock_guard lock(mutex_);
      index = next_control_++ % size_.control_hosts;
    }
    httplib::Client client(ControlIp(index), kControlPort);
    client.set_connection_timeout(1);
    client.set_read_timeout(2);
    const auto result =
        client.Post("/api/rpc?call=" + call, body, "application/json");
    if (result && result->status < 500) {
      if (answer != nullptr) *answer = result->body;
      return result->status;
    }
    std::this_thread::sleep_for(pause);
    pause = std::min(2 * pause, std::chrono::milliseconds(500));
  }
  return 0;
}

bool WithoutTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool WaitFor(std::chrono::milliseconds time,
             const std::function<bool()>& condition) {
  const auto end = Clock::now() + time;
  while (!condition()) {
    if (Clock::now() >= end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

}  // namespace review
