#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "system_tests/platform/stand_in_server.h"

namespace sapphirebank::system_tests {

// A backend server of the service "bulk" that answers each request with `start`
// and then with `repeated`, up to `length` bytes, and then with nothing more.
// It accepts requests at `ip` and sends heartbeats to one control host.
class EndlessServer {
 public:
  EndlessServer(const std::string& ip, std::string control_ip,
                std::string start, std::string repeated, std::size_t length)
      : start_(std::move(start)),
        repeated_(std::move(repeated)),
        length_(length),
        acceptor_(loop_, {boost::asio::ip::make_address(ip), kServerPort}) {
    accept_thread_ = std::thread([this] { Accept(); });
    heartbeat_thread_ =
        std::thread([this, ip, control_ip = std::move(control_ip)] {
          StandInHeartbeat heartbeat;
          heartbeat.id = "endless";
          heartbeat.ip = ip;
          heartbeat.service = "bulk";
          heartbeat.slots = 1000;
          for (; !stopping_; ++heartbeat.sequence) {
            SendHeartbeat(control_ip, heartbeat);
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
          }
        });
  }
  ~EndlessServer() {
    stopping_ = true;
    boost::asio::ip::tcp::socket wake(loop_);
    boost::system::error_code ignored;
    wake.connect(acceptor_.local_endpoint(), ignored);
    accept_thread_.join();
    heartbeat_thread_.join();
    for (Connection& connection : connections_) {
      connection.socket.shutdown(boost::asio::socket_base::shutdown_both,
                                 ignored);
      connection.thread.join();
    }
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  int request_count() const { return request_count_; }

 private:
  struct Connection {
    boost::asio::ip::tcp::socket socket;
    std::thread thread;
  };

  void Accept() {
    boost::system::error_code error;
    while (!stopping_) {
      boost::asio::ip::tcp::socket socket(loop_);
      acceptor_.accept(socket, error);
      if (error || stopping_) continue;
      Connection& connection =
          connections_.emplace_back(Connection{std::move(socket), {}});
      connection.thread =
          std::thread([this, &connection] { Answer(connection.socket); });
    }
  }

  void Answer(boost::asio::ip::tcp::socket& socket) {
    std::string head;
    boost::system::error_code error;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(head),
                            "\r\n\r\n", error);
    if (error) return;
    ++request_count_;
    std::size_t sent = boost::asio::write(
        socket, boost::asio::buffer(start_ + IdField(head)), error);
    while (!error && sent < length_) {
      sent += boost::asio::write(socket, boost::asio::buffer(repeated_), error);
    }
    // Ends when the caller closes the connection.
    char byte = 0;
    while (!error) socket.read_some(boost::asio::buffer(&byte, 1), error);
  }

  // Returns the field with the id of the request, which answers repeat, and the
  // end of the head; nothing for answers whose head has no end.
  std::string IdField(const std::string& head) const {
    if (start_.empty() || start_.back() != '\n') return "";
    const std::string name = "Sapphirebank-Request-Id: ";
    const auto at = head.find(name);
    if (at == std::string::npos) return "\r\n";
    return head.substr(at, head.find("\r\n", at) - at) + "\r\n\r\n";
  }

  std::string start_;
  std::string repeated_;
  std::size_t length_;
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> request_count_{0};
  std::list<Connection> connections_;
  std::thread accept_thread_;
  std::thread heartbeat_thread_;
};

}  // namespace sapphirebank::system_tests
