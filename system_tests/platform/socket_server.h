#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "system_tests/platform/stand_in_server.h"

namespace sapphirebank::system_tests {

// A backend server for answers that an HTTP library does not write. It accepts
// connections at the address of `heartbeat`, which it sends to the control
// hosts in turn, every 200 ms.
class SocketServer {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  // Serves a connection on a thread of its own. It is closed afterwards.
  using Serve = std::function<void(Socket& socket)>;

  SocketServer(const StandInHeartbeat& heartbeat,
               std::vector<std::string> control_host_ips, Serve serve)
      : control_host_ips_(std::move(control_host_ips)),
        serve_(std::move(serve)),
        acceptor_(loop_,
                  {boost::asio::ip::make_address(heartbeat.ip), kServerPort}) {
    accept_thread_ = std::thread([this] { Accept(); });
    heartbeat_thread_ =
        std::thread([this, heartbeat] { SendHeartbeats(heartbeat); });
  }
  ~SocketServer() {
    stopping_ = true;
    Socket wake(loop_);
    boost::system::error_code ignored;
    wake.connect(acceptor_.local_endpoint(), ignored);
    accept_thread_.join();
    heartbeat_thread_.join();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (Connection& connection : connections_) {
        connection.socket.shutdown(Socket::shutdown_both, ignored);
      }
    }
    for (Connection& connection : connections_) connection.thread.join();
  }
  SocketServer(const SocketServer&) = delete;
  SocketServer& operator=(const SocketServer&) = delete;

 private:
  struct Connection {
    Socket socket;
    std::thread thread;
  };

  void Accept() {
    boost::system::error_code error;
    while (!stopping_) {
      Socket socket(loop_);
      acceptor_.accept(socket, error);
      if (error || stopping_) continue;
      Connection& connection =
          connections_.emplace_back(Connection{std::move(socket), {}});
      connection.thread = std::thread([this, &connection] {
        serve_(connection.socket);
        const std::lock_guard<std::mutex> lock(mutex_);
        boost::system::error_code ignored;
        connection.socket.close(ignored);
      });
    }
  }

  void SendHeartbeats(StandInHeartbeat heartbeat) {
    for (std::size_t number = 0; !stopping_; ++number) {
      SendHeartbeat(control_host_ips_[number % control_host_ips_.size()],
                    heartbeat);
      ++heartbeat.sequence;
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  }

  std::vector<std::string> control_host_ips_;
  Serve serve_;
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;  // Guards the ends of connections.
  std::list<Connection> connections_;
  std::thread accept_thread_;
  std::thread heartbeat_thread_;
};

}  // namespace sapphirebank::system_tests
