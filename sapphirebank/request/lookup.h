#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/request/owner_load_table.h"

namespace sapphirebank {

// A live entry host that callers may be sent to.
struct LookupHost {
  HostId host;
  ZoneId zone;
  Endpoint callers;
};

// Returns addresses for callers of one service, the best first: hosts which
// own backend servers with free slots, as they need no second hop, then other
// owners, then any host, in random order each, and one zone after the other,
// so that the loss of a zone leaves a caller addresses that work.
std::vector<Endpoint> ChooseAddresses(std::span<const LookupHost> hosts,
                                      std::span<const OwnerLoad> owners,
                                      std::size_t count, Random& random);

}  // namespace sapphirebank
