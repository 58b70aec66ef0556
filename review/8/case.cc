#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "review/harness-2/fleet.h"
#include "review/harness-2/record.h"
#include "review/harness-2/stand_ins.h"

// An operator sends an invalid configuration: its tenants are a list, not a
// table keyed by name.
namespace review {
namespace {

bool InvalidConfigurationIsRefused(Record& record) {
  Fleet fleet(record, {"kochi", "kochi", "thrissur"}, {"kochi", "thrissur"});
  std::atomic<int> wrong_tenants{0};
  const auto run = [&](Server& /*server*/, const Arrival& arrival) {
    const std::string tenant = arrival.request.Field("sapphirebank-tenant");
    record.Write(fmt::format("server {}: runs {} of tenant \"{}\"",
                             arrival.server, arrival.request_id, tenant));
    if (tenant != "north") ++wrong_tenants;
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

  int status = 0;
  if (HasTrouble()) {
    nlohmann::json invalid = MakeConfiguration(2);
    nlohmann::json tenant = invalid["tenants"]["north"];
    tenant["name"] = "north";
    invalid["tenants"] = nlohmann::json::array({tenant});
    status = operator_desk.Order("config.put", invalid.dump(), 0);
    record.Write(
        fmt::format("the invalid configuration was answered {}", status));
  }
  SleepMs(3000);
  for (int i = 0; i < 100; ++i) {
    const std::string id = "q" + std::to_string(i);
    const auto answer = SendRequest(
        fleet, i % 2,
        {.method = "POST", .path = "/order/1", .id = id, .body = "fee"});
    record.Write(fmt::format("caller: {} answered {}", id,
                             answer ? answer->Status() : 0));
    SleepMs(20);
  }
  record.Write(fmt::format(
      "{} requests ran under the name of a tenant that does not hold the key",
      wrong_tenants.load()));
  return status != 200 && wrong_tenants == 0;
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  return review::RunCase(count, arguments,
                         review::InvalidConfigurationIsRefused);
}
