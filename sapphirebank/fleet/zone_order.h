#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_record.h"

namespace sapphirebank {

// An order on a zone and what its control host knew when it began.
struct ZoneOrder {
  SetZoneOut change;
  // FleetRecord::KnownZoneChange() there; nothing from an earlier build.
  std::optional<std::uint64_t> known_change;
};

// What the leader does with an order on a zone.
enum class ZoneOrderStep {
  kPropose,
  kAcknowledge,  // The zone is as ordered.
  // Another change may have come between. The control host that has the call
  // asks again while the order is new.
  kReject,
};

// Zones with changes that the leader has proposed and whose outcome it does not
// know. Orders carry no version, so the leader lets an order pass only where
// the zone has not changed since the order's control host looked; a change on
// its way is one that the host cannot have seen.
class ZoneOrderGate {
 public:
  // Decides on an order by `record`, which is at least as recent as the order's
  // arrival here and confirmed by a majority.
  ZoneOrderStep Decide(Instant now, const ZoneOrder& order,
                       const FleetRecord& record) const;

  // Records a proposal and its end. One that ended without a majority may still
  // be committed.
  void RecordProposal(const ZoneId& zone);
  void RecordEnd(Instant now, const ZoneId& zone, bool may_be_committed);

  // Forgets all proposals: the next confirmed record of this host has all that
  // were committed.
  void Clear() { unsettled_.clear(); }

 private:
  struct Unsettled {
    int proposals = 0;
    Instant until;
  };

  std::map<ZoneId, Unsettled> unsettled_;
};

}  // namespace sapphirebank
