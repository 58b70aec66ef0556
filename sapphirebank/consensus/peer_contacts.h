#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// The control hosts that others named as hosts to be linked with. The settings
// of a new host name a few hosts, none of which needs to lead the group or to
// belong to it.
class PeerContacts {
 public:
  // Time for which a host that was named is worth a connection.
  static constexpr Duration kRetention = std::chrono::seconds(5);

  // Limit on the hosts that are remembered.
  static constexpr std::size_t kMaxContacts = 64;

  explicit PeerContacts(HostId self);

  // Records that `hosts` were named.
  void Learn(Instant now, std::span<const HostId> hosts);

  // Returns the hosts that were named within kRetention, without this one.
  std::vector<HostId> Known(Instant now) const;

 private:
  HostId self_;
  std::map<HostId, Instant> named_at_;
};

}  // namespace sapphirebank
