// Case 13: an entry host gets SIGTERM where the grace is 10 s. It takes new
// requests for half of that time and breaks off what its servers still work on
// at seven eighths of it.
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <exception>
#include <memory>
#include <thread>

#include "review/harness-3/small_fleet.h"
#include "review/harness-3/stand_in_server.h"

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServers = 3;
constexpr auto kContact = seconds(3);
constexpr auto kGrace = seconds(10);
// The excuse of the rule holds for requests that were sent by then.
constexpr auto kExcused = seconds(3);
constexpr auto kSentAt = milliseconds(4700);
// Within what the site file says of the kind of request.
constexpr auto kUsualWork = milliseconds(610);
constexpr auto kLongWork = milliseconds(4500);
constexpr auto kTimeBudget = milliseconds(10000);

json MakePlan() {
  return {{"version", "r1"},
          {"routes",
           {{"r-lookup",
             {{"host", "ficu95.example"},
              {"pathPrefix", "/lohu930/"},
              {"kind", "safe"},
              {"timeout", "10000ms"},
              {"targetLatency", "2000ms"},
              {"priority", 0},
              {"service", "huvo11a"},
              {"maxAttempts", 2},
              {"public", true}}}}},
          {"services",
           {{"huvo11a",
             {{"healthPath", "/health"},
              {"maxConnections", 1170},
              {"protocol", "h1"},
              {"tls", false}}}}},
          {"limits", {{"idleTimeout", "15000ms"}}}};
}

FleetTerms MakeTerms() {
  FleetTerms terms;
  terms.grace = "10s";
  return terms;
}

class Case {
 public:
  Case(const std::string& record_path, bool has_trouble)
      : has_trouble_(has_trouble),
        record_(record_path),
        fleet_({3, 2}, MakeTerms()) {}

  int Run() {
    const std::vector<std::string> control = fleet_.ControlIps();
    for (int i = 0; i < kServers; ++i) {
      StandInServer::Hooks hooks;
      hooks.work = [](const std::string& path) {
        return path.ends_with("/long") ? kLongWork : kUsualWork;
      };
      hooks.on_run = [this, i](const std::string& id) {
        if (id == kLongId) ++runs_;
        record_.Write(fmt::format("server i-{} runs {}", i, id));
      };
      hooks.on_end = [this, i](const std::string& id) {
        if (id == kLongId) --runs_;
        record_.Write(fmt::format("server i-{} ends its work on {}", i, id));
      };
      servers_.push_back(std::make_unique<StandInServer>(
          ServerPlace{fmt::format("i-{}", i), fleet_.Ip(201 + i)}, control,
          std::move(hooks)));
    }
    if (fleet_.Call("config.put", MakePlan().dump()) != 200) return kNotRun;
    for (int i = 0; i < 2; ++i) {
      const bool serves = WaitFor(seconds(15), [this, i] {
        const auto answer = Send(i, "warm-up", "usual");
        return answer && answer->status == 200;
      });
      if (!serves) return kNotRun;
    }
    // No machine was started in the last `contact`.
    std::this_thread::sleep_for(kContact + seconds(1));
    const int result = Play();
    std::this_thread::sleep_for(seconds(5));
    servers_.clear();
    return result;
  }

 private:
  static constexpr const char* kLongId = "q-long";

  httplib::Result Send(int entry, const std::string& id,
                       const std::string& path) {
    httplib::Client client(fleet_.EntryIp(entry), SmallFleet::kCallerPort);
    client.set_connection_timeout(1);
    client.set_read_timeout(11);
    const httplib::Headers headers = {
        {"Host", "ficu95.example"},
        {"Sapphirebank-Request-Id", id},
        {"Sapphirebank-Deadline-Ms", std::to_string(kTimeBudget.count())}};
    return client.Get("/lohu930/" + path, headers);
  }

  int Play() {
    const auto signal_at = Clock::now();
    if (has_trouble_) {
      fleet_.SignalEntry(0, SIGTERM);
      record_.Write("front-0 gets SIGTERM");
    }
    std::this_thread::sleep_until(signal_at + kSentAt);
    const auto sent_at = Clock::now();
    record_.Write(fmt::format("{} is sent to front-0", kLongId));
    const auto answer = Send(0, kLongId, "long");
    const int running = runs_;
    const auto ended_at = Clock::now();
    const std::chrono::duration<double> sent = sent_at - signal_at;
    const std::chrono::duration<double> ended = ended_at - signal_at;
    const int status = answer ? answer->status : 0;
    const bool is_servers =
        answer && answer->has_header("Sapphirebank-Server-Stamp");
    record_.Write(fmt::format(
        "{}: sent {:.2f} s after the signal, ended after {:.2f} s with {}{}, "
        "servers at work on it: {}",
        kLongId, sent.count(), ended.count(),
        answer ? std::to_string(status) : "a closed connection",
        is_servers ? " of a server" : "", running));
    const bool is_in_window = ended_at < signal_at + kGrace + seconds(1);
    const bool is_broken = !is_servers && running > 0 && is_in_window &&
                           sent_at > signal_at + kExcused &&
                           ended_at < sent_at + kTimeBudget;
    record_.Write(is_broken ? "broken" : "held");
    if (is_broken) return kBroken;
    // A refusal is no loss, but shows nothing either.
    return kHeld;
  }

  bool has_trouble_;
  Record record_;
  SmallFleet fleet_;
  std::atomic<int> runs_ = 0;
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
