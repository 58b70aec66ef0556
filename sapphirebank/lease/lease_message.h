#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Number of a set of lease voters. A larger one is newer.
using VoterEpoch = std::uint64_t;

// The hosts of which a majority grants leases. Two sets with successive epochs
// differ in one host at most.
struct VoterSet {
  VoterEpoch epoch = 1;
  std::vector<HostId> hosts;
  // The hosts of the previous epoch; empty for the first epoch.
  std::vector<HostId> previous;

  friend bool operator==(const VoterSet&, const VoterSet&) = default;
};

// The operation that a holder requests for one key. They are the phases of
// PaxosLease (Trencseni, Gazso and Reinhardt, 2012); `kExtend` is a proposal
// under a term that was already granted, and `kLookup` only queries who holds
// the key.
enum class LeaseOperation { kPrepare, kPropose, kExtend, kRelease, kLookup };

// An operation on one key under one term.
struct LeaseItem {
  LeaseOperation operation = LeaseOperation::kPrepare;
  std::string key;
  Term term = 0;

  friend bool operator==(const LeaseItem&, const LeaseItem&) = default;
};

// Request of a holder to a voter.
struct LeaseRequest {
  VoterEpoch epoch = 0;
  // Repeated in the response, so that the holder can match the response to the
  // time at which it sent the request.
  std::uint64_t round = 0;
  Duration length = Duration::zero();
  std::vector<LeaseItem> items;

  friend bool operator==(const LeaseRequest&, const LeaseRequest&) = default;
};

// A voter's decision on one item.
enum class LeaseVerdict {
  kGranted,
  kHeld,       // Another host has an unexpired grant.
  kStaleTerm,  // An equal or larger term was promised before.
  kFree,       // Result of a lookup: no unexpired grant.
};

// A voter's result for one item.
struct LeaseItemResult {
  LeaseItem item;
  LeaseVerdict verdict = LeaseVerdict::kGranted;
  // The largest term that the voter knows for the key. With a promise, the
  // largest term that it granted before.
  Term known_term = 0;
  // The host of the voter's last grant for the key; empty when there is none.
  HostId holder;
  // Remaining time of that grant by the voter's clock.
  Duration remaining = Duration::zero();

  friend bool operator==(const LeaseItemResult&,
                         const LeaseItemResult&) = default;
};

// Whether a voter processed the items of a request.
enum class VoterState {
  kReady,
  kWaiting,     // It does not grant new leases yet.
  kWrongEpoch,  // It is in another epoch, or not a voter of it.
};

// Response of a voter to a holder.
struct LeaseResponse {
  VoterEpoch epoch = 0;  // The epoch of the voter.
  std::uint64_t round = 0;
  VoterState state = VoterState::kReady;
  std::vector<LeaseItemResult> results;  // Empty for kWrongEpoch.

  friend bool operator==(const LeaseResponse&, const LeaseResponse&) = default;
};

// Sent between voters: the sender refuses requests of epochs below `epoch`.
struct VoterEpochNotice {
  VoterEpoch epoch = 0;
  bool wants_response = false;

  friend bool operator==(const VoterEpochNotice&,
                         const VoterEpochNotice&) = default;
};

// Announces the keys that a holder owns and those that it released.
struct OwnerAnnouncement {
  struct Key {
    std::string key;
    Term term = 0;
    friend bool operator==(const Key&, const Key&) = default;
  };
  HostId host;
  std::vector<Key> held;
  std::vector<Key> released;

  friend bool operator==(const OwnerAnnouncement&,
                         const OwnerAnnouncement&) = default;
};

using LeaseMessage = std::variant<LeaseRequest, LeaseResponse, VoterEpochNotice,
                                  OwnerAnnouncement>;

// A message and its destination.
struct OutgoingLeaseMessage {
  HostId to;
  LeaseMessage message;
};

}  // namespace sapphirebank
