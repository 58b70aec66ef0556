#pragma once

#include <map>
#include <vector>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/consensus/peer_message.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Tracks which node runs on each of the other control hosts, according to the
// latest Hello messages.
class PeerPresence {
 public:
  // Time for which a Hello counts as evidence that its sender is present.
  static constexpr Duration kPresenceTimeout = std::chrono::seconds(5);

  // `control_hosts` are all hosts of the group according to the settings.
  PeerPresence(HostId self, std::vector<HostId> control_hosts);

  // Adds a host that was discovered by other means than the settings.
  void Add(const HostId& host);

  // Records a Hello of `node` on `host`. Ignored for hosts that are neither in
  // the settings nor added.
  void RecordHello(Instant now, const HostId& host, const NodeId& node,
                   const Hello& hello);

  // Returns the nodes whose last Hello is younger than kPresenceTimeout.
  std::map<HostId, NodeId> Present(Instant now) const;

  // Returns the nodes that have announced themselves here for at least
  // `min_time` and still do.
  std::map<HostId, NodeId> Announcing(Instant now, Duration min_time) const;

  // Returns whether this host may bootstrap a new group: it is the first of the
  // hosts by name, and every other host has reported an empty log within
  // kPresenceTimeout. A host that lost its data folder never meets this
  // condition, because the other hosts hold a log.
  bool CanBootstrap(Instant now) const;

  const std::vector<HostId>& others() const { return others_; }

 private:
  struct LastHello {
    NodeId node;
    bool is_empty = false;
    Instant received_at;
    // The first and the last announcement of a series.
    Instant announced_since;
    Instant announced_at;
  };

  HostId self_;
  std::vector<HostId> others_;
  std::map<HostId, LastHello> last_hellos_;
};

}  // namespace sapphirebank
