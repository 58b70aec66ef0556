// Case 12: one copy of an order of the operator is held up in the network. The
// operator closes its call after a second and gets the acknowledgement from
// another control host; later it gives the opposite order. Then the held bytes
// arrive.
#include <fmt/format.h>

#include <atomic>
#include <exception>
#include <map>
#include <memory>
#include <set>
#include <thread>

#include "review/harness-3/held_call.h"
#include "review/harness-3/small_fleet.h"
#include "review/harness-3/stand_in_server.h"

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntryHosts = 2;
constexpr auto kContact = seconds(3);
constexpr auto kEvacuation = seconds(5);
// The time for which a machine is cut off in the site file.
constexpr auto kHold = milliseconds(5500);
constexpr auto kOperatorPatience = seconds(1);
constexpr auto kWatched = seconds(12);
constexpr const char* kZone = "kochi";

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
        fleet_({3, kEntryHosts}, FleetTerms()) {}

  int Run() {
    StartServers();
    if (fleet_.Call("config.put", MakePlan().dump()) != 200) return kNotRun;
    if (!WaitFor(seconds(15), [this] { return Serves(); })) {
      record_.Write("the deployment does not serve");
      return kNotRun;
    }
    std::thread callers([this] { SendRequests(); });
    const bool was_played = Play();
    stops_ = true;
    callers.join();
    servers_.clear();
    if (!was_played) return kNotRun;
    record_.Write(
        fmt::format("requests that reached the zone later than {} s "
                    "after the acknowledgement: {}",
                    kEvacuation.count(), late_.load()));
    record_.Write(late_ > 0 ? "broken" : "held");
    return late_ > 0 ? kBroken : kHeld;
  }

 private:
  void StartServers() {
    const std::vector<std::string> control = fleet_.ControlIps();
    for (int i = 0; i < 4; ++i) {
      const std::string zone = i < 2 ? kZone : "thrissur";
      ServerPlace place = {fmt::format("i-{}", i), fleet_.Ip(201 + i), zone};
      StandInServer::Hooks hooks;
      hooks.work = [](const std::string&) { return milliseconds(30); };
      hooks.on_run = [this, zone](const std::string& id) { OnRun(zone, id); };
      servers_.push_back(
          std::make_unique<StandInServer>(place, control, std::move(hooks)));
    }
  }

  void OnRun(const std::string& zone, const std::string& id) {
    if (zone != kZone) return;
    const auto now = Clock::now();
    const std::int64_t out_since = out_since_;
    if (out_since == 0) return;
    const Clock::time_point acked{Clock::duration(out_since)};
    if (now < acked + kEvacuation) return;
    if (late_++ < 5) {
      const std::chrono::duration<double> age = now - acked;
      record_.Write(
          fmt::format("request {} runs in {}, {:.2f} s after the "
                      "acknowledgement of its evacuation",
                      id, zone, age.count()));
    }
  }

  httplib::Result Request(int entry) {
    httplib::Client client(fleet_.EntryIp(entry), SmallFleet::kCallerPort);
    client.set_connection_timeout(1);
    client.set_read_timeout(3);
    const httplib::Headers headers = {
        {"Host", "ficu95.example"},
        {"Sapphirebank-Request-Id", fmt::format("q{}", ++requests_)},
        {"Sapphirebank-Deadline-Ms", "2000"}};
    return client.Get("/lohu930/2f", headers);
  }

  bool Serves() {
    for (int i = 0; i < kEntryHosts; ++i) {
      const auto answer = Request(i);
      if (!answer || answer->status != 200) return false;
    }
    return true;
  }

  void SendRequests() {
    std::map<int, int> statuses;
    for (int i = 0; !stops_; ++i) {
      const auto answer = Request(i % kEntryHosts);
      ++statuses[answer ? answer->status : 0];
      std::this_thread::sleep_for(milliseconds(20));
    }
    for (const auto& [status, count] : statuses) {
      record_.Write(
          fmt::format("requests answered with {}: {}", status, count));
    }
  }

  // Gives an order as the operator does, and returns whether it was
  // acknowledged.
  bool Order(const std::string& call) {
    const int status =
        fleet_.Call(call + "&of=" + kZone, "", nullptr, seconds(4));
    record_.Write(fmt::format("{}: {}", call, status));
    if (status != 200) return false;
    const bool starts = call == "evacuations.start";
    out_since_ = starts ? Clock::now().time_since_epoch().count() : 0;
    return true;
  }

  bool Play() {
    std::this_thread::sleep_for(kContact);
    if (!Order("evacuations.start")) return false;
    std::this_thread::sleep_for(seconds(8));
    // From here on the zone may get requests.
    out_since_ = 0;
    HeldCall call(fleet_.ControlIp(0), SmallFleet::kControlPort,
                  fmt::format("/api/rpc?call=evacuations.end&of={}", kZone),
                  has_trouble_ ? milliseconds(kHold) : milliseconds(0));
    record_.Write("evacuations.end is sent to core-0");
    const int first = call.AwaitStatus(kOperatorPatience);
    record_.Write(fmt::format("core-0 answers {} within a second", first));
    call.Close();
    if (first != 200 && !Order("evacuations.end")) return false;
    std::this_thread::sleep_for(milliseconds(1500));
    if (!Order("evacuations.start")) return false;
    std::this_thread::sleep_for(kWatched);
    record_.Write(fmt::format("the held bytes arrived: {}",
                              call.HasArrived() ? "yes" : "no"));
    return true;
  }

  bool has_trouble_;
  Record record_;
  SmallFleet fleet_;
  std::atomic<int> requests_ = 0;
  std::atomic<int> late_ = 0;
  std::atomic<bool> stops_ = false;
  // When the evacuation in force was acknowledged; 0 without one.
  std::atomic<std::int64_t> out_since_ = 0;
  std::vector<std::unique_ptr<StandInServer>> servers_;
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
