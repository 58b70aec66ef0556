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

// Returns the earliest time at which the peer can have begun to open an
// accepted connection on which this side has written nothing yet: the time of
// the handshake less the round trip that the system measured in it. A handshake
// that had to be repeated tells nothing of its beginning and counts as an hour
// old. Returns `now` where the system does not tell. The present time has to be
// read before the call, as for LastDataArrival().
Instant OpeningTime(Instant now, boost::asio::ip::tcp::socket& socket);

// Returns when the last byte of data arrived on a connection, read or not, or
// `now` where the system does not tell. The present time has to be read before
// the call: a process that is suspended in between then takes the data for
// older than it is, not for newer.
Instant LastDataArrival(Instant now, boost::asio::ip::tcp::socket& socket);

}  // namespace sapphirebank
