#pragma once

#include <atomic>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>

#include "system_tests/platform/socket_server.h"

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
        server_({.id = "endless", .ip = ip, .service = "bulk", .slots = 1000},
                {std::move(control_ip)},
                [this](SocketServer::Socket& socket) { Answer(socket); }) {}

  int request_count() const { return request_count_; }

 private:
  void Answer(SocketServer::Socket& socket) {
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
  std::atomic<int> request_count_{0};
  SocketServer server_;
};

}  // namespace sapphirebank::system_tests
