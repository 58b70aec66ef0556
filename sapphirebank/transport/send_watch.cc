#include "sapphirebank/transport/send_watch.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {
namespace {

// Most requests have left, or are answered, before the second look.
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
  State(boost::asio::io_context& loop, boost::beast::tcp_stream& watched_stream,
        std::size_t request_bytes, BytesOnWay all_bytes, Hooks watch_hooks)
      : stream(&watched_stream),
        timer(loop),
        bytes(request_bytes),
        on_way(std::move(all_bytes)),
        hooks(std::move(watch_hooks)),
        began_at(MonotonicNow()) {
    *on_way += bytes;
  }

  void EndCount() { *on_way -= std::exchange(bytes, 0); }
  bool IsLate(Instant now) const {
    return hooks.arrival_limit && now >= hooks.arrival_limit();
  }
  void Cut() {
    boost::system::error_code ignored;
    stream->socket().set_option(boost::asio::socket_base::linger(true, 0),
                                ignored);
    stream->close();
    was_cut = true;
    EndCount();
  }

  // Null once the watch has ended.
  boost::beast::tcp_stream* stream;
  boost::asio::steady_timer timer;
  std::size_t bytes;
  BytesOnWay on_way;
  Hooks hooks;
  Instant began_at;
  bool is_written = false;
  bool was_cut = false;
};

SendWatch::SendWatch(boost::asio::io_context& loop,
                     boost::beast::tcp_stream& stream, std::size_t bytes,
                     BytesOnWay on_way, Hooks hooks)
    : state_(std::make_shared<State>(loop, stream, bytes, std::move(on_way),
                                     std::move(hooks))) {
  Wait(state_);
}

SendWatch::~SendWatch() { End(); }

bool SendWatch::CutIfLate(Instant now) {
  if (!state_->was_cut && state_->IsLate(now)) state_->Cut();
  return state_->was_cut;
}

bool SendWatch::was_cut() const { return state_->was_cut; }

void SendWatch::RecordWritten() { state_->is_written = true; }

void SendWatch::End() {
  state_->stream = nullptr;
  state_->timer.cancel();
  state_->EndCount();
}

void SendWatch::Wait(const std::shared_ptr<State>& state) {
  Duration delay = kLookPeriod;
  if (state->hooks.arrival_limit) {
    const Duration left = state->hooks.arrival_limit() - MonotonicNow();
    delay = std::clamp<Duration>(left, Duration::zero(), kLookPeriod);
  }
  state->timer.expires_after(delay);
  state->timer.async_wait([state](boost::system::error_code error) {
    if (error || state->stream == nullptr || state->was_cut) return;
    const Instant now = MonotonicNow();
    const bool has_left =
        state->is_written &&
        UnacknowledgedBytes(state->stream->socket()).value_or(0) == 0;
    if (has_left) {
      state->EndCount();
      const Duration way = now - state->began_at;
      if (way >= 2 * kLookPeriod && state->hooks.on_left) {
        state->hooks.on_left(way);
      }
    } else if (state->IsLate(now)) {
      state->Cut();
    } else {
      Wait(state);
    }
  });
}

}  // namespace sapphirebank
