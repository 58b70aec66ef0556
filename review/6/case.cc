#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "review/harness-2/fleet.h"
#include "review/harness-2/record.h"
#include "review/harness-2/stand_ins.h"

// One server of three spoils a few of its answers: it writes bytes that are not
// an answer of the protocol, as they bear neither the request's id nor the
// server's stamp.
namespace review {
namespace {

// Length of the disruption.
constexpr std::int64_t kSpoilingMs = 5000;
// Share of its answers that the faulty server spoils.
constexpr double kSpoiledShare = 0.03;

bool SuccessesBearStamps(Record& record) {
  Fleet fleet(record, {"kochi", "kochi", "thrissur"}, {"kochi", "thrissur"});
  std::mutex mutex;
  std::mt19937 random(7);
  std::atomic<bool> spoils{false};
  std::atomic<int> spoiled{0};
  const auto run = [&](Server& /*server*/, const Arrival& arrival) {
    bool is_spoiled = false;
    if (spoils && arrival.server == "i-0") {
      const std::lock_guard<std::mutex> lock(mutex);
      is_spoiled = std::bernoulli_distribution(kSpoiledShare)(random);
    }
    record.Write(fmt::format("server {}: runs {}{}", arrival.server,
                             arrival.request_id,
                             is_spoiled ? ", spoils the answer" : ""));
    SleepMs(1);
    if (!is_spoiled) {
      return Server::Reply{Server::SoundAnswer(arrival.request_id,
                                               "posted " + arrival.request_id)};
    }
    ++spoiled;
    return Server::Reply{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nxxxx",
                         false};
  };
  std::vector<std::unique_ptr<Server>> servers;
  for (std::size_t i = 0; i < 3; ++i) {
    servers.push_back(std::make_unique<Server>(
        fleet,
        Server::Settings{.id = "i-" + std::to_string(i),
                         .ip = fleet.ServerIp(i)},
        run));
  }
  Operator operator_desk(fleet);
  BeginTraffic(fleet, operator_desk, MakeConfiguration(1));
  spoils = HasTrouble();

  int without_stamp = 0;
  int sent = 0;
  const std::int64_t end = record.Now() + kSpoilingMs;
  for (int i = 0; record.Now() < end; ++i) {
    ++sent;
    const std::string id = "q" + std::to_string(i);
    record.Write(fmt::format("caller: sends {}", id));
    const auto answer = SendRequest(
        fleet, i % 2,
        {.method = "POST", .path = "/order/1", .id = id, .body = "fee " + id});
    if (!answer) {
      record.Write(fmt::format("caller: {} without an answer", id));
      continue;
    }
    const std::string stamp = answer->Field("sapphirebank-server-stamp");
    record.Write(
        fmt::format("caller: {} answered {}, stamp \"{}\", body \"{}\"", id,
                    answer->Status(), stamp, answer->body));
    if (answer->Status() / 100 == 2 && stamp.empty()) ++without_stamp;
    SleepMs(2);
  }
  record.Write(
      fmt::format("{} answers were spoiled; {} of {} callers got a "
                  "success without a stamp",
                  spoiled.load(), without_stamp, sent));
  return without_stamp == 0;
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  return review::RunCase(count, arguments, review::SuccessesBearStamps);
}
