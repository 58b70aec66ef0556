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

// A live member of the fleet, and since when it has been live.
struct LiveHost {
  HostId id;
  ZoneId zone;
  Instant live_since;
};

// Determines the keys that this host should hold, by rendezvous hashing (Thaler
// and Ravishankar, 1998) over the live hosts. A key "backend:<service>:<zone>"
// is assigned to a host of its zone as long as one is live.
//
// A holder keeps its keys while it is live, unless a higher-ranked host has
// been live for `rebalance_delay`. Then the holder gives up the key and the
// higher-ranked host acquires it.
class OwnershipPlanner {
 public:
  OwnershipPlanner(HostId self, Duration rebalance_delay)
      : self_(std::move(self)), rebalance_delay_(rebalance_delay) {}

  // Replaces the live hosts. Costs a few hashes for each added host, and a scan
  // of the hosts for each key of a removed one.
  void SetHosts(Instant now, std::span<const LiveHost> hosts);

  // Replaces the keys. Costs a scan of the hosts for each new key.
  void SetKeys(Instant now, std::span<const std::string> keys);

  // Returns the keys that this host should hold, in order. `owners` must
  // include this host's own leases.
  std::vector<std::string> DesiredKeys(Instant now,
                                       const OwnerDirectory& owners);

  // Returns the highest-ranked live host for `key`, or an empty id when no host
  // is live or the key is unknown.
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
    // Live for at least `rebalance_delay`.
    bool settled = false;
  };

  struct Key {
    std::uint64_t hash = 0;
    std::uint64_t zone_hash = 0;  // 0 for a key without a zone.
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
  std::vector<Host> hosts_;  // Slots of removed hosts are reused.
  std::map<HostId, HostIndex> index_;
  std::map<std::string, Key, std::less<>> keys_;
};

}  // namespace sapphirebank
