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

// Port of the stand-in backend servers.
inline constexpr int kServerPort = 18080;
// Port at which control hosts are called.
inline constexpr int kControlPort = 18407;

// A backend server with the platform's wire that announces itself.
class StandInServer {
 public:
  StandInServer(std::string id, std::string ip,
                std::vector<std::string> control)
      : id_(std::move(id)), ip_(std::move(ip)), control_(std::move(control)) {
    const auto answer = [this](const httplib::Request& request,
                               httplib::Response& response) {
      Answer(request, response);
    };
    http_.Get(".*", answer);
    http_.Post(".*", answer);
    listener_ = std::thread([this] { http_.listen(ip_.c_str(), kServerPort); });
    announcer_ = std::thread([this] { Announce(); });
  }
  ~StandInServer() {
    stopping_ = true;
    http_.stop();
    listener_.join();
    announcer_.join();
  }

  // Refuses connections from now on, but goes on announcing itself.
  void StopListening() { http_.stop(); }

  // Reports that it leaves, until that is acknowledged.
  void Leave() { leaving_ = true; }
  bool left() const { return left_; }
  int runs() const { return runs_; }
  void set_failing(bool failing) { failing_ = failing; }

  std::vector<httplib::Headers> seen() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return seen_;
  }

 private:
  void Answer(const httplib::Request& request, httplib::Response& response) {
    const std::string id = request.get_header_value("Sapphirebank-Request-Id");
    response.set_header("Sapphirebank-Request-Id", id);
    if (request.get_header_value("Sapphirebank-Expect-Instance") != id_) {
      response.status = 421;
      return;
    }
    ++runs_;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      seen_.push_back(request.headers);
    }
    response.status = failing_ ? 500 : 200;
    response.set_header("Sapphirebank-Server-Stamp", "stamp-" + id);
    response.set_content(
        id_ + " " + request.method + " " + request.target + " " + request.body,
        "text/plain");
  }

  void Announce() {
    for (int sequence = 1; !stopping_; ++sequence) {
      const nlohmann::json beat = {
          {"service", "desk"},
          {"address", fmt::format("{}:{}", ip_, kServerPort)},
          {"zone", "kochi"},
          {"version", "v1"},
          {"slots", 4},
          {"state", leaving_ ? "draining" : "ready"},
          {"warmupLeft", "0ms"},
          {"born", 1},
          {"seq", sequence}};
      const std::string& ip =
          control_[static_cast<std::size_t>(sequence) % control_.size()];
      httplib::Client client(ip, kControlPort);
      client.set_connection_timeout(1);
      const auto answer =
          client.Post("/api/rpc?call=instances.heartbeat&of=" + id_,
                      beat.dump(), "application/json");
      if (leaving_ && answer && answer->status == 200) left_ = true;
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  }

  std::string id_;
  std::string ip_;
  std::vector<std::string> control_;
  httplib::Server http_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> left_{false};
  std::atomic<bool> failing_{false};
  std::atomic<int> runs_{0};
  std::mutex mutex_;
  std::vector<httplib::Headers> seen_;
  std::thread listener_;
  std::thread announcer_;
};

}  // namespace sapphirebank::system_tests
