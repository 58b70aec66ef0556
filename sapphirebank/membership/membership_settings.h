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
  // Address on which this host receives membership messages, as "address:port".
  std::string address;
  std::string metadata = {};
  // Should increase with each start of the host, such as the time in seconds.
  // If it does not, the host raises it once other hosts report a higher one.
  Incarnation incarnation = 1;
  // Addresses of hosts to contact at the start and whenever no live member has
  // the address.
  std::vector<std::string> seeds = {};
  // Time between two probes, and until a probe counts as failed. The defaults
  // of this and of `probe_timeout` suit a fleet within one region: both must be
  // several round trips.
  Duration probe_period = std::chrono::milliseconds(200);
  // Time without an ack after which other hosts are requested to probe the
  // target too.
  Duration probe_timeout = std::chrono::milliseconds(60);
  // Number of hosts that are requested to probe the target too.
  std::size_t relays = 3;
  // Minimum duration of a suspicion, in probe periods times log10 of the
  // fleet's size.
  double suspicion_factor = 4;
  // Maximum duration of a suspicion, as a multiple of the minimum.
  double suspicion_max_factor = 6;
  Duration sync_period = std::chrono::seconds(10);
  // Time between two attempts to contact failed members and seeds.
  Duration contact_period = std::chrono::seconds(2);
  // Time for which a failed member is kept and still contacted.
  Duration failed_retention = std::chrono::hours(6);
  // Time for which a member that left is kept.
  Duration left_retention = std::chrono::minutes(10);
  // Maximum size of an encoded message, in bytes.
  std::size_t packet_limit = 1200;
};

// Fails with kInvalidSettings, naming the field, when a value is missing, too
// long or out of range.
Result<void> CheckMembershipSettings(const MembershipSettings& settings);

}  // namespace sapphirebank
