#pragma once

#include <httplib.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "review/harness-3/small_fleet.h"

namespace review {

// What a stand-in backend server says of itself.
struct ServerPlace {
  std::string id;
  std::string ip;
  std::string zone = "kochi";
  std::string service = "huvo11a";
};

// A sound backend server as the pages describe it: it answers with the id of
// the request and a stamp, runs no request meant for another server, and
// announces itself every 1.5 s, to the next control host after a failure.
class StandInServer {
 public:
  struct Hooks {
    // Returns how long the server works on a request, by its path.
    std::function<std::chrono::milliseconds(const std::string& path)> work;
    // Called with the id of each request when its work begins and ends.
    std::function<void(const std::string& id)> on_run;
    std::function<void(const std::string& id)> on_end;
  };

  StandInServer(ServerPlace place, std::vector<std::string> control_ips,
                Hooks hooks);
  ~StandInServer();
  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  const ServerPlace& place() const { return place_; }

 private:
  void Serve(const httplib::Request& request, httplib::Response& response);
  void SendHeartbeats();

  ServerPlace place_;
  std::vector<std::string> control_ips_;
  Hooks hooks_;
  std::int64_t born_ = UnixMs();
  httplib::Server server_;
  std::atomic<int> running_ = 0;
  std::atomic<bool> stops_ = false;
  std::thread listener_;
  std::thread heartbeats_;
};

}  // namespace review
