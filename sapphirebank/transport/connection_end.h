#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Returns, of a connection on which a read found the end, whether the peer
// ended it in order, that is without a reset, and has acknowledged every byte
// that was written to it. A read alone does not tell: where a write before it
// got the error of the reset, the end looks orderly. What the system does not
// tell counts as in order.
bool EndedInOrder(boost::asio::ip::tcp::socket& socket);

// Returns the time since the last byte of data arrived on a connection, read or
// not, or zero where the system does not tell.
Duration TimeSinceLastData(boost::asio::ip::tcp::socket& socket);

}  // namespace sapphirebank
