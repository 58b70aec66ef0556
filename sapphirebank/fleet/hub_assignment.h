#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_messages.h"

namespace sapphirebank {

// Maximum number of entry hosts of a zone for which one hub is used. Several
// hubs divide a zone's entry hosts and backend servers among them, which costs
// some accuracy: a hub does not count what others send to its servers.
inline constexpr std::uint32_t kMaxEntryHostsPerHub = 32;

// Time between an entry host's reports without urgent content. Together with
// the leader update age it bounds how old its information about keys is.
inline constexpr Duration kReportPeriod = std::chrono::milliseconds(500);

// A hub whose leader update is older than this may be partitioned from the
// leader, and its entry hosts look for another. They must find one in time to
// apply a plan that was accepted meanwhile.
inline constexpr Duration kMaxHubUpdateAge = std::chrono::milliseconds(1200);

// Maximum leader update age of a hub that a host changes to. Hubs that follow
// the leader are confirmed several times a second; the updates of hubs that
// lost it together differ by as much, so a slightly newer one says nothing.
inline constexpr Duration kRecentUpdateAge = std::chrono::milliseconds(600);

// Returns the addresses of the hubs among which the entry hosts and backend
// servers of `zone` are divided: as many of the zone's first ones in `hubs` as
// `entry_hosts`, the number in all zones, require. Every host computes the
// same.
std::vector<std::string> ActiveHubs(std::span<const HubHost> hubs,
                                    const ZoneId& zone,
                                    std::uint32_t entry_hosts);

// Returns which of `hubs` an entry host or backend server belongs to, by
// rendezvous hashing (Thaler and Ravishankar, 1998): when one is lost, only its
// members move. Returns an empty address without any hub.
std::string AssignedHub(std::span<const std::string> hubs,
                        std::string_view member);

}  // namespace sapphirebank
