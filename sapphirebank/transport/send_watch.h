#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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

// Follows the bytes of one request on their way to the peer. A write is
// complete when the system has taken the bytes, which may then wait for the
// link of this host for seconds.
class SendWatch {
 public:
  // Called when the peer has acknowledged all bytes, with the time since the
  // watch began, unless that was within the first look.
  using OnLeft = std::function<void(Duration)>;

  // Watches `socket`, which must stay valid while the watch is in scope.
  SendWatch(boost::asio::io_context& loop, boost::asio::ip::tcp::socket& socket,
            OnLeft on_left);
  ~SendWatch();
  SendWatch(const SendWatch&) = delete;
  SendWatch& operator=(const SendWatch&) = delete;

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
