#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/harness-2/fleet.h"
#include "review/harness-2/record.h"
#include "review/harness-2/stand_ins.h"

// A request crashes each server that begins to run it, and comes again. The
// leading control host is killed, twice.
namespace review {
namespace {

constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kCatchUpMs = 4000;
constexpr int kMaxRetries = 3;  // Of the rule.

struct Crash {
  std::int64_t at_ms = 0;
  std::string request_id;
};

class Case {
 public:
  explicit Case(Record& record)
      : record_(record),
        fleet_(record, {"kochi", "kochi", "thrissur"}, {"kochi", "thrissur"}),
        operator_desk_(fleet_) {
    const auto run = [this](Server&, const Arrival& arrival) {
      return Run(arrival);
    };
    for (std::size_t i = 0; i < 5; ++i) {
      servers_.push_back(std::make_unique<Server>(
          fleet_,
          Server::Settings{.id = "i-" + std::to_string(i),
                           .ip = fleet_.ServerIp(i)},
          run));
    }
    ended_at_.resize(servers_.size());
  }

  bool Holds() {
    BeginTraffic(fleet_, operator_desk_, MakeConfiguration(1));
    calm_since_ = record_.Now();
    // The request comes until it has crashed three servers, and once more.
    for (int i = 0; i < 20 && CrashCount() < 3; ++i) SendPoison(1000);
    if (CrashCount() < 3) throw CannotRun("the request did not crash three");
    third_crash_at_ = LastCrash();
    Pass(kContactMs + 1000);
    for (int round = 0; round < 2; ++round) {
      if (HasTrouble()) RestartLeader();
      Pass(kContactMs + kCatchUpMs);
      for (int i = 0; i < 4; ++i) SendPoison(3000);
    }
    record_.Write(fmt::format(
        "{} retries reached servers, sent by machines in touch later than {} "
        "ms after the third crash; {} are allowed",
        retries_, kContactMs, kMaxRetries));
    return retries_ <= kMaxRetries;
  }

 private:
  Server::Reply Run(const Arrival& arrival) {
    record_.Write(fmt::format("server {}: runs {} {}", arrival.server,
                              arrival.request_id, arrival.request.first_line));
    if (arrival.request.SecondWord() != "/order/poison") {
      return {Server::SoundAnswer(arrival.request_id, "ok")};
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    crashes_.push_back({arrival.at_ms, arrival.request_id});
    record_.Write(fmt::format("server {}: crashes", arrival.server));
    return {.bytes = {}, .keep = false, .crashes = true};
  }

  std::size_t CrashCount() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return crashes_.size();
  }
  std::int64_t LastCrash() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return crashes_.back().at_ms;
  }

  // Lets time pass. Servers that crashed come back after two seconds, each
  // under an id of its own.
  void Pass(std::int64_t ms) {
    const std::int64_t end = record_.Now() + ms;
    while (record_.Now() < end) {
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        if (servers_[i]->is_up()) {
          ended_at_[i] = 0;
        } else if (ended_at_[i] == 0) {
          ended_at_[i] = record_.Now();
        } else if (record_.Now() - ended_at_[i] >= 2000) {
          servers_[i]->BeginAgain(fmt::format("i-{}", next_id_++));
        }
      }
      const std::string id = "q" + std::to_string(next_request_++);
      const auto answer = SendRequest(fleet_, next_request_ % 2,
                                      {.path = "/lookup/1", .id = id});
      record_.Write(fmt::format("caller: {} answered {}", id,
                                answer ? answer->Status() : 0));
      SleepMs(100);
    }
  }

  // Sends the request that crashes servers, and counts it if it is a retry of
  // the rule and reached a server.
  void SendPoison(std::int64_t pause_ms) {
    const std::string id = "p" + std::to_string(next_request_++);
    const std::int64_t sent_at = record_.Now();
    const std::size_t crashes = CrashCount();
    const auto answer = SendRequest(
        fleet_, next_request_ % 2,
        {.method = "POST", .path = "/order/poison", .id = id, .body = "x"});
    record_.Write(fmt::format("caller: {} (crashes servers) answered {}", id,
                              answer ? answer->Status() : 0));
    SleepMs(50);
    const bool is_counted = third_crash_at_ > 0 &&
                            sent_at > third_crash_at_ + kContactMs &&
                            sent_at > calm_since_ + kContactMs;
    if (is_counted && CrashCount() > crashes) ++retries_;
    Pass(pause_ms);
  }

  void RestartLeader() {
    const std::size_t leader = fleet_.Leader();
    record_.Write(fmt::format("kill core-{}", leader));
    fleet_.control(leader).Kill();
    Pass(1000);
    fleet_.StartControl(leader, false);
    calm_since_ = record_.Now();
  }

  Record& record_;
  Fleet fleet_;
  Operator operator_desk_;
  std::mutex mutex_;
  std::vector<Crash> crashes_;
  std::vector<std::int64_t> ended_at_;
  std::int64_t third_crash_at_ = 0;
  std::int64_t calm_since_ = 0;
  int next_id_ = 100;
  int next_request_ = 0;
  int retries_ = 0;
  std::vector<std::unique_ptr<Server>> servers_;
};

}  // namespace
}  // namespace review

int main(int /*count*/, char** arguments) {
  review::Record record(arguments[1]);
  return review::RunCase(record, [](review::Record& out) {
    review::Case poison(out);
    return poison.Holds();
  });
}
