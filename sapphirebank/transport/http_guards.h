#pragma once

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cerrno>
#include <cstddef>
#include <memory>
#include <utility>

#include "sapphirebank/core/time.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

// Bytes of pipelined requests that are read from a caller while one of its
// requests is handled. A caller that sends more is not noticed when it leaves.
inline constexpr std::size_t kMaxReadAheadBytes = std::size_t{8} << 10U;

// While in scope, watches a caller's socket and reports to `watch` when the
// caller closes the connection. Bytes that arrive before that are the caller's
// next, pipelined requests and are appended to `read_ahead`. Without one, as
// under TLS, the watch ends with the first of them. `looks_at_once` reports a
// caller that has left before, too.
class HangUpWatch {
 public:
  HangUpWatch(boost::asio::ip::tcp::socket& socket,
              std::shared_ptr<CallerWatch> watch,
              boost::beast::flat_buffer* read_ahead, bool looks_at_once = false)
      : state_(std::make_shared<State>(
            State{&socket, std::move(watch), read_ahead})) {
    if (!looks_at_once || ReadAvailable(*state_)) Wait(state_);
  }
  ~HangUpWatch() {
    boost::asio::ip::tcp::socket& socket =
        *std::exchange(state_->socket, nullptr);
    boost::system::error_code ignored;
    socket.cancel(ignored);
  }
  HangUpWatch(const HangUpWatch&) = delete;
  HangUpWatch& operator=(const HangUpWatch&) = delete;

 private:
  struct State {
    boost::asio::ip::tcp::socket*
        socket;  // Null once the watch is out of scope.
    std::shared_ptr<CallerWatch> watch;
    boost::beast::flat_buffer* read_ahead;
  };

  static void Wait(const std::shared_ptr<State>& state) {
    state->socket->async_wait(boost::asio::ip::tcp::socket::wait_read,
                              [state](boost::system::error_code error) {
                                if (error || state->socket == nullptr) return;
                                if (ReadAvailable(*state)) Wait(state);
                              });
  }

  // Reads what has arrived. Returns whether to go on watching.
  static bool ReadAvailable(State& state) {
    const int socket = state.socket->native_handle();
    while (true) {
      char peeked = 0;
      void* to = &peeked;
      std::size_t room = 1;
      if (state.read_ahead != nullptr) {
        if (state.read_ahead->size() >= kMaxReadAheadBytes) return false;
        room = kMaxReadAheadBytes - state.read_ahead->size();
        to = state.read_ahead->prepare(room).data();
      }
      const int flags =
          MSG_DONTWAIT | (state.read_ahead == nullptr ? MSG_PEEK : 0);
      const auto got = ::recv(socket, to, room, flags);
      if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
      if (got <= 0) {
        state.watch->HangUp();
        return false;
      }
      if (state.read_ahead == nullptr) return false;
      state.read_ahead->commit(static_cast<std::size_t>(got));
    }
  }

  std::shared_ptr<State> state_;
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
