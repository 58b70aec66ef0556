#pragma once

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// How long a host may act on its view of the replicated record, and by when a
// change of the record must be acted on everywhere.
struct ViewLeaseSettings {
  // A host refuses requests when its view was confirmed longer ago than this.
  Duration lease = std::chrono::milliseconds(4250);
  // It also refuses them when it asked its hub longer ago than this for the
  // last update that it got. A hub that lost the leader goes on answering, so
  // this ends the use of a view only where the host has lost its hub.
  Duration contact_lease = std::chrono::milliseconds(2100);
  // Times from the acknowledgement of a change until no host may act without
  // it, less the time for which a request is on its way to a backend server.
  Duration plan_bound = std::chrono::milliseconds(1700);
  Duration departure_bound = std::chrono::milliseconds(1700);
  Duration zone_bound = std::chrono::milliseconds(4250);
  // The least time that a limit leaves for that way.
  Duration way = std::chrono::milliseconds(300);
};

// Limits from which the settings of leases are derived: times from the
// acknowledgement of a change until a request that violates it is an error, and
// the time within which a change must be acknowledged.
struct ChangeLimits {
  Duration key_withdrawal = std::chrono::seconds(5);
  Duration plan = std::chrono::seconds(2);
  Duration departure = std::chrono::seconds(2);
  Duration zone = std::chrono::seconds(5);
  Duration acknowledgement = std::chrono::seconds(4);
};

// Returns the longest lease with which keys stop working in time and no
// acknowledgement is held back for more than half of its limit; the other half
// is for the election of a leader and for calls that are lost. The contact
// lease is such that a host that lost its hub holds back no acknowledgement for
// longer than an operator waits for the answer to a call.
ViewLeaseSettings MakeViewLeaseSettings(const ChangeLimits& limits);

// Returns the lease of a host whose leader cannot tell that all control hosts
// hold back acknowledgements until the leases are over: no bound is exceeded
// when a change is acknowledged at once.
Duration UngatedLease(const ViewLeaseSettings& settings);

}  // namespace sapphirebank
