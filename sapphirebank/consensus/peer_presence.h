#pragma once

#include <map>
#include <vector>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Which node runs on each of the other control hosts, by what they last said.
class PeerPresence {
 public:
  // What was heard counts for this long.
  static constexpr Duration kPresenceTimeout = std::chrono::seconds(5);

  // `control_hosts` are all hosts of the group by the settings.
  PeerPresence(HostId self, std::vector<HostId> control_hosts);

  // Adds a host that was learned from elsewhere than the settings.
  void Add(const HostId& host);

  // Records that `node` runs on `host`. Hosts neither in the settings nor
  // added are ignored.
  void RecordHello(Instant now, const HostId& host, const NodeId& node,
                   bool is_empty);

  // Returns the nodes heard within kPresenceTimeout.
  std::map<HostId, NodeId> Present(Instant now) const;

  // Returns whether this host is the one that forms a new group, and every
  // other host of the settings said within kPresenceTimeout that it holds
  // nothing. A host that lost its data folder never finds that: the others hold
  // a log.
  bool CanBootstrap(Instant now) const;

  const std::vector<HostId>& others() const { return others_; }

 private:
  struct LastHello {
    NodeId node;
    bool is_empty = false;
    Instant received_at;
  };

  HostId self_;
  std::vector<HostId> others_;
  std::map<HostId, LastHello> last_hellos_;
};

}  // namespace sapphirebank
