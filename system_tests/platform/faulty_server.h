#pragma once

#include <fmt/format.h>

#include <atomic>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "system_tests/platform/platform_fleet.h"
#include "system_tests/platform/socket_server.h"

namespace sapphirebank::system_tests {

// A seeded source of decisions, for one thread.
class Draws {
 public:
  explicit Draws(std::uint64_t seed) : engine_(seed) {}

  // Returns whether an event of `percent` in 100 happens.
  bool Happens(int percent) { return Number(1, 100) <= percent; }
  int Number(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(engine_);
  }
  std::uint64_t Seed() { return engine_(); }
  void Sleep(int least_ms, int most_ms) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Number(least_ms, most_ms)));
  }
  // Returns the beginning of `text`, cut at any byte.
  std::string Cut(const std::string& text) {
    const int last = static_cast<int>(text.size()) - 1;
    return text.substr(0, static_cast<std::size_t>(Number(1, last)));
  }

 private:
  std::mt19937_64 engine_;
};

// A backend server of the service "soak" that runs or rejects requests and
// draws the faults of its answers: bytes of earlier answers before or after
// them, closes and resets, interim answers, pauses. The stamp of an answer
// names request id and status.
class FaultyServer {
 public:
  // Is called with the id of each request that begins to run.
  using RunHook = std::function<void(const std::string& request_id)>;

  FaultyServer(const std::string& id, const std::string& ip, std::uint64_t seed,
               RunHook on_run)
      : id_(id),
        draws_(seed),
        on_run_(std::move(on_run)),
        server_({.id = id, .ip = ip, .service = "soak", .slots = 8},
                PlatformFleet::ControlHostIps(),
                [this](Socket& socket) { Serve(socket, NextDraws()); }) {}

  // Returns the number of copies of answers that were written.
  int copy_count() const { return copy_count_; }

 private:
  using Socket = SocketServer::Socket;

  // Returns the draws of the next connection.
  Draws NextDraws() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Draws(draws_.Seed());
  }

  // Answers the requests of one connection until either side ends it.
  void Serve(Socket& socket, Draws draws) {
    std::string received;
    std::vector<std::string> answers;
    while (true) {
      boost::system::error_code error;
      const std::size_t size = boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
      if (error) return;
      answers.push_back(Run(received.substr(0, size), draws));
      received.erase(0, size);
      if (!WriteFaulty(socket, answers, draws)) return;
    }
  }

  // Rejects or runs a request and returns the answer.
  std::string Run(std::string head, Draws& draws) {
    boost::algorithm::to_lower(head);
    const std::string request_id = Field(head, "sapphirebank-request-id");
    int status = 200;
    std::string fields = "Sapphirebank-Instance-Id: " + id_ + "\r\n";
    std::string body;
    if (!request_id.empty() &&
        (Field(head, "sapphirebank-expect-instance") != id_ ||
         draws.Happens(2))) {
      status = 421;
    } else if (!request_id.empty() && draws.Happens(10)) {
      status = draws.Happens(50) ? 503 : 429;
      fields = "Sapphirebank-Not-Executed: 1\r\n";
    } else if (!request_id.empty()) {
      on_run_(request_id);
      draws.Sleep(0, 20);
      // A 503 without the statement that it has not run promises nothing.
      if (draws.Happens(14)) status = draws.Happens(80) ? 500 : 503;
      fields = fmt::format("Sapphirebank-Server-Stamp: {}.{}\r\n", request_id,
                           status);
      body = request_id + std::string(draws.Number(0, 200), 'x') + "end";
    }
    const std::string id_field =
        "Sapphirebank-Request-Id: " + request_id + "\r\n";
    const bool id_first = draws.Happens(30);
    return fmt::format(
        "HTTP/1.1 {} Some Reason\r\n{}Server: desk/1.4\r\n{}{}"
        "Content-Length: {}\r\n\r\n{}",
        status, id_first ? id_field : "", fields, id_first ? "" : id_field,
        body.size(), body);
  }

  // Writes the last of `answers` with the faults that are drawn. Returns
  // whether the connection is to be used on.
  bool WriteFaulty(Socket& socket, const std::vector<std::string>& answers,
                   Draws& draws) {
    const int last = static_cast<int>(answers.size()) - 1;
    if (last > 0 && draws.Happens(10)) {
      WriteCopy(socket, answers[draws.Number(0, last - 1)], draws);
    }
    if (draws.Happens(3)) {
      Write(socket, draws.Happens(50)
                        ? "HTTP/1.1 100 Continue\r\n\r\n"
                        : "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    }
    std::string rest = answers.back();
    if (draws.Happens(4)) {
      if (draws.Happens(50)) Write(socket, draws.Cut(rest));
      // Makes the close a reset.
      const boost::asio::socket_base::linger reset(true, 0);
      if (draws.Happens(50)) socket.set_option(reset);
      return false;
    }
    while (rest.size() > 1 && draws.Happens(10)) {
      const std::string piece = draws.Cut(rest);
      Write(socket, piece);
      rest.erase(0, piece.size());
      draws.Sleep(1, 30);
    }
    Write(socket, rest);
    if (draws.Happens(3)) {
      draws.Sleep(0, 30);
      WriteCopy(socket, answers.back(), draws);
    }
    return true;
  }

  void WriteCopy(Socket& socket, const std::string& answer, Draws& draws) {
    ++copy_count_;
    Write(socket, draws.Happens(30) ? answer : draws.Cut(answer));
    draws.Sleep(0, 5);
  }

  static void Write(Socket& socket, const std::string& bytes) {
    // The next read finds that the caller is gone.
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }

  static std::string Field(const std::string& head, const std::string& name) {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return "";
    const auto value = at + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
  }

  std::string id_;
  std::mutex mutex_;
  Draws draws_;
  RunHook on_run_;
  std::atomic<int> copy_count_{0};
  SocketServer server_;
};

}  // namespace sapphirebank::system_tests
