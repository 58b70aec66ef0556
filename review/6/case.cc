#include <signal.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/harness-2/fleet.h"
#include "review/harness-2/record.h"
#include "review/harness-2/stand_ins.h"

// An operator takes a zone back and evacuates it again while one control host
// is frozen. The frozen host gets the first of these orders, and executes it
// when it wakes, long after the operator has sent it elsewhere.
namespace review {
namespace {

constexpr std::size_t kControlHosts = 3;
constexpr const char* kZone = "thrissur";

// Bounds of the settings.
constexpr std::int64_t kEvacuationMs = 5000;
constexpr std::int64_t kContactMs = 3000;

// Sends lookups through both entry hosts, in turn, until it is destroyed.
class Traffic {
 public:
  explicit Traffic(Fleet& fleet)
      : fleet_(fleet), thread_([this] { SendAll(); }) {}
  ~Traffic() {
    is_over_ = true;
    thread_.join();
  }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

 private:
  void SendAll() {
    for (int i = 0; !is_over_; ++i) {
      const std::string id = "q" + std::to_string(i);
      fleet_.record().Write(fmt::format("caller: sends {}", id));
      const auto answer = SendRequest(
          fleet_, i % 2, {.path = "/lookup/" + std::to_string(i), .id = id});
      fleet_.record().Write(fmt::format("caller: {} answered {}", id,
                                        answer ? answer->Status() : 0));
      SleepMs(40);
    }
  }

  Fleet& fleet_;
  std::atomic<bool> is_over_{false};
  std::thread thread_;
};

bool EvacuationHolds(Record& record) {
  Fleet fleet(record, {"kochi", "kochi", kZone}, {"kochi", kZone});
  std::mutex mutex;
  std::vector<std::int64_t> runs_in_zone;
  const auto run = [&](Server& server, const Arrival& arrival) {
    record.Write(fmt::format("server {} in {}: runs {}", arrival.server,
                             server.settings().zone, arrival.request_id));
    if (server.settings().zone == kZone) {
      const std::lock_guard<std::mutex> lock(mutex);
      runs_in_zone.push_back(arrival.at_ms);
    }
    SleepMs(5);
    return Server::Reply{Server::SoundAnswer(arrival.request_id, "ok")};
  };
  std::vector<std::unique_ptr<Server>> servers;
  for (std::size_t i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<Server>(
        fleet,
        Server::Settings{.id = "i-" + std::to_string(i),
                         .ip = fleet.ServerIp(i),
                         .zone = i < 2 ? "kochi" : kZone},
        run));
  }
  Operator operator_desk(fleet);
  BeginTraffic(fleet, operator_desk, MakeConfiguration(1));
  const Traffic traffic(fleet);
  SleepMs(3000);

  const std::string start = std::string("evacuations.start&of=") + kZone;
  const std::string end = std::string("evacuations.end&of=") + kZone;
  const std::size_t leader = fleet.Leader();
  const std::size_t frozen = (leader + 1) % kControlHosts;
  const std::size_t other = (leader + 2) % kControlHosts;
  operator_desk.MustOrder(start, "", other);
  SleepMs(6000);

  if (HasTrouble()) {
    record.Write(fmt::format("freeze core-{}", frozen));
    fleet.control(frozen).Send(SIGSTOP);
    SleepMs(100);
  }
  operator_desk.MustOrder(end, "", frozen);
  operator_desk.MustOrder(start, "", other);
  const std::int64_t acknowledged_at = record.Now();
  SleepMs(200);
  if (HasTrouble()) {
    record.Write(fmt::format("thaw core-{}", frozen));
    fleet.control(frozen).Send(SIGCONT);
  }
  const std::int64_t thawed_at = record.Now();
  const std::int64_t judged_from =
      std::max(acknowledged_at + kEvacuationMs, thawed_at + kContactMs);
  SleepMs(judged_from + 8000 - record.Now());

  const std::lock_guard<std::mutex> lock(mutex);
  const auto late =
      std::count_if(runs_in_zone.begin(), runs_in_zone.end(),
                    [&](std::int64_t at_ms) { return at_ms > judged_from; });
  record.Write(
      fmt::format("{} requests ran in {} later than {} ms, with its evacuation "
                  "acknowledged at {} ms and not taken back",
                  late, kZone, judged_from, acknowledged_at));
  return late == 0;
}

}  // namespace
}  // namespace review

int main(int /*count*/, char** arguments) {
  review::Record record(arguments[1]);
  return review::RunCase(record, review::EvacuationHolds);
}
