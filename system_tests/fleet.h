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

// One process of a test fleet. It is killed at the end of its life.
class Process {
 public:
  // Starts `program` of the build with its standard error in `log_file`.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log_file);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Sends a signal.
  void Signal(int number) const;

  // Sends SIGKILL and waits for the end.
  void Kill();

  // Waits for the end and returns the exit status; -1 when a signal ended it.
  int Wait();

 private:
  pid_t pid_;
  bool ended_ = false;
};

// How large a fleet is.
struct FleetShape {
  int control_hosts = 1;
  int entry_hosts = 1;
  int zones = 1;
  int servers_in_zone = 1;
  int slots = 2;
};

// A fleet of plain processes on loopback with one service, "permits", one
// workspace, "kochi", and one key, in a folder of its own.
class Fleet {
 public:
  static constexpr const char* kKey = "caller-key-of-kochi";

  explicit Fleet(const FleetShape& shape);
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts or restarts one process.
  void StartControl(int index);
  void StartEntry(int index);
  void StartServer(int zone, int index);

  // Waits until every entry host answers a caller.
  void AwaitService();

  // Applies a change of the declarations; retried until it is accepted.
  void Change(const std::function<void(nlohmann::json& document)>& edit);

  // Sends one change as it is, again until a control host has answered, and
  // returns the answer's body.
  nlohmann::json PostChange(const nlohmann::json& body);

  // Returns revision and document from whichever control host answers.
  nlohmann::json ReadDeclarations();

  // Returns what one control host answers now; null for a refusal.
  nlohmann::json ReadDeclarationsFrom(int control) const;

  // Waits until a control host answers an operator, and returns the status.
  int OperatorStatusOf(int control) const;

  // Returns the index of the control host that leads.
  int Leader() const;

  // Sends a request of a caller to an entry host.
  httplib::Result Send(int entry, const std::string& method,
                       const std::string& path,
                       const httplib::Headers& headers = {},
                       const std::string& body = {});

  // Returns what a stand-in counted; null when it does not answer.
  nlohmann::json Stats(int zone, int index) const;

  // Changes how a stand-in behaves.
  void Behave(int zone, int index, const nlohmann::json& behaviour) const;

  // Returns how often the effect ran on all stand-ins together.
  int Effects(const std::string& effect) const;

  Process& control(int index) { return *controls_.at(index); }
  Process& entry(int index) { return *entries_.at(index); }
  Process& server(int zone, int index) { return *servers_.at({zone, index}); }
  int entry_port(int index) const { return entry_ports_.at(index).at(0); }
  const std::string& folder() const { return folder_; }
  const FleetShape& shape() const { return shape_; }

 private:
  nlohmann::json ControlHosts() const;
  nlohmann::json Document() const;

  FleetShape shape_;
  std::string folder_;
  std::vector<std::vector<int>> control_ports_;
  std::vector<std::vector<int>> entry_ports_;
  std::map<std::pair<int, int>, int> server_ports_;
  std::map<int, std::unique_ptr<Process>> controls_;
  std::map<int, std::unique_ptr<Process>> entries_;
  std::map<std::pair<int, int>, std::unique_ptr<Process>> servers_;
  int next_change_ = 1;
};

// Calls `condition` until it holds. Throws after a time that only a fault can
// reach; how long it took says nothing.
void Await(const std::string& what, const std::function<bool()>& condition);

// Returns the header fields with the caller's key, and more.
httplib::Headers WithKey(const httplib::Headers& more = {});

}  // namespace sapphirebank::system_tests
