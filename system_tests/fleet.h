#pragma once

#include <httplib.h>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sapphirebank::system_tests {

// A child process of a test fleet. The destructor kills it with SIGKILL.
class Process {
 public:
  // Starts `program` from the build folder and appends its standard output and
  // standard error to `log_file`. Throws std::runtime_error if fork fails.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log_file);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Sends `signal` unless the process has been reaped.
  void SendSignal(int signal) const;

  // Sends SIGKILL and waits until the process exits. SIGCONT follows the
  // SIGKILL in case the process was stopped.
  void Kill();

  // Waits until the process exits and returns its exit status, or -1 if a
  // signal terminated it or it was reaped before.
  int Wait();

  // Returns the largest resident size of the process so far, in bytes.
  std::size_t PeakMemory() const;

 private:
  pid_t pid_;
  bool exited_ = false;
};

// Size of a test fleet.
struct FleetOptions {
  int control_hosts = 1;
  int entry_hosts = 1;
  int zones = 1;
  int servers_per_zone = 1;
  int slots = 2;  // Per backend server.
};

// A fleet of local processes on the loopback interface, with one service
// ("permits"), one workspace ("kochi") and one caller key. Settings, data and
// logs are in a temporary folder, which is kept when a test fails or
// KEEP_FLEET_LOGS is set.
class Fleet {
 public:
  static constexpr const char* kCallerKey = "caller-key-of-kochi";

  explicit Fleet(const FleetOptions& options);
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Each starts one process; a running one is killed first.
  void StartControlHost(int index);
  void StartEntryHost(int index);
  void StartServer(int zone, int index);

  // Waits until every entry host answers a caller's request with status 200.
  void WaitUntilServing();

  // Applies `edit` to the current declarations and submits the difference;
  // retries until a control host accepts it.
  void ApplyChange(const std::function<void(nlohmann::json& document)>& edit);

  // Submits the change `body` unmodified. Retries until a control host answers
  // with a status below 500, and returns the body of the answer.
  nlohmann::json PostChange(const nlohmann::json& body);

  // Returns the revision and the document of the declarations from the first
  // control host that answers.
  nlohmann::json ReadDeclarations();

  // Returns the declarations as one control host has them now, or null if it
  // does not answer with status 200.
  nlohmann::json ReadDeclarationsFrom(int control_host) const;

  // Waits until a control host answers a status request of an operator, and
  // returns the HTTP status code.
  int OperatorApiStatus(int control_host) const;

  // Waits until a leader is known and returns its index among the control
  // hosts.
  int LeaderIndex() const;

  // Sends a caller's request to an entry host.
  httplib::Result SendRequest(int entry_host, const std::string& method,
                              const std::string& path,
                              const httplib::Headers& headers = {},
                              const std::string& body = {});

  // Returns the counters of a stand-in backend server, or null if it does not
  // answer.
  nlohmann::json ServerStats(int zone, int index) const;

  // Changes the behavior (errors, latency) of a stand-in backend server. Throws
  // std::runtime_error if it does not answer.
  void SetServerBehavior(int zone, int index,
                         const nlohmann::json& behavior) const;

  // Returns how many times the stand-in backend servers executed requests
  // marked with `effect`, in total.
  int EffectCount(const std::string& effect) const;

  Process& control_host(int index) { return *control_hosts_.at(index); }
  Process& entry_host(int index) { return *entry_hosts_.at(index); }
  Process& server(int zone, int index) { return *servers_.at({zone, index}); }
  int caller_port(int index) const { return entry_host_ports_.at(index).at(0); }
  const std::string& folder() const { return folder_; }
  const FleetOptions& options() const { return options_; }

 private:
  nlohmann::json ControlHostList() const;
  nlohmann::json InitialDeclarations() const;

  FleetOptions options_;
  std::string folder_;
  std::vector<std::vector<int>> control_host_ports_;
  std::vector<std::vector<int>> entry_host_ports_;
  std::map<std::pair<int, int>, int> server_ports_;
  std::map<int, std::unique_ptr<Process>> control_hosts_;
  std::map<int, std::unique_ptr<Process>> entry_hosts_;
  std::map<std::pair<int, int>, std::unique_ptr<Process>> servers_;
  int next_change_number_ = 1;
};

// Polls `condition` until it holds. Throws std::runtime_error, which names
// `description`, after a time-out that is far above any expected duration: it
// detects faults and is no bound on latency.
void WaitUntil(const std::string& description,
               const std::function<bool()>& condition);

// Returns `additional_fields` and the header field with the caller's key.
httplib::Headers CallerHeaders(const httplib::Headers& additional_fields = {});

}  // namespace sapphirebank::system_tests
