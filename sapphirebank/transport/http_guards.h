#pragma once

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cerrno>
#include <cstddef>
#include <memory>
#include <utility>

#include "sapphirebank/core/time.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

// While in scope, watches a caller's socket and reports to `watch` when the
// caller closes the connection.
class HangUpWatch {
 public:
  HangUpWatch(boost::asio::ip::tcp::socket& socket,
              std::shared_ptr<CallerWatch> watch)
      : socket_(socket), active_(std::make_shared<bool>(true)) {
    socket_.async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [&socket, active = active_,
         watch = std::move(watch)](boost::system::error_code error) {
          if (error || !*active) return;
          char byte = 0;
          const auto got =
              ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
          // Readable bytes are the caller's next, pipelined request.
          const bool nothing_yet =
              got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
          if (got <= 0 && !nothing_yet) watch->HangUp();
        });
  }
  ~HangUpWatch() {
    *active_ = false;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
  }
  HangUpWatch(const HangUpWatch&) = delete;
  HangUpWatch& operator=(const HangUpWatch&) = delete;

 private:
  boost::asio::ip::tcp::socket& socket_;
  std::shared_ptr<bool> active_;
};

// Cancels the reads of a stream after a time. The stream stays open, so that
// the time-out can still be reported to the caller.
class ReadDeadline {
 public:
  ReadDeadline(boost::asio::io_context& loop, boost::beast::tcp_stream& stream,
               Duration time)
      : timer_(loop, time), state_(std::make_shared<State>(State{&stream})) {
    stream.expires_never();
    timer_.async_wait([state = state_](boost::system::error_code error) {
      if (error || state->stream == nullptr) return;
      state->passed = true;
      state->stream->cancel();
    });
  }
  ~ReadDeadline() { state_->stream = nullptr; }
  ReadDeadline(const ReadDeadline&) = delete;
  ReadDeadline& operator=(const ReadDeadline&) = delete;

  // Returns whether the deadline has passed.
  bool passed() const { return state_->passed; }

 private:
  struct State {
    boost::beast::tcp_stream* stream;
    bool passed = false;
  };

  boost::asio::steady_timer timer_;
  std::shared_ptr<State> state_;
};

// While in scope, adds `bytes` to the counter `held`.
class ScopedByteReservation {
 public:
  ScopedByteReservation(std::size_t& held, std::size_t bytes)
      : held_(held), bytes_(bytes) {
    held_ += bytes_;
  }
  ~ScopedByteReservation() { held_ -= bytes_; }
  ScopedByteReservation(const ScopedByteReservation&) = delete;
  ScopedByteReservation& operator=(const ScopedByteReservation&) = delete;

 private:
  std::size_t& held_;
  std::size_t bytes_;
};

// While in scope, adds one to `count`.
class ScopedCount {
 public:
  explicit ScopedCount(std::size_t& count) : count_(count) { ++count_; }
  ~ScopedCount() { --count_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::size_t& count_;
};

}  // namespace sapphirebank
