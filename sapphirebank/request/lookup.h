#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/request/owner_load_table.h"

namespace sapphirebank {

// A live entry host whose address may be given to callers.
struct LookupHost {
  HostId host;
  ZoneId zone;
  Endpoint callers;
};

// Returns up to `count` addresses for callers of one service, the best first:
// hosts that own backend servers with free slots, which need no forwarding hop,
// then other owners, then all other hosts, each group in random order. Zones
// alternate, so that a caller keeps working addresses when a zone fails.
std::vector<Endpoint> ChooseAddresses(std::span<const LookupHost> hosts,
                                      std::span<const OwnerLoad> owners,
                                      std::size_t count, Random& random);

}  // namespace sapphirebank
