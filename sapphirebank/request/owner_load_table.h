#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "sapphirebank/core/endpoint.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// What the owner of the backend servers of one service in one zone tells
// about them.
struct OwnerLoad {
  HostId host;
  Endpoint forwards;  // Where the host takes requests of other hosts.
  ServiceId service;
  ZoneId zone;
  std::uint32_t free_slots = 0;
  std::uint32_t usable_slots = 0;  // Of servers that take work.
  std::uint32_t waiting = 0;       // Requests in the owner's queue.

  friend bool operator==(const OwnerLoad&, const OwnerLoad&) = default;
};

struct OwnerLoadTableSettings {
  ZoneId zone;  // Of this host; owners in it are preferred.
  // Age after which a load says nothing any more.
  Duration load_ttl = std::chrono::seconds(3);
};

// Which other hosts own backend servers of each service and how busy they
// are. The loads are some hundred milliseconds old, so a host takes one of two
// owners at random, the less busy (Mitzenmacher, 2001), and not the best of
// all, which every host would choose at once.
class OwnerLoadTable {
 public:
  explicit OwnerLoadTable(OwnerLoadTableSettings settings)
      : settings_(std::move(settings)) {}

  // Takes the load that an owner told.
  void Update(Instant now, const OwnerLoad& load);

  // Forgets everything of a host that left or failed.
  void ForgetHost(const HostId& host);

  // Returns an owner to send a request of `service` to, if one is known that
  // takes work. Owners with free slots come first, those of this zone among
  // them. A chosen owner counts as one slot busier until its next load.
  std::optional<OwnerLoad> Choose(Instant now, const ServiceId& service,
                                  std::span<const HostId> excluded,
                                  Random& random);

  // Returns the owners of `service` that take work, in the order of their
  // hosts and zones.
  std::vector<OwnerLoad> OwnersOf(Instant now, const ServiceId& service) const;

  // Returns how many slots of other owners are free for `service`.
  std::uint32_t FreeSlots(Instant now, const ServiceId& service) const;

 private:
  struct Entry {
    OwnerLoad load;
    Instant received_at;
  };
  using EntryKey = std::pair<HostId, ZoneId>;
  using Entries = std::map<EntryKey, Entry>;

  bool Usable(Instant now, const Entry& entry,
              std::span<const HostId> excluded) const;

  OwnerLoadTableSettings settings_;
  std::map<ServiceId, Entries> services_;
};

}  // namespace sapphirebank
