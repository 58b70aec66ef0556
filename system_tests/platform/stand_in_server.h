#pragma once

#include <fmt/format.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace sapphirebank::system_tests {

// Port on which the stand-in backend servers accept requests.
inline constexpr int kServerPort = 18080;
// Port of the HTTP API of control hosts.
inline constexpr int kControlPort = 18407;

// What a backend server says of itself in its heartbeats.
struct StandInHeartbeat {
  std::string id;
  std::string ip;
  std::string service = "desk";
  std::string version = "v1";
  std::string state = "ready";
  int slots = 4;
  int sequence = 1;
};

// Sends a heartbeat to the control host at `control_ip`. Returns whether it was
// acknowledged.
inline bool SendHeartbeat(const std::string& control_ip,
                          const StandInHeartbeat& server) {
  const nlohmann::json heartbeat = {
      {"service", server.service},
      {"address", fmt::format("{}:{}", server.ip, kServerPort)},
      {"zone", "kochi"},
      {"version", server.version},
      {"slots", server.slots},
      {"state", server.state},
      {"warmupLeft", "0ms"},
      {"born", 1},
      {"seq", server.sequence}};
  httplib::Client client(control_ip, kControlPort);
  client.set_connection_timeout(1);
  const auto answer =
      client.Post("/api/rpc?call=instances.heartbeat&of=" + server.id,
                  heartbeat.dump(), "application/json");
  return answer && answer->status == 200;
}

// A backend server that speaks the platform's HTTP protocol. It accepts
// requests at `ip` and sends heartbeats to the control hosts in turn, every 200
// ms.
class StandInServer {
 public:
  StandInServer(std::string id, std::string ip,
                std::vector<std::string> control_host_ips,
                std::string version = "v1")
      : id_(std::move(id)),
        ip_(std::move(ip)),
        version_(std::move(version)),
        control_host_ips_(std::move(control_host_ips)) {
    const auto handler = [this](const httplib::Request& request,
                                httplib::Response& response) {
      HandleRequest(request, response);
    };
    http_server_.Get(".*", handler);
    http_server_.Post(".*", handler);
    listener_thread_ =
        std::thread([this] { http_server_.listen(ip_.c_str(), kServerPort); });
    heartbeat_thread_ = std::thread([this] { SendHeartbeats(); });
  }
  ~StandInServer() {
    stopping_ = true;
    http_server_.stop();
    listener_thread_.join();
    heartbeat_thread_.join();
  }

  // Refuses connections from now on, but continues to send heartbeats.
  void StopListening() { http_server_.stop(); }

  // Reports the state "draining" in all further heartbeats.
  void Leave() { leaving_ = true; }
  // Returns whether a control host acknowledged a heartbeat with that state.
  bool leave_acknowledged() const { return leave_acknowledged_; }
  // Returns the number of requests that were addressed to this server.
  int request_count() const { return request_count_; }
  // While `failing`, requests are answered with status 500.
  void set_failing(bool failing) { failing_ = failing; }

  // Returns the header fields of all requests addressed to this server.
  std::vector<httplib::Headers> received_headers() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return received_headers_;
  }

 private:
  void HandleRequest(const httplib::Request& request,
                     httplib::Response& response) {
    const std::string id = request.get_header_value("Sapphirebank-Request-Id");
    response.set_header("Sapphirebank-Request-Id", id);
    if (request.get_header_value("Sapphirebank-Expect-Instance") != id_) {
      response.status = 421;
      return;
    }
    ++request_count_;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      received_headers_.push_back(request.headers);
    }
    response.status = failing_ ? 500 : 200;
    response.set_header("Sapphirebank-Server-Stamp", "stamp-" + id);
    response.set_content(
        id_ + " " + request.method + " " + request.target + " " + request.body,
        "text/plain");
  }

  void SendHeartbeats() {
    for (int sequence = 1; !stopping_; ++sequence) {
      StandInHeartbeat heartbeat;
      heartbeat.id = id_;
      heartbeat.ip = ip_;
      heartbeat.version = version_;
      heartbeat.state = leaving_ ? "draining" : "ready";
      heartbeat.sequence = sequence;
      const std::string& control_ip =
          control_host_ips_[static_cast<std::size_t>(sequence) %
                            control_host_ips_.size()];
      const bool is_acknowledged = SendHeartbeat(control_ip, heartbeat);
      if (heartbeat.state == "draining" && is_acknowledged) {
        leave_acknowledged_ = true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  }

  std::string id_;
  std::string ip_;
  std::string version_;
  std::vector<std::string> control_host_ips_;
  httplib::Server http_server_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> leave_acknowledged_{false};
  std::atomic<bool> failing_{false};
  std::atomic<int> request_count_{0};
  std::mutex mutex_;
  std::vector<httplib::Headers> received_headers_;
  std::thread listener_thread_;
  std::thread heartbeat_thread_;
};

}  // namespace sapphirebank::system_tests
