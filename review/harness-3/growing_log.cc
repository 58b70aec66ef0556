// Case 11: the configuration grows by many routes, and then hundreds of changes
// of it follow. The platform kills a process that uses more than its memory.
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <csignal>
#include <exception>
#include <thread>

#include "review/harness-3/small_fleet.h"

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCore = 3;
// As many orders as the pages say may be in progress at once.
constexpr int kOrders = 8;
// The doses of the site file: routes of one growth, which comes several times,
// and the time between two changes of a storm.
constexpr int kRoutesPerGrowth = 350;
constexpr int kGrowths = 16;
constexpr auto kChangePeriod = milliseconds(330);
constexpr auto kChangesEnd = seconds(95);
constexpr int kMaxChanges = 900;
constexpr auto kRestartDelay = milliseconds(500);
constexpr auto kReadBackTime = seconds(12);
constexpr int kEndsOfFault = 3;

json MakePlan(int routes) {
  json plan = {{"services",
                {{"huvo11a",
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
                {{"huka270",
                  {{"apiKeys", {"2b9wu3fexd9dnn2ctnfz"}},
                   {"priority", 1},
                   {"ratePerS", 64},
                   {"burst", 64}}}}}};
  for (int i = 0; i < routes; ++i) {
    plan["routes"][fmt::format("r-{:07}", i)] = {
        {"host", "ficu95.example"},
        {"pathPrefix", fmt::format("/lohu{:04}/", i)},
        {"kind", "safe"},
        {"timeout", "800ms"},
        {"targetLatency", "400ms"},
        {"priority", 2},
        {"service", "huvo11a"},
        {"maxAttempts", 2},
        {"public", false}};
  }
  return plan;
}

class Case {
 public:
  Case(const std::string& record_path, bool has_trouble)
      : has_trouble_(has_trouble),
        record_(record_path),
        fleet_({kCore, 2}, FleetTerms()) {}

  int Run() {
    json plan = MakePlan(10);
    if (!Put(plan)) {
      record_.Write("the first configuration was not acknowledged");
      return kNotRun;
    }
    std::thread platform([this] { WatchMemory(); });
    if (has_trouble_) {
      for (int i = 1; i <= kGrowths; ++i) {
        plan = MakePlan(10 + i * kRoutesPerGrowth);
        Put(plan);
      }
    }
    record_.Write(fmt::format("the configuration has {} routes, {} bytes",
                              plan["routes"].size(), plan.dump().size()));
    changes_start_ = Clock::now();
    std::array<std::thread, kOrders> orders;
    for (auto& thread : orders) {
      thread = std::thread([this, &plan] { SendChanges(plan); });
    }
    for (auto& thread : orders) thread.join();
    const bool is_read = ReadBack();
    stops_ = true;
    platform.join();
    return Judge(is_read);
  }

 private:
  bool Put(json plan) {
    const int version = ++version_;
    plan["version"] = fmt::format("r{}", version);
    plan["routes"].begin().value()["timeout"] =
        fmt::format("{}ms", 800 + version % 100);
    const int status =
        fleet_.Call("config.put", plan.dump(), nullptr, seconds(4));
    if (status != 200) {
      record_.Write(fmt::format("r{}: no acknowledgement in 4 s", version));
      return false;
    }
    int acknowledged = acknowledged_;
    while (acknowledged < version &&
           !acknowledged_.compare_exchange_weak(acknowledged, version)) {
    }
    if (++acknowledgements_ % 25 == 0) {
      record_.Write(
          fmt::format("{} changes acknowledged; memory {:.0f} {:.0f} {:.0f} MB",
                      acknowledgements_.load(), fleet_.ControlMemoryMb(0),
                      fleet_.ControlMemoryMb(1), fleet_.ControlMemoryMb(2)));
    }
    return true;
  }

  void SendChanges(const json& plan) {
    while (Clock::now() - start_ < kChangesEnd && version_ < kMaxChanges &&
           !IsFault()) {
      const int number = changes_begun_++;
      std::this_thread::sleep_until(changes_start_ + number * kChangePeriod);
      Put(plan);
    }
  }

  // Kills processes over their memory and starts ended ones, as the platform
  // does.
  void WatchMemory() {
    while (!stops_) {
      std::this_thread::sleep_for(milliseconds(100));
      for (int i = 0; i < kCore; ++i) {
        auto& restart_at = restart_at_.at(i);
        if (restart_at) {
          if (Clock::now() < *restart_at) continue;
          restart_at.reset();
          fleet_.StartControl(i, false);
          continue;
        }
        const double used = fleet_.ControlMemoryMb(i);
        const bool is_over = used > fleet_.terms().control_memory_mb;
        if (is_over) {
          fleet_.SignalControl(i, SIGKILL);
          fleet_.ReapControl(i);
        } else if (!fleet_.ControlHasEnded(i)) {
          continue;
        }
        ++ends_.at(i);
        restart_at = Clock::now() + kRestartDelay;
        record_.Write(fmt::format(
            "core-{} ended by itself for the {}. time: {}", i,
            ends_.at(i).load(),
            is_over ? fmt::format("{:.0f} MB", used) : "it exited"));
      }
    }
  }

  // Reads the configuration as the operator does at the end of a day.
  bool ReadBack() {
    const auto end = Clock::now() + kReadBackTime;
    while (Clock::now() < end) {
      std::string answer;
      const int status =
          fleet_.Call("config.get", "", &answer, milliseconds(2500));
      int version = 0;
      if (status == 200) {
        version = std::stoi(
            json::parse(answer).at("version").get<std::string>().substr(1));
      }
      record_.Write(fmt::format("read back: status {}, r{} (acknowledged r{})",
                                status, version, acknowledged_.load()));
      if (version >= acknowledged_) return true;
      std::this_thread::sleep_for(seconds(1));
    }
    return false;
  }

  // Returns whether processes ended by themselves three times on half of the
  // core.
  bool IsFault() const {
    int machines = 0;
    for (const auto& ends : ends_) machines += ends >= kEndsOfFault ? 1 : 0;
    return 2 * machines >= kCore;
  }

  int Judge(bool is_read) {
    record_.Write(fmt::format(
        "{} changes acknowledged; ends by themselves: {} {} {}; read back: {}",
        acknowledgements_.load(), ends_[0].load(), ends_[1].load(),
        ends_[2].load(), is_read ? "yes" : "no"));
    const bool is_broken = IsFault() || !is_read;
    record_.Write(is_broken ? "broken" : "held");
    return is_broken ? kBroken : kHeld;
  }

  bool has_trouble_;
  Record record_;
  SmallFleet fleet_;
  Clock::time_point start_ = Clock::now();
  Clock::time_point changes_start_;
  std::atomic<int> changes_begun_ = 0;
  std::atomic<int> version_ = 0;
  std::atomic<int> acknowledged_ = 0;
  std::atomic<int> acknowledgements_ = 0;
  std::atomic<bool> stops_ = false;
  std::array<std::atomic<int>, kCore> ends_{};
  // Accessed by the platform's thread alone.
  std::array<std::optional<Clock::time_point>, kCore> restart_at_;
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
