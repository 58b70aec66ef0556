#include "sapphirebank/fleet/hub_assignment.h"

#include <algorithm>
#include <set>

#include "sapphirebank/core/hash.h"

namespace sapphirebank {

std::vector<std::string> ActiveHubs(std::span<const HubHost> hubs,
                                    const ZoneId& zone,
                                    std::uint32_t entry_hosts) {
  std::set<ZoneId> zones;
  std::vector<std::string> active;
  for (const HubHost& hub : hubs) {
    zones.insert(hub.zone);
    if (hub.zone == zone) active.push_back(hub.address);
  }
  const auto hosts_for_one =
      kMaxEntryHostsPerHub * std::max<std::size_t>(zones.size(), 1);
  const std::size_t required = std::max<std::size_t>(
      (entry_hosts + hosts_for_one - 1) / hosts_for_one, 1);
  if (active.size() > required) active.resize(required);
  return active;
}

std::string AssignedHub(std::span<const std::string> hubs,
                        std::string_view member) {
  const std::vector<std::string_view> candidates(hubs.begin(), hubs.end());
  const int winner = RendezvousWinner(member, candidates);
  return winner < 0 ? std::string() : hubs[static_cast<std::size_t>(winner)];
}

}  // namespace sapphirebank
