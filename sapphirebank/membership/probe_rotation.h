#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/random.h"

namespace sapphirebank {

// The order in which members are probed. Each one is probed once per round, in
// an order that is shuffled for each round, so that the time until a member is
// probed again is bounded (SWIM, section 4.3).
class ProbeRotation {
 public:
  // Adds a new member at a random position in the rest of the current round.
  void Add(const HostId& id, Random& random);

  // Returns the next member of `live` to probe, or an empty id when there is
  // none.
  HostId Next(const std::set<HostId>& live, Random& random);

 private:
  std::vector<HostId> order_;
  std::size_t position_ = 0;
};

// Returns up to `count` different random elements of `ids` other than `except`.
std::vector<HostId> RandomHosts(const std::set<HostId>& ids, std::size_t count,
                                const HostId& except, Random& random);

}  // namespace sapphirebank
