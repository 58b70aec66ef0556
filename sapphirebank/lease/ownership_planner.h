#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/lease/owner_directory.h"

namespace sapphirebank {

// A host that membership counts as live, and since when.
struct LiveHost {
  HostId id;
  ZoneId zone;
  Instant live_since;
};

// Tells which keys this host should want, by rendezvous hashing (Thaler and
// Ravishankar, 1998) over the live hosts. A key "backend:<service>:<zone>"
// goes to a host of its zone as long as one is live.
//
// A holder keeps its keys while it lives, unless a better-ranked host has been
// live for `stickiness`: then it stops wanting the key, and the better one
// starts.
class OwnershipPlanner {
 public:
  OwnershipPlanner(HostId self, Duration rebalance_delay)
      : self_(std::move(self)), rebalance_delay_(rebalance_delay) {}

  // Replaces the live hosts. Costs a few hashes for each host that came and a
  // scan of the hosts for each key of one that went.
  void SetHosts(Instant now, std::span<const LiveHost> hosts);

  // Replaces the keys. Costs a scan of the hosts for each new key.
  void SetKeys(Instant now, std::span<const std::string> keys);

  // Returns the keys that this host should want, in order. `owners` must know
  // this host's own leases too.
  std::vector<std::string> DesiredKeys(Instant now,
                                       const OwnerDirectory& owners);

  // Returns the best-ranked live host for `key`; empty when there is none.
  HostId BestHostFor(std::string_view key) const;

 private:
  // Index into hosts_, or kNone.
  using HostIndex = std::int32_t;
  static constexpr HostIndex kNone = -1;

  struct Host {
    HostId id;
    std::uint64_t hash = 0;
    std::uint64_t zone_hash = 0;
    Instant live_since;
    bool live = false;
    bool settled = false;
  };

  struct Key {
    std::uint64_t hash = 0;
    std::uint64_t zone_hash = 0;  // 0 when the zone does not matter.
    HostIndex best = kNone;
    HostIndex best_settled = kNone;
  };

  bool RanksHigher(const Key& key, HostIndex a, HostIndex b) const;
  void FindBest(Key& key) const;
  void ConsiderHost(HostIndex host);
  void MarkSettledHosts(Instant now);
  HostIndex SelectHolder(const Key& key, HostIndex owner) const;
  HostIndex IndexOf(const HostId& id) const;
  HostIndex FreeSlot();

  HostId self_;
  Duration rebalance_delay_;
  std::vector<Host> hosts_;  // Places of hosts that went are used again.
  std::map<HostId, HostIndex> index_;
  std::map<std::string, Key, std::less<>> keys_;
};

}  // namespace sapphirebank
