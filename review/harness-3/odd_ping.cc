// Case 15: another writer sends one ping with a long list where a number
// belongs, to one control host after the other, and the operator reads the
// configuration back.
#include <fmt/format.h>
#include <httplib.h>

#include <array>
#include <atomic>
#include <exception>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/harness-3/small_fleet.h"
#include "review/harness-3/stand_in_server.h"

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCore = 3;
constexpr int kEntries = 2;
constexpr int kServers = 3;
constexpr int kOk = 200;
constexpr auto kContact = seconds(3);
constexpr auto kReadBackTime = seconds(20);
// An odd entry has this many empty tables in place of a number.
constexpr int kTables = 700'000;

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

class Case {
 public:
  Case(const std::string& record_path, bool has_trouble)
      : has_trouble_(has_trouble),
        record_(record_path),
        fleet_({kCore, kEntries}, FleetTerms()) {}

  int Run() {
    const std::vector<std::string> control = fleet_.ControlIps();
    for (int i = 0; i < kServers; ++i) {
      StandInServer::Hooks hooks;
      hooks.work = [](const std::string&) { return milliseconds(160); };
      servers_.push_back(std::make_unique<StandInServer>(
          ServerPlace{fmt::format("i-{}", i), fleet_.Ip(201 + i)}, control,
          std::move(hooks)));
    }
    if (fleet_.Call("config.put", MakePlan().dump()) != kOk) return kNotRun;
    record_.Write("r1 is acknowledged");
    for (int i = 0; i < kEntries; ++i) {
      if (!WaitFor(seconds(15), [this, i] { return IsServed(i); })) {
        return kNotRun;
      }
    }
    std::thread callers([this] { SendRequests(); });
    // No machine was started in the last `contact`.
    std::this_thread::sleep_for(kContact + seconds(1));
    SendPing();
    std::this_thread::sleep_for(seconds(10));
    const bool is_read = ReadBack();
    stops_ = true;
    callers.join();
    for (int i = 0; i < kCore; ++i) {
      const char* const state =
          fleet_.ControlHasEnded(i) ? "has ended" : "runs";
      record_.Write(fmt::format("core-{} {}", i, state));
    }
    record_.Write(is_read ? "held" : "broken");
    return is_read ? kHeld : kBroken;
  }

 private:
  // The ping of a worker whose `slots` may have another type.
  std::string PingBody() const {
    const std::string slots =
        has_trouble_ ? json(std::vector<json>(kTables, json::object())).dump()
                     : "3";
    return fmt::format(
        R"({{"service":"huvo11a","address":"{}:8080","zone":"kochi",)"
        R"("version":"v1","slots":{},"state":"ready","warmupLeft":"0ms",)"
        R"("born":{},"seq":1}})",
        fleet_.Ip(210), slots, UnixMs());
  }

  // Sends one ping, to the next node when a second has brought no
  // acknowledgement, to each node once.
  void SendPing() {
    const std::string body = PingBody();
    record_.Write(fmt::format("a ping of {} bytes begins", body.size()));
    for (int i = 0; i < kCore; ++i) {
      httplib::Client client(fleet_.ControlIp(i), SmallFleet::kControlPort);
      client.set_connection_timeout(1);
      client.set_read_timeout(1);
      client.set_write_timeout(1);
      const auto answer = client.Post(
          "/api/rpc?call=instances.heartbeat&of=i-9", body, "application/json");
      record_.Write(fmt::format("core-{} answers the ping {}", i,
                                answer ? answer->status : 0));
      if (answer && answer->status == kOk) return;
    }
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
      if (status == kOk) {
        return json::parse(answer).at("version") == "r1";
      }
    }
    return false;
  }

  bool IsServed(int entry) {
    httplib::Client client(fleet_.EntryIp(entry), SmallFleet::kCallerPort);
    client.set_connection_timeout(1);
    client.set_read_timeout(3);
    const httplib::Headers headers = {
        {"Host", "ficu95.example"},
        {"Sapphirebank-Request-Id", fmt::format("q-{}", ++requests_)},
        {"Sapphirebank-Deadline-Ms", "3000"}};
    const auto answer = client.Get("/lohu930/status", headers);
    const int status = answer ? answer->status : 0;
    if (status != last_status_.at(entry)) {
      last_status_.at(entry) = status;
      record_.Write(fmt::format("front-{} answers {}", entry, status));
    }
    return status == kOk;
  }

  // Sends requests and records when their answers change.
  void SendRequests() {
    while (!stops_) {
      for (int i = 0; i < kEntries; ++i) IsServed(i);
      std::this_thread::sleep_for(milliseconds(250));
    }
  }

  bool has_trouble_;
  Record record_;
  SmallFleet fleet_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
  std::array<int, kEntries> last_status_ = {};
  std::atomic<int> requests_ = 0;
  std::atomic<bool> stops_ = false;
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
