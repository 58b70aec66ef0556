#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

// A small deployment of the platform's processes on loopback addresses, for the
// cases of the third review.
namespace review {

using Clock = std::chrono::steady_clock;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// What was sent, answered and run, one line each, with the seconds since the
// start. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);

  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream out_;
  Clock::time_point start_ = Clock::now();
};

// Size of a deployment.
struct FleetSize {
  int control_hosts = 3;
  int entry_hosts = 2;
};

// Settings that hosts of all roles get besides those of their place.
struct FleetTerms {
  int entry_memory_mb = 260;
  int control_memory_mb = 256;
  std::string grace = "6s";
  // File descriptors of a control process; 0 leaves the limit as it is.
  int control_max_fds = 0;
};

// The processes of a deployment. The destructor ends all of them.
class SmallFleet {
 public:
  // Starts the program of the deploy file. Settings, data and logs are in a new
  // folder under /tmp, which the destructor removes.
  SmallFleet(const FleetSize& size, const FleetTerms& terms);
  ~SmallFleet();
  SmallFleet(const SmallFleet&) = delete;
  SmallFleet& operator=(const SmallFleet&) = delete;

  // Returns an address of this fleet; `number` is from 1 to 250.
  std::string Ip(int number) const;
  std::string ControlIp(int index) const { return Ip(11 + index); }
  std::string EntryIp(int index) const { return Ip(101 + index); }
  std::vector<std::string> ControlIps() const;

  static constexpr int kCallerPort = 8405;
  static constexpr int kReadyPort = 8406;
  static constexpr int kControlPort = 8407;
  static constexpr int kDirectoryPort = 8404;
  static constexpr int kServerPort = 8080;

  void StartControl(int index, bool bootstrap);
  void StartEntry(int index);

  // Sends a signal to the process of a host, if it runs.
  void SignalControl(int index, int signal) const;
  void SignalEntry(int index, int signal) const;

  // Waits for the end of a process that was sent a signal.
  void ReapControl(int index);
  void ReapEntry(int index);

  // Returns whether a process has ended by itself since it was started.
  bool ControlHasEnded(int index);
  bool EntryHasEnded(int index);

  // Returns the private memory that a process uses, in MB.
  double ControlMemoryMb(int index) const;
  double EntryMemoryMb(int index) const;

  const FleetSize& size() const { return size_; }
  const FleetTerms& terms() const { return terms_; }
  const std::filesystem::path& folder() const { return folder_; }

  // Calls the control hosts in turn, as an operator does, until one answers
  // with a status below 500, and returns that status; 0 when none has within
  // `time`.
  int Call(const std::string& call, const std::string& body,
           std::string* answer = nullptr,
           std::chrono::milliseconds time = std::chrono::seconds(10));

 private:
  pid_t Start(const std::string& name, const nlohmann::json& settings,
              int max_fds) const;
  nlohmann::json Settings(const std::string& role, const std::string& host,
                          const std::string& ip) const;

  FleetSize size_;
  FleetTerms terms_;
  std::filesystem::path folder_;
  std::string net_;
  std::map<int, pid_t> control_;
  std::map<int, pid_t> entry_;
  std::mutex mutex_;
  int next_control_ = 0;
};

// Returns whether the environment asks for the case without its disruption.
bool WithoutTrouble();

// Returns the time since 1970 in milliseconds.
std::int64_t UnixMs();

// Polls until the condition holds; returns false when `time` has passed.
bool WaitFor(std::chrono::milliseconds time,
             const std::function<bool()>& condition);

}  // namespace review
