#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Returns the bytes that were written to a socket and that its peer has not
// acknowledged, or nothing where the system does not tell.
std::optional<std::size_t> UnacknowledgedBytes(
    boost::asio::ip::tcp::socket& socket);

// Bytes of all requests of a client that its peers have not acknowledged yet.
using BytesOnWay = std::shared_ptr<std::size_t>;

// Follows the bytes of one request on their way to the peer, and resets the
// connection when they are late, so that the peer never gets the request whole.
// A write is complete when the system has taken the bytes, which may then wait
// for the link of this host for seconds; a reset discards them.
class SendWatch {
 public:
  struct Hooks {
    // Returns by when the peer must have all bytes, as far as is known now.
    // Null sets no limit.
    std::function<Instant()> arrival_limit;
    // Called when the peer has acknowledged all bytes, with the time since the
    // watch began, unless that was within the first looks. Null does nothing.
    std::function<void(Duration)> on_left;
  };

  // Watches a request of `bytes` bytes that is about to be written to `stream`,
  // which must stay valid while the watch is in scope.
  SendWatch(boost::asio::io_context& loop, boost::beast::tcp_stream& stream,
            std::size_t bytes, BytesOnWay on_way, Hooks hooks);
  ~SendWatch();
  SendWatch(const SendWatch&) = delete;
  SendWatch& operator=(const SendWatch&) = delete;

  // Resets the connection if the limit has passed, and returns whether it was
  // reset, now or before.
  bool CutIfLate(Instant now);
  bool was_cut() const;

  // Records that the system has taken all bytes of the request.
  void RecordWritten();

  // Ends the watch, as the peer has answered.
  void End();

 private:
  struct State;

  static void Wait(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace sapphirebank
