#pragma once

// Stand-ins for the platform, the operator, callers and backend servers, and a
// fleet of the project's processes on loopback addresses.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;
using Seconds = double;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Seconds since the start of the program.
inline Seconds Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

inline void Sleep(Seconds time) {
  if (time > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(time));
}

inline void SleepUntil(Seconds at) { Sleep(at - Now()); }

// Writes record.txt: a line for each event, with the time in seconds.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}

  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    char line[1100];
    std::snprintf(line, sizeof(line), "%8.3f %s\n", Now(), text);
    const std::lock_guard<std::mutex> lock(mutex_);
    out_ << line << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

inline std::string RandomId() {
  static std::atomic<unsigned> count{0};
  char text[32];
  std::snprintf(text, sizeof(text), "%08x%08x",
                static_cast<unsigned>(::getpid()), ++count);
  return text;
}

// --- Sockets -----------------------------------------------------------------

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Returns a connected socket, or -1.
inline int ConnectTo(const std::string& ip, int port, Seconds timeout) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) return -1;
  const int flags = ::fcntl(socket, F_GETFL);
  ::fcntl(socket, F_SETFL, flags | O_NONBLOCK);
  const sockaddr_in address = Address(ip, port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    pollfd waiting{socket, POLLOUT, 0};
    int error = errno;
    if (error == EINPROGRESS &&
        ::poll(&waiting, 1, static_cast<int>(timeout * 1e3)) == 1) {
      socklen_t size = sizeof(error);
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      ::close(socket);
      return -1;
    }
  }
  ::fcntl(socket, F_SETFL, flags);
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

inline bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Appends what arrives until `deadline`. Returns the number of bytes, 0 at the
// end, -1 on an error and -2 when the deadline has passed.
inline int ReadMore(int socket, std::string& buffer, Seconds deadline) {
  pollfd waiting{socket, POLLIN, 0};
  const Seconds left = deadline - Now();
  if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left * 1e3) + 1) <= 0) {
    return -2;
  }
  char bytes[16384];
  const auto got = ::recv(socket, bytes, sizeof(bytes), 0);
  if (got > 0) buffer.append(bytes, static_cast<std::size_t>(got));
  return got > 0 ? static_cast<int>(got) : got == 0 ? 0 : -1;
}

struct Head {
  std::string first_line;
  std::map<std::string, std::string> fields;  // Names in lower case.

  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

inline Head ParseHead(std::string_view text) {
  Head head;
  bool is_first = true;
  while (!text.empty()) {
    const auto end = std::min(text.find("\r\n"), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 2, text.size()));
    if (std::exchange(is_first, false)) {
      head.first_line = std::string(line);
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    head.fields[name] = std::string(value);
  }
  return head;
}

// Reads one message with a body of known length. `buffer` keeps what follows.
inline bool ReadMessage(int socket, std::string& buffer, Seconds deadline,
                        Head& head, std::string& body, int& last) {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    last = ReadMore(socket, buffer, deadline);
    if (last <= 0) return false;
  }
  head = ParseHead(std::string_view(buffer).substr(0, end));
  buffer.erase(0, end + 4);
  const std::size_t length =
      std::strtoul(head.Field("content-length").c_str(), nullptr, 10);
  while (buffer.size() < length) {
    last = ReadMore(socket, buffer, deadline);
    if (last <= 0) return false;
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

struct Answer {
  int status = 0;  // 0 without a complete answer.
  std::string failure;
  Head head;
  std::string body;
};

// Sends one request on a connection of its own and closes it after the answer
// or the timeout.
inline Answer Exchange(const std::string& ip, int port,
                       const std::string& request, Seconds timeout) {
  Answer answer;
  const Seconds deadline = Now() + timeout;
  const int socket = ConnectTo(ip, port, std::min(timeout, 1.0));
  if (socket < 0) {
    answer.failure = "not connected";
    return answer;
  }
  std::string buffer;
  int last = 0;
  if (!SendAll(socket, request)) {
    answer.failure = "not sent";
  } else if (ReadMessage(socket, buffer, deadline, answer.head, answer.body,
                         last)) {
    const auto blank = answer.head.first_line.find(' ');
    if (blank != std::string::npos) {
      answer.status = std::atoi(answer.head.first_line.c_str() + blank + 1);
    }
  } else {
    answer.failure = last == -2 ? "no answer in time" : "connection ended";
  }
  ::close(socket);
  return answer;
}

inline std::string RequestText(
    const std::string& method, const std::string& target,
    const std::string& host,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body) {
  std::string text =
      method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// --- The fleet ---------------------------------------------------------------

inline constexpr int kCallerPort = 8405;
inline constexpr int kReadinessPort = 8406;
inline constexpr int kControlPort = 8407;
inline constexpr int kDirectoryPort = 8404;
inline constexpr int kFleetPort = 7660;
inline constexpr int kServerPort = 8080;
inline constexpr const char* kHostName = "desk.example";

class Process {
 public:
  // Starts `program` as the platform does: in the current folder, with few
  // variables.
  Process(const std::string& program, const std::string& settings,
          const std::string& log) {
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    const std::string boot = "SAPPHIREBANK_BOOT=" + settings;
    const char* const path = std::getenv("PATH");
    const std::string path_variable =
        std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
    const char* const environment[] = {boot.c_str(), path_variable.c_str(),
                                       nullptr};
    const char* const arguments[] = {program.c_str(), nullptr};
    ::execve(program.c_str(), const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
    ::_exit(127);
  }
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const {
    if (pid_ > 0) ::kill(pid_, signal);
  }
  void Kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(std::exchange(pid_, -1), nullptr, 0);
  }
  // Returns whether the process has ended by itself.
  bool HasEnded() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

struct FleetPlan {
  std::vector<std::string> control_zones;
  std::vector<std::string> entry_zones;
  int entry_memory_mb = 260;
};

class Fleet {
 public:
  Fleet(const FleetPlan& plan, Record& record) : plan_(plan), record_(record) {
    char folder[] = "/tmp/sapphirebank-review-XXXXXX";
    if (::mkdtemp(folder) == nullptr) std::exit(kCouldNotRun);
    folder_ = folder;
    ChooseAddresses();
    if (!std::filesystem::exists(kProgram)) {
      std::fprintf(stderr, "%s is not built\n", kProgram);
      std::filesystem::remove_all(folder_);
      std::exit(kCouldNotRun);
    }
    controls_.resize(plan.control_zones.size());
    entries_.resize(plan.entry_zones.size());
    for (std::size_t i = 0; i < controls_.size(); ++i) StartControl(i, true);
    for (std::size_t i = 0; i < entries_.size(); ++i) StartEntry(i);
  }
  ~Fleet() {
    entries_.clear();
    controls_.clear();
    const char* const keep = std::getenv("KEEP_LOGS");
    if (keep == nullptr) std::filesystem::remove_all(folder_);
  }

  std::string ControlIp(std::size_t i) const { return Ip(11 + i); }
  std::string EntryIp(std::size_t i) const { return Ip(51 + i); }
  std::string ServerIp(std::size_t i) const { return Ip(151 + i); }
  std::size_t control_count() const { return controls_.size(); }
  std::size_t entry_count() const { return entries_.size(); }
  Process& control(std::size_t i) { return *controls_.at(i); }
  Process& entry(std::size_t i) { return *entries_.at(i); }
  const std::string& folder() const { return folder_; }

  void StartControl(std::size_t i, bool founds_group) {
    const std::string name = "core-" + std::to_string(i);
    json settings = Settings("control", name, ControlIp(i),
                             plan_.control_zones[i], founds_group);
    settings["listeners"]["control"] = At(ControlIp(i), kControlPort);
    settings["listeners"]["directory"] = At(ControlIp(i), kDirectoryPort);
    settings["data_folder"] = folder_ + "/data-" + std::to_string(i);
    settings["memory_mb"] = 256;
    std::filesystem::create_directories(folder_ + "/data-" + std::to_string(i));
    controls_[i] = Start(name, settings);
  }
  void StartEntry(std::size_t i) {
    const std::string name = "front-" + std::to_string(i);
    json settings =
        Settings("entry", name, EntryIp(i), plan_.entry_zones[i], false);
    settings["listeners"]["callers"] = At(EntryIp(i), kCallerPort);
    settings["listeners"]["readiness"] = At(EntryIp(i), kReadinessPort);
    settings["memory_mb"] = plan_.entry_memory_mb;
    entries_[i] = Start(name, settings);
  }

  bool IsReady(std::size_t entry) const {
    return Exchange(EntryIp(entry), kReadinessPort,
                    RequestText("GET", "/api/ready", "ready", {}, ""), 1)
               .status == 200;
  }
  bool AwaitReady(Seconds timeout) const {
    const Seconds deadline = Now() + timeout;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      while (!IsReady(i)) {
        if (Now() > deadline) return false;
        Sleep(0.1);
      }
    }
    return true;
  }

  // The operator's order: tries the control hosts from `first` on, a second
  // each, for at most `limit`. Returns the host that acknowledged it, or -1.
  int Order(const std::string& call, const std::string& body, std::size_t first,
            Seconds limit = 4) {
    const Seconds deadline = Now() + limit;
    for (std::size_t i = first; Now() < deadline; ++i) {
      const std::size_t at = i % controls_.size();
      const Answer answer =
          Exchange(ControlIp(at), kControlPort,
                   RequestText("POST", "/api/rpc?call=" + call, "control",
                               {{"Content-Type", "application/json"}}, body),
                   1);
      record_.Line("operator: %s to core-%zu: %s", call.c_str(), at,
                   answer.status > 0 ? std::to_string(answer.status).c_str()
                                     : answer.failure.c_str());
      if (answer.status >= 200 && answer.status < 300) {
        return static_cast<int>(at);
      }
      if (answer.status >= 400 && answer.status < 500 && answer.status != 408 &&
          answer.status != 429) {
        return -1;
      }
      if (answer.status > 0 || answer.failure != "no answer in time") {
        Sleep(0.1);
      }
    }
    return -1;
  }

  std::string Ip(std::size_t last) const {
    return prefix_ + std::to_string(last);
  }

 private:
  static constexpr const char* kProgram = "target/bin/sapphirebank_platform";

  static std::string At(const std::string& ip, int port) {
    return ip + ":" + std::to_string(port);
  }

  // Takes a part of the loopback addresses in which the ports are free.
  void ChooseAddresses() {
    std::mt19937 random(std::random_device{}());
    while (true) {
      prefix_ = "127." + std::to_string(64 + random() % 100) + "." +
                std::to_string(random() % 250) + ".";
      const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
      const sockaddr_in address = Address(ControlIp(0), kControlPort);
      const bool is_free =
          ::bind(socket, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0;
      ::close(socket);
      if (is_free) return;
    }
  }

  json Settings(const std::string& role, const std::string& name,
                const std::string& ip, const std::string& zone,
                bool founds_group) const {
    json seeds = json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(3, controls_.size());
         ++i) {
      seeds.push_back(At(ControlIp(i), kControlPort));
    }
    return {
        {"role", role},
        {"host", name},
        {"ip", ip},
        {"zone", zone},
        {"listeners", {{"metrics", At(ip, 9464)}, {"fleet_port", kFleetPort}}},
        {"seeds", std::move(seeds)},
        {"found_group", founds_group},
        {"key_withdrawal", "5000ms"},
        {"plan_change", "2000ms"},
        {"server_departure", "2000ms"},
        {"zone_change", "5000ms"},
        {"acknowledgement", "4000ms"},
        {"grace", "6s"},
        {"longest_lookup_life", "5s"},
        {"link_mbps", 1000.0},
        {"retry_slack", 62}};
  }

  std::unique_ptr<Process> Start(const std::string& name,
                                 const json& settings) {
    const std::string path = folder_ + "/" + name + ".json";
    std::ofstream(path) << settings.dump(2);
    return std::make_unique<Process>(kProgram, path,
                                     folder_ + "/" + name + ".log");
  }

  FleetPlan plan_;
  Record& record_;
  std::string folder_;
  std::string prefix_;
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::unique_ptr<Process>> entries_;
};

// --- Backend servers ---------------------------------------------------------

// What a backend server saw of a request that it began to run.
struct Run {
  Seconds at = 0;
  std::string request;
  std::string server;
  std::string zone;
  std::string workspace;
  std::string target;
};

// All runs at all servers.
class Runs {
 public:
  void Add(Run run) {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back(std::move(run));
  }
  std::vector<Run> All() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

struct ServerSettings {
  std::string id;
  std::string ip;
  std::string service = "desk";
  std::string zone;
  int slots = 4;
  int queue = 12;
  Seconds work = 0.02;
  // Targets that begin so crash the server; empty for none.
  std::string crashing_target;
  Seconds down_time = 2.5;
  // Each start has an id of its own, as most have on the platform.
  bool has_new_id_per_start = false;
  std::size_t answer_bytes = 16;
  // Further field lines of all answers.
  std::string fields;
  // Returns the status of a run; 200 without it.
  std::function<int(const std::string& request)> status_of;
  // Returns bytes that belong to no request and are sent, late, once the next
  // request has arrived on the connection. The argument is the last answer.
  std::function<std::string(const std::string& last_answer)> late_bytes;
};

// A backend server as the platform's pages describe it.
class Server {
 public:
  Server(ServerSettings settings, const Fleet& fleet, Runs& runs,
         Record& record)
      : settings_(std::move(settings)),
        fleet_(fleet),
        runs_(runs),
        record_(record) {
    Listen();
    heartbeats_ = std::thread([this] { SendHeartbeats(); });
  }
  ~Server() {
    stops_ = true;
    if (restarts_.joinable()) restarts_.join();
    CloseAll();
    heartbeats_.join();
    while (connections_ > 0) Sleep(0.01);
  }

  const ServerSettings& settings() const { return settings_; }
  int crashes() const { return crashes_; }
  int runs_lost() const { return runs_lost_; }
  // Requests that were rejected because the server was full.
  int rejections() const { return rejections_; }

 private:
  void Listen() {
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    sequence_ = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      id_ = settings_.id;
      if (settings_.has_new_id_per_start)
        id_ += "-" + std::to_string(++starts_);
    }
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Address(settings_.ip, kServerPort);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(socket, 512) != 0) {
      std::perror("listen");
      std::exit(kCouldNotRun);
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      listener_ = socket;
      is_up_ = true;
    }
    std::thread([this, socket] {
      ++connections_;
      while (true) {
        const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) break;
        const int no_delay = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                     sizeof(no_delay));
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          if (!is_up_) {
            ::close(accepted);
            continue;
          }
          sockets_.insert(accepted);
          ++connections_;
        }
        std::thread([this, accepted] {
          Serve(accepted);
          {
            const std::lock_guard<std::mutex> lock(mutex_);
            sockets_.erase(accepted);
          }
          ::close(accepted);
          --connections_;
        }).detach();
      }
      ::close(socket);
      --connections_;
    }).detach();
  }

  void CloseAll() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_up_ = false;
    ++lifetime_;
    if (listener_ >= 0) ::shutdown(std::exchange(listener_, -1), SHUT_RDWR);
    for (const int socket : sockets_) {
      // Resets the connection, as the end of a process with unread bytes does.
      const linger reset{1, 0};
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      ::shutdown(socket, SHUT_RDWR);
    }
  }

  // The process ends and is back after `down_time`.
  void Crash() {
    ++crashes_;
    runs_lost_ += running_;
    record_.Line("server %s crashes with %d requests in work", id().c_str(),
                 running_.load());
    CloseAll();
    if (restarts_.joinable()) restarts_.join();
    restarts_ = std::thread([this] {
      Sleep(settings_.down_time);
      if (stops_) return;
      Listen();
      record_.Line("server %s has started again", id().c_str());
    });
  }

  void Serve(int socket) {
    std::string buffer;
    std::string answer;
    while (!stops_) {
      Head head;
      std::string body;
      int last = 0;
      if (!ReadMessage(socket, buffer, Now() + 30, head, body, last)) return;
      if (settings_.late_bytes && !answer.empty() &&
          !SendAll(socket, settings_.late_bytes(answer))) {
        return;
      }
      answer = Handle(head);
      if (!SendAll(socket, answer)) return;
    }
  }

  std::string id() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return id_;
  }

  std::string AnswerText(
      const char* status, const Head& head,
      const std::vector<std::pair<std::string, std::string>>& fields,
      const std::string& body) {
    std::string text = std::string("HTTP/1.1 ") + status + "\r\n";
    const bool has_run =
        status[0] != '4' && std::strncmp(status, "503", 3) != 0;
    if (!has_run) text += "Sapphirebank-Not-Executed: 1\r\n";
    text +=
        "Server: desk/1.4 (backend)\r\n"
        "Date: Sun, 06 Dec 2026 05:00:00 GMT\r\n"
        "Content-Type: application/octet-stream\r\n";
    const std::string id = head.Field("sapphirebank-request-id");
    if (!id.empty()) text += "Sapphirebank-Request-Id: " + id + "\r\n";
    for (const auto& [name, value] : fields) {
      text += name + ": " + value + "\r\n";
    }
    const int running = running_;
    text += "Sapphirebank-Server-Load: " +
            std::to_string(std::min(running, settings_.slots)) + "," +
            std::to_string(std::max(running - settings_.slots, 0)) + "," +
            std::to_string(settings_.slots) + "\r\n";
    text += settings_.fields;
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text + body;
  }

  std::string Handle(const Head& head) {
    const auto first = head.first_line.find(' ');
    const auto second = head.first_line.find(' ', first + 1);
    const std::string target =
        head.first_line.substr(first + 1, second - first - 1);
    if (target == "/health") {
      return AnswerText("200 OK", head, {{"Sapphirebank-Instance-Id", id()}},
                        "");
    }
    const std::string expected = head.Field("sapphirebank-expect-instance");
    if (!expected.empty() && expected != id()) {
      return AnswerText("421 Misdirected Request", head, {}, "");
    }
    const int lifetime = lifetime_;
    if (++running_ > settings_.slots + settings_.queue) {
      --running_;
      ++rejections_;
      return AnswerText("503 Service Unavailable", head, {}, "");
    }
    {
      std::unique_lock<std::mutex> lock(slots_mutex_);
      slots_free_.wait(lock, [this] { return in_slots_ < settings_.slots; });
      ++in_slots_;
    }
    runs_.Add({Now(), head.Field("sapphirebank-request-id"), id(),
               settings_.zone, head.Field("sapphirebank-tenant"), target});
    if (!settings_.crashing_target.empty() &&
        target.starts_with(settings_.crashing_target)) {
      Sleep(0.005);
      const std::lock_guard<std::mutex> lock(crash_mutex_);
      if (lifetime == lifetime_) {
        record_.Line("server %s runs request %s for %s", id().c_str(),
                     head.Field("sapphirebank-request-id").c_str(),
                     target.c_str());
        Crash();
      }
    } else {
      Sleep(settings_.work);
    }
    {
      const std::lock_guard<std::mutex> lock(slots_mutex_);
      --in_slots_;
    }
    slots_free_.notify_one();
    const std::string request = head.Field("sapphirebank-request-id");
    const bool fails =
        settings_.status_of && settings_.status_of(request) != 200;
    const std::string text = AnswerText(
        fails ? "500 Internal Server Error" : "200 OK", head,
        {{"Sapphirebank-Server-Stamp", "stamp-" + request}},
        fails ? "not done" : std::string(settings_.answer_bytes, 'x'));
    --running_;
    return text;
  }

  void SendHeartbeats() {
    std::size_t next = static_cast<std::size_t>(::rand());
    while (!stops_) {
      bool is_up = false;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_up = is_up_;
      }
      if (is_up) {
        const json beat = {
            {"service", settings_.service},
            {"address", settings_.ip + ":" + std::to_string(kServerPort)},
            {"zone", settings_.zone},
            {"version", "v1"},
            {"slots", settings_.slots},
            {"state", "ready"},
            {"warmupLeft", "0ms"},
            {"born", born_.load()},
            {"seq", ++sequence_}};
        const std::string request = RequestText(
            "POST", "/api/rpc?call=instances.heartbeat&of=" + id(), "control",
            {{"Content-Type", "application/json"}}, beat.dump());
        for (std::size_t i = 0; i < fleet_.control_count() && !stops_; ++i) {
          const std::size_t at = (next + i) % fleet_.control_count();
          const int status =
              Exchange(fleet_.ControlIp(at), kControlPort, request, 1).status;
          if (status >= 200 && status < 300) break;
        }
        ++next;
      }
      for (int i = 0; i < 15 && !stops_; ++i) Sleep(0.1);
    }
  }

  ServerSettings settings_;
  const Fleet& fleet_;
  Runs& runs_;
  Record& record_;
  std::atomic<bool> stops_{false};
  std::atomic<std::int64_t> born_{0};
  std::atomic<int> sequence_{0};
  std::atomic<int> lifetime_{0};
  std::atomic<int> running_{0};
  std::atomic<int> crashes_{0};
  std::atomic<int> runs_lost_{0};
  std::atomic<int> rejections_{0};
  std::atomic<int> connections_{0};
  mutable std::mutex mutex_;
  std::string id_;
  int starts_ = 0;
  int listener_ = -1;
  bool is_up_ = false;
  std::set<int> sockets_;
  std::mutex crash_mutex_;
  std::mutex slots_mutex_;
  std::condition_variable slots_free_;
  int in_slots_ = 0;
  std::thread heartbeats_;
  std::thread restarts_;
};

// --- Callers -----------------------------------------------------------------

struct Sent {
  Seconds at = 0;
  Seconds answered_at = 0;
  std::size_t entry = 0;
  std::string request;
  Answer answer;
};

// Sends one request to an entry host and waits for its answer. A target that
// ends with a slash is completed with the request's id.
inline Sent Call(const Fleet& fleet, std::size_t entry,
                 const std::string& method, const std::string& target,
                 const std::string& key, const std::string& body = "",
                 int time_left_ms = 3000) {
  Sent sent;
  sent.at = Now();
  sent.entry = entry;
  sent.request = RandomId();
  const std::string path =
      target.ends_with('/') ? target + sent.request : target;
  std::vector<std::pair<std::string, std::string>> fields = {
      {"Sapphirebank-Request-Id", sent.request},
      {"Sapphirebank-Deadline-Ms", std::to_string(time_left_ms)}};
  if (!key.empty()) fields.emplace_back("Authorization", "Token " + key);
  sent.answer = Exchange(fleet.EntryIp(entry), kCallerPort,
                         RequestText(method, path, kHostName, fields, body),
                         time_left_ms / 1e3);
  sent.answered_at = Now();
  return sent;
}

// Calls entry hosts in turn with a steady rate until it is destroyed.
class Traffic {
 public:
  Traffic(const Fleet& fleet, double per_second, std::string method,
          std::string target, std::string key, int threads = 8)
      : fleet_(fleet) {
    for (int i = 0; i < threads; ++i) {
      threads_.emplace_back([this, i, threads, per_second, method, target,
                             key] {
        const Seconds gap = threads / per_second;
        Seconds next = Now() + gap * i / threads;
        std::size_t entry = static_cast<std::size_t>(i);
        while (!stops_) {
          SleepUntil(next);
          next += gap;
          if (next < Now() - 1) next = Now();
          Sent sent =
              Call(fleet_, ++entry % fleet_.entry_count(), method, target, key);
          const std::lock_guard<std::mutex> lock(mutex_);
          sent_.push_back(std::move(sent));
        }
      });
    }
  }
  ~Traffic() { Stop(); }

  void Stop() {
    stops_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }
  std::vector<Sent> All() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return sent_;
  }

 private:
  const Fleet& fleet_;
  std::atomic<bool> stops_{false};
  mutable std::mutex mutex_;
  std::vector<Sent> sent_;
  std::vector<std::thread> threads_;
};

// Returns the plan of a small deployment with a route for lookups that may be
// repeated and one for orders that may not.
inline json MakePlan(int version) {
  return {{"version", "r" + std::to_string(version)},
          {"routes",
           {{"lookup",
             {{"host", kHostName},
              {"pathPrefix", "/lookup/"},
              {"kind", "safe"},
              {"timeout", "2000ms"},
              {"targetLatency", "600ms"},
              {"priority", 2},
              {"service", "desk"},
              {"maxAttempts", 2},
              {"public", false}}},
            {"order",
             {{"host", kHostName},
              {"pathPrefix", "/order/"},
              {"kind", "unsafe"},
              {"timeout", "3000ms"},
              {"targetLatency", "600ms"},
              {"priority", 1},
              {"service", "desk"},
              {"maxAttempts", 2},
              {"public", false}}}}},
          {"services",
           {{"desk",
             {{"healthPath", "/health"},
              {"maxConnections", 390},
              {"protocol", "h1"},
              {"tls", false},
              {"warmup", "3s"},
              {"warmupPerS", 5.9}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeout", "3000ms"},
            {"idleTimeout", "15000ms"}}},
          {"tenants",
           {{"north",
             {{"apiKeys", {"key-north-1"}},
              {"priority", 1},
              {"ratePerS", 2000},
              {"burst", 2000}}}}}};
}

// Prints the result and returns it as the exit status.
inline int Report(int result) {
  std::puts(result == kHeld     ? "held"
            : result == kBroken ? "broken"
                                : "could not run");
  return result;
}

// Returns whether the case is run with its disruption.
inline bool HasTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
