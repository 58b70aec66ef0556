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
constexpr milliseconds kPoll{50};
// Only a fault reaches this.
constexpr seconds kPatience{60};
constexpr int kControlPorts = 3;
constexpr int kEntryPorts = 5;

// Returns a port that was free a moment ago, never the same twice. It is below
// the range from which the system takes ports for outgoing connections, so that
// none of them can take it before the process that it is for.
int FreePort() {
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

std::vector<int> FreePorts(int count) {
  std::vector<int> ports;
  ports.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) ports.push_back(FreePort());
  return ports;
}

json Local(int port) { return {{"ip", "127.0.0.1"}, {"port", port}}; }

json Peer(const std::string& id, int port) {
  json peer = Local(port);
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
std::string EntryName(int index) { return fmt::format("entry-{}", index); }
std::string ControlName(int index) { return fmt::format("control-{}", index); }

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
  if (pid_ < 0) throw std::runtime_error("fork failed");
  if (pid_ == 0) {
    const int log =
        ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDERR_FILENO);
    ::dup2(log, STDOUT_FILENO);
    ::execv(path.c_str(), argv.data());
    ::_exit(127);
  }
}

Process::~Process() { Kill(); }

void Process::Signal(int number) const {
  if (!ended_) ::kill(pid_, number);
}

void Process::Kill() {
  if (ended_) return;
  Signal(SIGKILL);
  Signal(SIGCONT);
  Wait();
}

int Process::Wait() {
  int status = 0;
  if (ended_ || ::waitpid(pid_, &status, 0) != pid_) return -1;
  ended_ = true;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Fleet::Fleet(const FleetShape& shape) : shape_(shape) {
  std::string name =
      (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("mkdtemp");
  folder_ = name;
  for (int i = 0; i < shape.control_hosts; ++i) {
    control_ports_.push_back(FreePorts(kControlPorts));
  }
  for (int i = 0; i < shape.entry_hosts; ++i) {
    entry_ports_.push_back(FreePorts(kEntryPorts));
  }
  for (int i = 0; i < shape.control_hosts; ++i) StartControl(i);
  for (int i = 0; i < shape.entry_hosts; ++i) StartEntry(i);
  for (int zone = 0; zone < shape.zones; ++zone) {
    for (int i = 0; i < shape.servers_in_zone; ++i) StartServer(zone, i);
  }
  Change([this](json& document) { document = Document(); });
}

Fleet::~Fleet() {
  servers_.clear();
  entries_.clear();
  controls_.clear();
  // The logs of a failed test are worth a look.
  const bool keep = std::uncaught_exceptions() > 0 ||
                    std::getenv("KEEP_FLEET_LOGS") != nullptr;
  if (!keep) std::filesystem::remove_all(folder_);
}

json Fleet::ControlHosts() const {
  json hosts = json::array();
  for (int i = 0; i < shape_.control_hosts; ++i) {
    hosts.push_back(Peer(ControlName(i), control_ports_[i][0]));
  }
  return hosts;
}

json Fleet::Document() const {
  json zones = json::object();
  for (int i = 0; i < shape_.zones; ++i) {
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
       {{"key-1", {{"workspace", "kochi"}, {"sha256", Sha256Hex(kKey)}}}}},
      {"operators", {{"op", {{"sha256", Sha256Hex(kOperatorKey)}}}}},
  };
}

void Fleet::StartControl(int index) {
  json voters = json::array();
  for (int i = 0; i < std::min(3, shape_.entry_hosts); ++i) {
    voters.push_back(EntryName(i));
  }
  const auto& ports = control_ports_[index];
  const json settings = {{"role", "control"},
                         {"host_id", ControlName(index)},
                         {"data_folder", folder_ + "/" + ControlName(index)},
                         {"fleet_secret", "a-secret-of-the-test-fleet"},
                         {"first_operator_sha256", Sha256Hex(kOperatorKey)},
                         {"control_hosts", ControlHosts()},
                         {"lease_voters", voters},
                         {"listeners",
                          {{"fleet", Local(ports[0])},
                           {"operators", Local(ports[1])},
                           {"metrics", Local(ports[2])}}}};
  const std::string file = folder_ + "/" + ControlName(index) + ".json";
  WriteFile(file, settings.dump());
  controls_.erase(index);
  controls_[index] = std::make_unique<Process>(
      "sapphirebankd", std::vector<std::string>{"--settings", file},
      folder_ + "/" + ControlName(index) + ".log");
}

void Fleet::StartEntry(int index) {
  json seeds = json::array();
  json voters = json::array();
  for (int i = 0; i < std::min(3, shape_.entry_hosts); ++i) {
    seeds.push_back(Peer(EntryName(i), entry_ports_[i][3]));
    voters.push_back(EntryName(i));
  }
  const auto& ports = entry_ports_[index];
  const json settings = {{"role", "entry"},
                         {"host_id", EntryName(index)},
                         {"zone", ZoneName(index % shape_.zones)},
                         {"fleet_secret", "a-secret-of-the-test-fleet"},
                         {"control_hosts", ControlHosts()},
                         {"seeds", seeds},
                         {"lease_voters", voters},
                         {"listeners",
                          {{"callers", Local(ports[0])},
                           {"announcements", Local(ports[1])},
                           {"forwards", Local(ports[2])},
                           {"datagrams", Local(ports[3])},
                           {"fleet", Local(ports[3])},
                           {"metrics", Local(ports[4])}}}};
  const std::string file = folder_ + "/" + EntryName(index) + ".json";
  WriteFile(file, settings.dump());
  entries_.erase(index);
  entries_[index] = std::make_unique<Process>(
      "sapphirebankd", std::vector<std::string>{"--settings", file},
      folder_ + "/" + EntryName(index) + ".log");
}

void Fleet::StartServer(int zone, int index) {
  const auto key = std::make_pair(zone, index);
  if (!server_ports_.contains(key)) server_ports_[key] = FreePort();
  const std::string id = fmt::format("server-{}-{}", zone, index);
  std::vector<std::string> arguments = {
      "--id",         id,
      "--service",    "permits",
      "--zone",       ZoneName(zone),
      "--port",       std::to_string(server_ports_[key]),
      "--slots",      std::to_string(shape_.slots),
      "--announce-to"};
  for (const auto& ports : entry_ports_) {
    arguments.push_back(fmt::format("127.0.0.1:{}", ports[1]));
  }
  servers_.erase(key);
  servers_[key] = std::make_unique<Process>("stand_in_backend", arguments,
                                            folder_ + "/" + id + ".log");
}

void Fleet::AwaitService() {
  for (int entry = 0; entry < shape_.entry_hosts; ++entry) {
    Await(EntryName(entry) + " answers", [&] {
      const auto answer = Send(entry, "GET", "/permits/ready", WithKey());
      return answer && answer->status == 200;
    });
  }
}

void Fleet::Change(const std::function<void(json& document)>& edit) {
  const std::string change_id = fmt::format("change-{}", next_change_++);
  Await("a change is accepted", [&] {
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
  Await("a change is answered", [&] {
    for (const auto& ports : control_ports_) {
      httplib::Client client("127.0.0.1", ports[1]);
      const auto reply = client.Post("/v1/changes", OperatorHeaders(),
                                     body.dump(), "application/json");
      if (!reply || reply->status >= 500) continue;
      answer = json::parse(reply->body);
      return true;
    }
    return false;
  });
  return answer;
}

json Fleet::ReadDeclarations() {
  json state;
  Await("the declarations can be read", [&] {
    for (int i = 0; i < shape_.control_hosts; ++i) {
      state = ReadDeclarationsFrom(i);
      if (!state.is_null()) return true;
    }
    return false;
  });
  return state;
}

json Fleet::ReadDeclarationsFrom(int control) const {
  httplib::Client client("127.0.0.1", control_ports_.at(control)[1]);
  client.set_read_timeout(seconds(2));
  const auto reply = client.Get("/v1/declarations", OperatorHeaders());
  if (!reply || reply->status != 200) return {};
  return json::parse(reply->body);
}

int Fleet::OperatorStatusOf(int control) const {
  int status = 0;
  Await("a control host answers", [&] {
    httplib::Client client("127.0.0.1", control_ports_.at(control)[1]);
    const auto reply = client.Get("/v1/status", OperatorHeaders());
    if (reply) status = reply->status;
    return status != 0;
  });
  return status;
}

int Fleet::Leader() const {
  std::string leader;
  Await("a leader is known", [&] {
    httplib::Client client("127.0.0.1", control_ports_.front()[1]);
    const auto reply = client.Get("/v1/status", OperatorHeaders());
    if (!reply || reply->status != 200) return false;
    const json status = json::parse(reply->body);
    if (!status.contains("leader") || status["leader"].is_null()) return false;
    leader = status["leader"].get<std::string>();
    return true;
  });
  for (int i = 0; i < shape_.control_hosts; ++i) {
    if (ControlName(i) == leader) return i;
  }
  throw std::runtime_error("the leader is no host of the fleet: " + leader);
}

httplib::Result Fleet::Send(int entry, const std::string& method,
                            const std::string& path,
                            const httplib::Headers& headers,
                            const std::string& body) {
  httplib::Client client("127.0.0.1", entry_port(entry));
  client.set_read_timeout(seconds(30));
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.headers = headers;
  request.body = body;
  return client.send(request);
}

json Fleet::Stats(int zone, int index) const {
  httplib::Client client("127.0.0.1", server_ports_.at({zone, index}));
  const auto answer = client.Get("/stand-in/stats");
  return answer ? json::parse(answer->body) : json();
}

void Fleet::Behave(int zone, int index, const json& behaviour) const {
  httplib::Client client("127.0.0.1", server_ports_.at({zone, index}));
  const auto answer =
      client.Post("/stand-in/behaviour", behaviour.dump(), "application/json");
  if (!answer) throw std::runtime_error("a stand-in does not answer");
}

int Fleet::Effects(const std::string& effect) const {
  int count = 0;
  for (const auto& [key, process] : servers_) {
    const json stats = Stats(key.first, key.second);
    if (stats.is_object()) count += stats.at("effects").value(effect, 0);
  }
  return count;
}

void Await(const std::string& what, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error("never came about: " + what);
    }
    std::this_thread::sleep_for(kPoll);
  }
}

httplib::Headers WithKey(const httplib::Headers& more) {
  httplib::Headers headers = more;
  headers.emplace("x-api-key", Fleet::kKey);
  return headers;
}

}  // namespace sapphirebank::system_tests
