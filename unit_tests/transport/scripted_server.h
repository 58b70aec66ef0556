#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "sapphirebank/core/endpoint.h"

namespace sapphirebank {

// A server that runs a script on each connection, and accepts the next one when
// the script has ended, or at once if it is concurrent.
class ScriptedServer {
 public:
  // Called with the connection and the number of connections before it.
  using Script = std::function<void(boost::asio::ip::tcp::socket&, int)>;

  explicit ScriptedServer(Script script, bool is_concurrent = false)
      : acceptor_(loop_, {boost::asio::ip::address_v4::loopback(), 0}),
        thread_([this, script = std::move(script), is_concurrent] {
          std::vector<std::thread> connections;
          boost::system::error_code error;
          for (int number = 0;; ++number) {
            auto socket = std::make_shared<boost::asio::ip::tcp::socket>(loop_);
            acceptor_.accept(*socket, error);
            if (error || stop_) break;
            if (is_concurrent) {
              connections.emplace_back(
                  [&script, socket, number] { script(*socket, number); });
            } else {
              script(*socket, number);
            }
          }
          for (std::thread& connection : connections) connection.join();
        }) {}
  ~ScriptedServer() {
    stop_ = true;
    boost::asio::ip::tcp::socket wake(loop_);
    boost::system::error_code ignored;
    wake.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  // Reads one request without a body. Returns false when the connection ends.
  static bool ReadRequest(boost::asio::ip::tcp::socket& socket) {
    return !ReadHead(socket).empty();
  }

  // As ReadRequest(); returns the request's head, empty when the connection
  // ends.
  static std::string ReadHead(boost::asio::ip::tcp::socket& socket) {
    std::string head;
    boost::system::error_code error;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(head),
                            "\r\n\r\n", error);
    return error ? std::string() : head;
  }

  // Resets the connection. A socket that is only destroyed ends in order.
  static void Reset(boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }

  static void Write(boost::asio::ip::tcp::socket& socket,
                    const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }

 private:
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace sapphirebank
