#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/harness-2/fleet.h"
#include "review/harness-2/record.h"
#include "review/harness-2/stand_ins.h"

namespace review {

// A request that crashes each server which begins to run it, and comes again.
// Counts the retries of the rule BUDGET: those that reach a server, sent later
// than `contact` after the third crash and after the core was last disturbed.
class CrashingRequest {
 public:
  static constexpr std::int64_t kContactMs = 3000;

  // Servers come back two seconds after a crash, each under its former id if
  // `keeps_ids`, else under a new one.
  CrashingRequest(Record& record, std::size_t servers, bool keeps_ids)
      : record_(record),
        fleet_(record, {"kochi", "kochi", "thrissur"}, {"kochi", "thrissur"}),
        operator_desk_(fleet_),
        keeps_ids_(keeps_ids),
        ended_at_(servers) {
    const auto run = [this](Server&, const Arrival& arrival) {
      return Run(arrival);
    };
    for (std::size_t i = 0; i < servers; ++i) {
      servers_.push_back(std::make_unique<Server>(
          fleet_,
          Server::Settings{.id = "i-" + std::to_string(i),
                           .ip = fleet_.ServerIp(i)},
          run));
    }
    BeginTraffic(fleet_, operator_desk_, MakeConfiguration(1));
    calm_since_ = record_.Now();
  }

  Fleet& fleet() { return fleet_; }
  int retries() const { return retries_; }
  std::size_t CrashCount() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return crashed_at_.size();
  }
  // Records that the core was disturbed until now.
  void SetCalm() { calm_since_ = record_.Now(); }

  // Lets time pass, with traffic.
  void Pass(std::int64_t ms) {
    const std::int64_t end = record_.Now() + ms;
    while (record_.Now() < end) {
      BringServersBack();
      const std::string id = "q" + std::to_string(next_request_++);
      const auto answer = SendRequest(fleet_, next_request_ % 2,
                                      {.path = "/lookup/1", .id = id});
      record_.Write(fmt::format("caller: {} answered {}", id,
                                answer ? answer->Status() : 0));
      SleepMs(100);
    }
  }

  // Sends the request that crashes servers, then lets time pass.
  void Send(std::int64_t pause_ms) {
    const std::string id = "p" + std::to_string(next_request_++);
    const std::int64_t sent_at = record_.Now();
    const std::size_t crashes = CrashCount();
    const std::int64_t third_at = ThirdCrash();
    const auto answer = SendRequest(
        fleet_, next_request_ % 2,
        {.method = "POST", .path = "/order/poison", .id = id, .body = "x"});
    record_.Write(fmt::format("caller: {} (crashes servers) answered {}", id,
                              answer ? answer->Status() : 0));
    SleepMs(50);
    const bool is_counted = third_at > 0 && sent_at > third_at + kContactMs &&
                            sent_at > calm_since_ + kContactMs;
    if (is_counted && CrashCount() > crashes) ++retries_;
    Pass(pause_ms);
  }

 private:
  Server::Reply Run(const Arrival& arrival) {
    record_.Write(fmt::format("server {}: runs {} {}", arrival.server,
                              arrival.request_id, arrival.request.first_line));
    if (arrival.request.SecondWord() != "/order/poison") {
      return {Server::SoundAnswer(arrival.request_id, "ok")};
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    crashed_at_.push_back(arrival.at_ms);
    record_.Write(fmt::format("server {}: crashes", arrival.server));
    return {.bytes = {}, .keep = false, .crashes = true};
  }

  std::int64_t ThirdCrash() {
    constexpr std::size_t kThird = 2;
    const std::lock_guard<std::mutex> lock(mutex_);
    return crashed_at_.size() > kThird ? crashed_at_[kThird] : 0;
  }

  void BringServersBack() {
    constexpr std::int64_t kDownMs = 2000;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i]->is_up()) {
        ended_at_[i] = 0;
      } else if (ended_at_[i] == 0) {
        ended_at_[i] = record_.Now();
      } else if (record_.Now() - ended_at_[i] >= kDownMs) {
        ended_at_[i] = 0;
        servers_[i]->BeginAgain(keeps_ids_ ? servers_[i]->settings().id
                                           : fmt::format("i-{}", next_id_++));
      }
    }
  }

  Record& record_;
  Fleet fleet_;
  Operator operator_desk_;
  bool keeps_ids_;
  std::mutex mutex_;
  std::vector<std::int64_t> crashed_at_;
  std::vector<std::int64_t> ended_at_;
  std::int64_t calm_since_ = 0;
  int next_id_ = 100;
  int next_request_ = 0;
  int retries_ = 0;
  std::vector<std::unique_ptr<Server>> servers_;
};

}  // namespace review
