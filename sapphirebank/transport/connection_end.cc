#include "sapphirebank/transport/connection_end.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "sapphirebank/transport/send_watch.h"

namespace sapphirebank {

bool EndedInOrder(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool has_state = ::getsockopt(socket.native_handle(), IPPROTO_TCP,
                                      TCP_INFO, &info, &size) == 0;
  // A FIN leaves TCP_CLOSE_WAIT, a reset TCP_CLOSE.
  const bool was_reset = has_state && info.tcpi_state == TCP_CLOSE;
  return !was_reset && UnacknowledgedBytes(socket).value_or(0) == 0;
}

Instant LastDataArrival(Instant now, boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                   &size) != 0) {
    return now;
  }
  return now - std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace sapphirebank
