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

// Load of the backend servers of one service in one zone, as reported by the
// host that owns them.
struct OwnerLoad {
  HostId host;
  Endpoint forwards;  // Where the owner takes forwarded requests.
  ServiceId service;
  ZoneId zone;
  std::uint32_t free_slots = 0;
  std::uint32_t usable_slots = 0;  // Slots of servers in service.
  std::uint32_t waiting = 0;       // Requests in the owner's queue.

  friend bool operator==(const OwnerLoad&, const OwnerLoad&) = default;
};

struct OwnerLoadTableSettings {
  ZoneId zone;  // Zone of this host; its owners are preferred.
  // Age after which a reported load is ignored.
  Duration load_ttl = std::chrono::seconds(3);
};

// Loads that other hosts report for the backend servers they own. The loads are
// a few hundred milliseconds old, so Choose() takes the less loaded of two
// random owners (power of two choices; Mitzenmacher, 2001). Always taking the
// least loaded owner would send the requests of all hosts to it at once.
class OwnerLoadTable {
 public:
  explicit OwnerLoadTable(OwnerLoadTableSettings settings)
      : settings_(std::move(settings)) {}

  // Stores a load that an owner reported at `now`.
  void Update(Instant now, const OwnerLoad& load);

  // Removes the loads of a host that left or failed.
  void ForgetHost(const HostId& host);

  // Returns an owner to forward a request of `service` to; nothing when no
  // usable owner is known. Owners with free slots are preferred, and among them
  // those in this zone. The chosen owner is counted as one request busier until
  // it reports its next load.
  std::optional<OwnerLoad> Choose(Instant now, const ServiceId& service,
                                  std::span<const HostId> excluded,
                                  Random& random);

  // Returns the usable owners of `service`, ordered by host and zone.
  std::vector<OwnerLoad> OwnersOf(Instant now, const ServiceId& service) const;

  // Returns the number of free slots at the usable owners of `service`.
  std::uint32_t FreeSlots(Instant now, const ServiceId& service) const;

 private:
  struct Entry {
    OwnerLoad load;
    Instant received_at;
  };
  using EntryKey = std::pair<HostId, ZoneId>;
  using Entries = std::map<EntryKey, Entry>;

  // Returns whether the load is recent, the owner has usable slots, and its
  // host is not in `excluded`.
  bool Usable(Instant now, const Entry& entry,
              std::span<const HostId> excluded) const;

  OwnerLoadTableSettings settings_;
  std::map<ServiceId, Entries> services_;
};

}  // namespace sapphirebank
