#include "review/harness-3/stand_in_server.h"

#include <fmt/format.h>

#include <utility>

namespace review {
namespace {

constexpr int kSlots = 3;
constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr auto kHeartbeatPeriod = std::chrono::milliseconds(1500);

}  // namespace

StandInServer::StandInServer(ServerPlace place,
                             std::vector<std::string> control_ips, Hooks hooks)
    : place_(std::move(place)),
      control_ips_(std::move(control_ips)),
      hooks_(std::move(hooks)) {
  const auto handler = [this](const httplib::Request& request,
                              httplib::Response& response) {
    Serve(request, response);
  };
  server_.Get(".*", handler);
  server_.Post(".*", handler);
  listener_ = std::thread(
      [this] { server_.listen(place_.ip, SmallFleet::kServerPort); });
  heartbeats_ = std::thread([this] { SendHeartbeats(); });
}

StandInServer::~StandInServer() {
  stops_ = true;
  server_.stop();
  listener_.join();
  heartbeats_.join();
}

void StandInServer::Serve(const httplib::Request& request,
                          httplib::Response& response) {
  const std::string id = request.get_header_value("Sapphirebank-Request-Id");
  response.set_header("Sapphirebank-Request-Id", id);
  if (request.get_header_value("Sapphirebank-Expect-Instance") != place_.id) {
    response.status = kMisdirected;
    return;
  }
  if (hooks_.on_run) hooks_.on_run(id);
  ++running_;
  std::this_thread::sleep_for(hooks_.work(request.path));
  if (hooks_.on_end) hooks_.on_end(id);
  response.set_header("Sapphirebank-Server-Load",
                      fmt::format("{},0,{}", running_.load(), kSlots));
  --running_;
  response.set_header("Sapphirebank-Server-Stamp", "stamp-" + id);
  response.status = kOk;
  response.set_content(place_.id + " " + id, "text/plain");
}

void StandInServer::SendHeartbeats() {
  std::size_t next = 0;
  auto at = Clock::now();
  for (int sequence = 1; !stops_; ++sequence) {
    const nlohmann::json beat = {
        {"service", place_.service},
        {"address", fmt::format("{}:{}", place_.ip, SmallFleet::kServerPort)},
        {"zone", place_.zone},
        {"version", "v1"},
        {"slots", kSlots},
        {"state", "ready"},
        {"warmupLeft", "0ms"},
        {"born", born_},
        {"seq", sequence}};
    for (std::size_t tries = 0; tries < control_ips_.size(); ++tries) {
      httplib::Client client(control_ips_[next % control_ips_.size()],
                             SmallFleet::kControlPort);
      client.set_connection_timeout(1);
      client.set_read_timeout(1);
      const auto answer =
          client.Post("/api/rpc?call=instances.heartbeat&of=" + place_.id,
                      beat.dump(), "application/json");
      if (answer && answer->status == kOk) break;
      ++next;
    }
    at += kHeartbeatPeriod;
    while (!stops_ && Clock::now() < at) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
}

}  // namespace review
