#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct MembershipSettings {
  HostId id;
  ZoneId zone;
  // Where this host takes membership messages, as "address:port".
  std::string address;
  std::string metadata = {};
  // Should grow with each start of the host, such as the time in seconds; the
  // fleet corrects one that does not.
  Incarnation incarnation = 1;
  // Addresses of hosts to ask at the start and whenever they are not members.
  std::vector<std::string> seeds = {};
  // Time between two probes, and until a probe counts as failed. Both fit a
  // fleet within one region; they must be several round trips.
  Duration probe_period = std::chrono::milliseconds(200);
  // Time until other hosts are asked to probe as well.
  Duration probe_timeout = std::chrono::milliseconds(60);
  // Hosts that are asked to probe as well.
  std::size_t relays = 3;
  // Shortest suspicion, in probe periods times log10 of the fleet's size.
  double suspicion_factor = 4;
  // Longest suspicion, as a multiple of the shortest.
  double suspicion_max_factor = 6;
  Duration sync_period = std::chrono::seconds(10);
  // Time between two messages to failed members or seeds.
  Duration contact_period = std::chrono::seconds(2);
  // How long a failed member is still contacted.
  Duration failed_retention = std::chrono::hours(6);
  // How long it is remembered that a member left.
  Duration left_retention = std::chrono::minutes(10);
  // Largest encoded message, in bytes.
  std::size_t packet_limit = 1200;
};

// Fails with kInvalidSettings, naming the field, when a value is missing, too
// long or out of range.
Result<void> CheckMembershipSettings(const MembershipSettings& settings);

}  // namespace sapphirebank
