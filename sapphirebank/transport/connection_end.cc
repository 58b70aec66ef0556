#include "sapphirebank/transport/connection_end.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <optional>

#include "sapphirebank/transport/send_watch.h"

namespace sapphirebank {
namespace {

// Returns what the system knows of a connection, or nothing if it does not
// tell.
std::optional<tcp_info> ReadTcpInfo(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                   &size) != 0) {
    return std::nullopt;
  }
  return info;
}

}  // namespace

bool EndedInOrder(boost::asio::ip::tcp::socket& socket) {
  const auto info = ReadTcpInfo(socket);
  // A FIN leaves TCP_CLOSE_WAIT, a reset TCP_CLOSE.
  const bool was_reset = info && info->tcpi_state == TCP_CLOSE;
  return !was_reset && UnacknowledgedBytes(socket).value_or(0) == 0;
}

Instant OpeningTime(Instant now, boost::asio::ip::tcp::socket& socket) {
  const auto info = ReadTcpInfo(socket);
  if (!info) return now;
  // Before the first write these are the repetitions of the SYN-ACK.
  if (info->tcpi_total_retrans > 0) return now - std::chrono::hours(1);
  // The time of the last write starts at that of the handshake.
  return now - std::chrono::milliseconds(info->tcpi_last_data_sent) -
         std::chrono::microseconds(info->tcpi_rtt);
}

Instant LastDataArrival(Instant now, boost::asio::ip::tcp::socket& socket) {
  const auto info = ReadTcpInfo(socket);
  if (!info) return now;
  return now - std::chrono::milliseconds(info->tcpi_last_data_recv);
}

}  // namespace sapphirebank
