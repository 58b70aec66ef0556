#include "system_tests/fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "sapphirebank/request/route_table.h"

namespace sapphirebank::system_tests {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kOperatorKey = "operator-key-of-the-test";
constexpr milliseconds kPollInterval{50};
// Far above any expected duration, so that only a fault exceeds it.
constexpr seconds kWaitTimeout{60};
constexpr int kPortsPerControlHost = 3;
constexpr int kPortsPerEntryHost = 5;

// Returns a port that was unbound when checked, a different one for each call.
// It lies below the range of ephemeral ports, so that no outgoing connection
// can take it before the intended process binds it.
int AllocatePort() {
  constexpr int kFirst = 20000;
  constexpr int kCount = 12000;
  static int next = ::getpid() % kCount;
  while (true) {
    const int port = kFirst + next++ % kCount;
    const int socket_fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool bound =
        ::bind(socket_fd, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0;
    ::close(socket_fd);
    if (bound) return port;
  }
}

std::vector<int> AllocatePorts(int count) {
  std::vector<int> ports;
  ports.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) ports.push_back(AllocatePort());
  return ports;
}

json LoopbackAddress(int port) { return {{"ip", "127.0.0.1"}, {"port", port}}; }

json PeerAddress(const std::string& id, int port) {
  json peer = LoopbackAddress(port);
  peer["id"] = id;
  return peer;
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

httplib::Headers OperatorHeaders() {
  return {{"Authorization", std::string("Bearer ") + kOperatorKey}};
}

std::string ZoneName(int zone) { return fmt::format("zone-{}", zone); }
std::string EntryHostName(int index) { return fmt::format("entry-{}", index); }
std::string ControlHostName(int index) {
  return fmt::format("control-{}", index);
}

}  // namespace

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& log_file) {
  const std::string path = std::string(PROGRAM_FOLDER) + "/" + program;
  std::vector<char*> argv = {const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("cannot start a process: fork failed");
  if (pid_ == 0) {
    const int log =
        ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDERR_FILENO);
    ::dup2(log, STDOUT_FILENO);
    // A socket of the test that the program inherits would outlive its close.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(path.c_str(), argv.data());
    ::_exit(127);
  }
}

Process::~Process() { Kill(); }

void Process::SendSignal(int signal) const {
  if (!exited_) ::kill(pid_, signal);
}

void Process::Kill() {
  if (exited_) return;
  SendSignal(SIGKILL);
  SendSignal(SIGCONT);
  Wait();
}

std::size_t Process::PeakMemory() const {
  std::ifstream status(fmt::format("/proc/{}/status", pid_));
  std::string name;
  while (status >> name) {
    std::size_t kilobytes = 0;
    if (name == "VmHWM:" && status >> kilobytes) return kilobytes * 1024;
  }
  throw std::runtime_error("the process has no memory in /proc");
}

int Process::Wait() {
  int status = 0;
  if (exited_ || ::waitpid(pid_, &status, 0) != pid_) return -1;
  exited_ = true;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Fleet::Fleet(const FleetOptions& options) : options_(options) {
  std::string name =
      (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr)
    throw std::runtime_error(
        "cannot create the folder of a test fleet: mkdtemp failed");
  folder_ = name;
  for (int i = 0; i < options.control_hosts; ++i) {
    control_host_ports_.push_back(AllocatePorts(kPortsPerControlHost));
  }
  for (int i = 0; i < options.entry_hosts; ++i) {
    entry_host_ports_.push_back(AllocatePorts(kPortsPerEntryHost));
  }
  for (int i = 0; i < options.control_hosts; ++i) StartControlHost(i);
  for (int i = 0; i < options.entry_hosts; ++i) StartEntryHost(i);
  for (int zone = 0; zone < options.zones; ++zone) {
    for (int i = 0; i < options.servers_per_zone; ++i) StartServer(zone, i);
  }
  ApplyChange([this](json& document) { document = InitialDeclarations(); });
}

Fleet::~Fleet() {
  servers_.clear();
  entry_hosts_.clear();
  control_hosts_.clear();
  // Keep the logs of a failed test for inspection.
  const bool keep_files = std::uncaught_exceptions() > 0 ||
                          std::getenv("KEEP_FLEET_LOGS") != nullptr;
  if (!keep_files) std::filesystem::remove_all(folder_);
}

json Fleet::ControlHostList() const {
  json hosts = json::array();
  for (int i = 0; i < options_.control_hosts; ++i) {
    hosts.push_back(PeerAddress(ControlHostName(i), control_host_ports_[i][0]));
  }
  return hosts;
}

json Fleet::InitialDeclarations() const {
  json zones = json::object();
  for (int i = 0; i < options_.zones; ++i) {
    zones[ZoneName(i)] = {{"region", "kerala"}};
  }
  return {
      {"zones", zones},
      {"services", {{"permits", json::object()}}},
      {"routes",
       {{"status",
         {{"methods", {"GET"}},
          {"path_prefix", "/permits"},
          {"service", "permits"},
          {"idempotent", true}}},
        {"fee",
         {{"methods", {"POST"}},
          {"path_prefix", "/permits"},
          {"service", "permits"}}}}},
      {"workspaces", {{"kochi", {{"rate", "2000/s"}, {"burst", 500}}}}},
      {"keys",
       {{"key-1",
         {{"workspace", "kochi"}, {"sha256", Sha256Hex(kCallerKey)}}}}},
      {"operators", {{"op", {{"sha256", Sha256Hex(kOperatorKey)}}}}},
  };
}

void Fleet::StartControlHost(int index) {
  json voters = json::array();
  for (int i = 0; i < std::min(3, options_.entry_hosts); ++i) {
    voters.push_back(EntryHostName(i));
  }
  const auto& ports = control_host_ports_[index];
  const json settings = {
      {"role", "control"},
      {"host_id", ControlHostName(index)},
      {"data_folder", folder_ + "/" + ControlHostName(index)},
      {"fleet_secret", "a-secret-of-the-test-fleet"},
      {"first_operator_sha256", Sha256Hex(kOperatorKey)},
      {"control_hosts", ControlHostList()},
      {"lease_voters", voters},
      {"listeners",
       {{"fleet", LoopbackAddress(ports[0])},
        {"operators", LoopbackAddress(ports[1])},
        {"metrics", LoopbackAddress(ports[2])}}}};
  const std::string file = folder_ + "/" + ControlHostName(index) + ".json";
  WriteFile(file, settings.dump());
  control_hosts_.erase(index);
  control_hosts_[index] = std::make_unique<Process>(
      "sapphirebankd", std::vector<std::string>{"--settings", file},
      folder_ + "/" + ControlHostName(index) + ".log");
}

void Fleet::StartEntryHost(int index) {
  json seeds = json::array();
  json voters = json::array();
  for (int i = 0; i < std::min(3, options_.entry_hosts); ++i) {
    seeds.push_back(PeerAddress(EntryHostName(i), entry_host_ports_[i][3]));
    voters.push_back(EntryHostName(i));
  }
  const auto& ports = entry_host_ports_[index];
  const json settings = {{"role", "entry"},
                         {"host_id", EntryHostName(index)},
                         {"zone", ZoneName(index % options_.zones)},
                         {"fleet_secret", "a-secret-of-the-test-fleet"},
                         {"control_hosts", ControlHostList()},
                         {"seeds", seeds},
                         {"lease_voters", voters},
                         {"listeners",
                          {{"callers", LoopbackAddress(ports[0])},
                           {"announcements", LoopbackAddress(ports[1])},
                           {"forwards", LoopbackAddress(ports[2])},
                           {"datagrams", LoopbackAddress(ports[3])},
                           {"fleet", LoopbackAddress(ports[3])},
                           {"metrics", LoopbackAddress(ports[4])}}}};
  const std::string file = folder_ + "/" + EntryHostName(index) + ".json";
  WriteFile(file, settings.dump());
  entry_hosts_.erase(index);
  entry_hosts_[index] = std::make_unique<Process>(
      "sapphirebankd", std::vector<std::string>{"--settings", file},
      folder_ + "/" + EntryHostName(index) + ".log");
}

void Fleet::StartServer(int zone, int index) {
  const auto key = std::make_pair(zone, index);
  if (!server_ports_.contains(key)) server_ports_[key] = AllocatePort();
  const std::string id = fmt::format("server-{}-{}", zone, index);
  std::vector<std::string> arguments = {
      "--id",         id,
      "--service",    "permits",
      "--zone",       ZoneName(zone),
      "--port",       std::to_string(server_ports_[key]),
      "--slots",      std::to_string(options_.slots),
      "--announce-to"};
  for (const auto& ports : entry_host_ports_) {
    arguments.push_back(fmt::format("127.0.0.1:{}", ports[1]));
  }
  servers_.erase(key);
  servers_[key] = std::make_unique<Process>("stand_in_backend", arguments,
                                            folder_ + "/" + id + ".log");
}

void Fleet::WaitUntilServing() {
  for (int entry_host = 0; entry_host < options_.entry_hosts; ++entry_host) {
    WaitUntil(
        EntryHostName(entry_host) + " answers a request with status 200", [&] {
          const auto answer =
              SendRequest(entry_host, "GET", "/permits/ready", CallerHeaders());
          return answer && answer->status == 200;
        });
  }
}

void Fleet::ApplyChange(const std::function<void(json& document)>& edit) {
  const std::string change_id = fmt::format("change-{}", next_change_number_++);
  WaitUntil("a control host accepts a change of the declarations", [&] {
    const json state = ReadDeclarations();
    json document = state.at("document");
    edit(document);
    const json answer =
        PostChange({{"base_revision", state.at("revision")},
                    {"change_id", change_id},
                    {"patch", json::diff(state.at("document"), document)}});
    return answer.contains("revision");
  });
}

json Fleet::PostChange(const json& body) {
  json answer;
  WaitUntil("a control host answers a change of the declarations", [&] {
    for (const auto& ports : control_host_ports_) {
      httplib::Client client("127.0.0.1", ports[1]);
      const auto response = client.Post("/v1/changes", OperatorHeaders(),
                                        body.dump(), "application/json");
      if (!response || response->status >= 500) continue;
      answer = json::parse(response->body);
      return true;
    }
    return false;
  });
  return answer;
}

json Fleet::ReadDeclarations() {
  json state;
  WaitUntil("a control host returns the declarations", [&] {
    for (int i = 0; i < options_.control_hosts; ++i) {
      state = ReadDeclarationsFrom(i);
      if (!state.is_null()) return true;
    }
    return false;
  });
  return state;
}

json Fleet::ReadDeclarationsFrom(int control_host) const {
  httplib::Client client("127.0.0.1", control_host_ports_.at(control_host)[1]);
  client.set_read_timeout(seconds(2));
  const auto response = client.Get("/v1/declarations", OperatorHeaders());
  if (!response || response->status != 200) return {};
  return json::parse(response->body);
}

int Fleet::OperatorApiStatus(int control_host) const {
  int status = 0;
  WaitUntil("a control host answers a status request", [&] {
    httplib::Client client("127.0.0.1",
                           control_host_ports_.at(control_host)[1]);
    const auto response = client.Get("/v1/status", OperatorHeaders());
    if (response) status = response->status;
    return status != 0;
  });
  return status;
}

int Fleet::LeaderIndex() const {
  std::string leader;
  WaitUntil("the first control host knows a leader", [&] {
    httplib::Client client("127.0.0.1", control_host_ports_.front()[1]);
    const auto response = client.Get("/v1/status", OperatorHeaders());
    if (!response || response->status != 200) return false;
    const json status = json::parse(response->body);
    if (!status.contains("leader") || status["leader"].is_null()) return false;
    leader = status["leader"].get<std::string>();
    return true;
  });
  for (int i = 0; i < options_.control_hosts; ++i) {
    if (ControlHostName(i) == leader) return i;
  }
  throw std::runtime_error(
      "control host reports a leader that is not part of the fleet: " + leader);
}

httplib::Result Fleet::SendRequest(int entry_host, const std::string& method,
                                   const std::string& path,
                                   const httplib::Headers& headers,
                                   const std::string& body) {
  httplib::Client client("127.0.0.1", caller_port(entry_host));
  client.set_read_timeout(seconds(30));
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.headers = headers;
  request.body = body;
  return client.send(request);
}

json Fleet::ServerStats(int zone, int index) const {
  httplib::Client client("127.0.0.1", server_ports_.at({zone, index}));
  const auto answer = client.Get("/stand-in/stats");
  return answer ? json::parse(answer->body) : json();
}

void Fleet::SetServerBehavior(int zone, int index, const json& behavior) const {
  httplib::Client client("127.0.0.1", server_ports_.at({zone, index}));
  const auto answer =
      client.Post("/stand-in/behaviour", behavior.dump(), "application/json");
  if (!answer)
    throw std::runtime_error(
        "stand-in backend server did not answer a change of its behavior");
}

int Fleet::EffectCount(const std::string& effect) const {
  int count = 0;
  for (const auto& [key, process] : servers_) {
    const json stats = ServerStats(key.first, key.second);
    if (stats.is_object()) count += stats.at("effects").value(effect, 0);
  }
  return count;
}

void WaitUntil(const std::string& description,
               const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error("timed out waiting for condition: " +
                               description);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

httplib::Headers CallerHeaders(const httplib::Headers& additional_fields) {
  httplib::Headers headers = additional_fields;
  headers.emplace("x-api-key", Fleet::kCallerKey);
  return headers;
}

}  // namespace sapphirebank::system_tests
