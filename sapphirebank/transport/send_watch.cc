#include "sapphirebank/transport/send_watch.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <utility>

#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

// Most requests have left, or are answered, before the first look.
constexpr Duration kLookPeriod = std::chrono::milliseconds(100);

}  // namespace

std::optional<std::size_t> UnacknowledgedBytes(
    boost::asio::ip::tcp::socket& socket) {
  int count = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &count) != 0 || count < 0) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(count);
}

struct SendWatch::State {
  State(boost::asio::io_context& loop,
        boost::asio::ip::tcp::socket& watched_socket, OnLeft hook)
      : socket(&watched_socket),
        timer(loop),
        on_left(std::move(hook)),
        began_at(MonotonicNow()) {}

  // Null once the watch has ended.
  boost::asio::ip::tcp::socket* socket;
  boost::asio::steady_timer timer;
  OnLeft on_left;
  Instant began_at;
  bool is_written = false;
};

SendWatch::SendWatch(boost::asio::io_context& loop,
                     boost::asio::ip::tcp::socket& socket, OnLeft on_left)
    : state_(std::make_shared<State>(loop, socket, std::move(on_left))) {
  Wait(state_);
}

SendWatch::~SendWatch() { End(); }

void SendWatch::RecordWritten() { state_->is_written = true; }

void SendWatch::End() {
  state_->socket = nullptr;
  state_->timer.cancel();
}

void SendWatch::Wait(const std::shared_ptr<State>& state) {
  state->timer.expires_after(kLookPeriod);
  state->timer.async_wait([state](boost::system::error_code error) {
    if (error || state->socket == nullptr) return;
    const bool has_left = state->is_written &&
                          UnacknowledgedBytes(*state->socket).value_or(0) == 0;
    if (!has_left) {
      Wait(state);
      return;
    }
    const Duration way = MonotonicNow() - state->began_at;
    if (way >= 2 * kLookPeriod && state->on_left) state->on_left(way);
  });
}

}  // namespace sapphirebank
