// Case 14: as many consumers as the sweep has keep a connection to the
// directory of each control host open, and the operator reads the configuration
// back.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <exception>
#include <thread>
#include <vector>

#include "review/harness-3/small_fleet.h"

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCore = 3;
constexpr int kMaxFds = 4096;
// Connections at a control host: as many as at one of the sweep with 300
// machines, or as the consumers of the site could have.
constexpr int kManyConnections = 4389;
constexpr int kUsualConnections = 544;
constexpr int kConnectionsOfOneProcess = 900;
constexpr auto kContact = seconds(3);
constexpr auto kReadBackTime = seconds(20);

json MakePlan() {
  return {{"version", "r1"},
          {"routes",
           {{"r-lookup",
             {{"host", "ficu95.example"},
              {"pathPrefix", "/lohu930/"},
              {"kind", "safe"},
              {"timeout", "2000ms"},
              {"targetLatency", "600ms"},
              {"priority", 1},
              {"service", "huvo11a"},
              {"maxAttempts", 2},
              {"public", true}}}}},
          {"services",
           {{"huvo11a",
             {{"healthPath", "/health"},
              {"maxConnections", 390},
              {"protocol", "h1"},
              {"tls", false}}}}},
          {"limits", {{"idleTimeout", "15000ms"}}}};
}

// Asks the directory at `ip` over `count` connections and keeps them open.
[[noreturn]] void KeepConnections(const std::string& ip, int count) {
  constexpr std::string_view kLookup =
      "GET /api/resolve?name=ficu95.example&region=kerala&zone=kochi "
      "HTTP/1.1\r\nHost: ficu95.example\r\n\r\n";
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(SmallFleet::kDirectoryPort);
  ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
  for (int i = 0; i < count; ++i) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) ==
        0) {
      ::send(fd, kLookup.data(), kLookup.size(), MSG_NOSIGNAL);
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  while (true) ::pause();
}

FleetTerms MakeTerms() {
  FleetTerms terms;
  terms.control_max_fds = kMaxFds;
  return terms;
}

class Case {
 public:
  Case(const std::string& record_path, bool has_trouble)
      : connections_(has_trouble ? kManyConnections : kUsualConnections),
        record_(record_path),
        fleet_({kCore, 2}, MakeTerms()) {}
  ~Case() {
    for (const pid_t pid : consumers_) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
  }
  Case(const Case&) = delete;
  Case& operator=(const Case&) = delete;

  int Run() {
    if (fleet_.Call("config.put", MakePlan().dump()) != 200) return kNotRun;
    record_.Write("r1 is acknowledged");
    std::this_thread::sleep_for(seconds(4));
    for (int i = 0; i < kCore; ++i) {
      int left = connections_;
      for (; left > 0; left -= kConnectionsOfOneProcess) {
        StartConsumers(fleet_.ControlIp(i),
                       std::min(left, kConnectionsOfOneProcess));
      }
    }
    std::this_thread::sleep_for(seconds(5));
    record_.Write(
        fmt::format("{} connections to each directory are open", connections_));
    const bool is_read = ReadBack();
    for (int i = 0; i < kCore; ++i) {
      if (fleet_.ControlHasEnded(i)) {
        record_.Write(fmt::format("core-{} ended", i));
      }
    }
    record_.Write(is_read ? "held" : "broken");
    return is_read ? kHeld : kBroken;
  }

 private:
  void StartConsumers(const std::string& ip, int count) {
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      KeepConnections(ip, count);
    }
    if (pid > 0) consumers_.push_back(pid);
  }

  // Reads the configuration as the operator does at the end of a day, for
  // longer than `contact`.
  bool ReadBack() {
    const auto begin = Clock::now();
    while (Clock::now() < begin + kReadBackTime) {
      std::string answer;
      const int status = fleet_.Call("config.get", "", &answer, kContact);
      const std::chrono::duration<double> passed = Clock::now() - begin;
      record_.Write(
          fmt::format("config.get: {} after {:.1f} s", status, passed.count()));
      if (status == 200) return true;
    }
    return false;
  }

  int connections_;
  Record record_;
  SmallFleet fleet_;
  std::vector<pid_t> consumers_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return review::kNotRun;
  try {
    return review::Case(argv[1], !review::WithoutTrouble()).Run();
  } catch (const std::exception& e) {
    fmt::print(stderr, "{}\n", e.what());
    return review::kNotRun;
  }
}
