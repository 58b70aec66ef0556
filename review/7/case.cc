#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/harness-2/fleet.h"
#include "review/harness-2/record.h"
#include "review/harness-2/stand_ins.h"

// An operator takes the last tenant away, with its key.
namespace review {
namespace {

// Bound of the settings, from the acknowledgement.
constexpr std::int64_t kRevokeMs = 5000;

bool WithdrawnKeyIsRefused(Record& record) {
  Fleet fleet(record, {"kochi", "kochi", "thrissur"}, {"kochi", "thrissur"});
  std::mutex mutex;
  std::map<std::string, int> runs;  // By the first letter of the request's id.
  const auto run = [&](Server& /*server*/, const Arrival& arrival) {
    record.Write(
        fmt::format("server {}: runs {}", arrival.server, arrival.request_id));
    const std::lock_guard<std::mutex> lock(mutex);
    ++runs[arrival.request_id.substr(0, 1)];
    return Server::Reply{Server::SoundAnswer(arrival.request_id, "ok")};
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

  nlohmann::json next = MakeConfiguration(2);
  const nlohmann::json tenant = next["tenants"]["north"];
  next["tenants"] = nlohmann::json::object();
  if (!HasTrouble()) {
    next["tenants"]["south"] = tenant;
    next["tenants"]["south"]["apiKeys"] = {"key-2"};
  }
  operator_desk.MustOrder("config.put", next.dump(), 0);
  record.Write("the configuration without the key \"key-1\" is acknowledged");
  SleepMs(kRevokeMs + 1000);
  {
    const std::lock_guard<std::mutex> lock(mutex);
    runs.clear();
  }
  for (int i = 0; i < 100; ++i) {
    const bool is_withdrawn = i % 2 == 0;
    const std::string id = fmt::format("{}{}", is_withdrawn ? 'w' : 'u', i);
    const auto answer =
        SendRequest(fleet, i / 2 % 2,
                    {.method = "POST",
                     .path = "/order/1",
                     .key = is_withdrawn ? "key-1" : "never-given",
                     .id = id,
                     .body = "fee"});
    record.Write(fmt::format("caller: {} ({}) answered {}", id,
                             is_withdrawn ? "withdrawn key" : "unknown key",
                             answer ? answer->Status() : 0));
    SleepMs(20);
  }
  const std::lock_guard<std::mutex> lock(mutex);
  record.Write(fmt::format(
      "later than {} ms after the acknowledgement, {} of 50 requests ran with "
      "the withdrawn key and {} of 50 with a key that was never given",
      kRevokeMs, runs["w"], runs["u"]));
  return runs["w"] == 0 && runs["u"] == 0;
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  return review::RunCase(count, arguments, review::WithdrawnKeyIsRefused);
}
