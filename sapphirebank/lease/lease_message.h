#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Counts the sets of lease voters. A larger one is newer.
using VoterEpoch = std::uint64_t;

// The hosts whose majority grants leases. Two sets with neighbouring epochs
// differ in one host at most.
struct VoterSet {
  VoterEpoch epoch = 1;
  std::vector<HostId> hosts;
  // The hosts of the epoch before; empty for the first epoch.
  std::vector<HostId> previous;

  friend bool operator==(const VoterSet&, const VoterSet&) = default;
};

// What a holder asks for one key. The steps are those of PaxosLease
// (Trencseni, Gazso and Reinhardt, 2012); `kExtend` is a proposal under a term
// that was already granted, and `kLookup` only asks who holds the key.
enum class LeaseOperation { kPrepare, kPropose, kExtend, kRelease, kLookup };

// A step for one key under one term.
struct LeaseItem {
  LeaseOperation operation = LeaseOperation::kPrepare;
  std::string key;
  Term term = 0;

  friend bool operator==(const LeaseItem&, const LeaseItem&) = default;
};

// From a holder to a voter.
struct LeaseRequest {
  VoterEpoch epoch = 0;
  // Repeated in the answer, so that the holder knows when it asked.
  std::uint64_t round = 0;
  Duration length = Duration::zero();
  std::vector<LeaseItem> items;

  friend bool operator==(const LeaseRequest&, const LeaseRequest&) = default;
};

// What a voter says to one item.
enum class LeaseVerdict {
  kGranted,
  kHeld,       // Another host has an unexpired grant.
  kStaleTerm,  // A term as large was promised before.
  kFree,       // Answer to a lookup: no unexpired grant.
};

// A voter's answer to one item.
struct LeaseItemResult {
  LeaseItem item;
  LeaseVerdict verdict = LeaseVerdict::kGranted;
  // Largest term that the voter knows for the key; with a promise, the largest
  // that it granted before.
  Term known_term = 0;
  // The host of the voter's last grant for the key; may be empty.
  HostId holder;
  // Remaining time of that grant, by the voter's clock.
  Duration remaining = Duration::zero();

  friend bool operator==(const LeaseItemResult&,
                         const LeaseItemResult&) = default;
};

// Whether a voter considered the items of a request.
enum class VoterState {
  kReady,
  kWaiting,     // It does not grant new leases yet.
  kWrongEpoch,  // It is in another epoch, or no voter of it.
};

// From a voter to a holder.
struct LeaseResponse {
  VoterEpoch epoch = 0;  // The voter's epoch.
  std::uint64_t round = 0;
  VoterState state = VoterState::kReady;
  std::vector<LeaseItemResult> results;  // Empty in a wrong epoch.

  friend bool operator==(const LeaseResponse&, const LeaseResponse&) = default;
};

// From a voter to a voter: the sender refuses epochs below `epoch`.
struct VoterEpochNotice {
  VoterEpoch epoch = 0;
  bool wants_answer = false;

  friend bool operator==(const VoterEpochNotice&,
                         const VoterEpochNotice&) = default;
};

// From a holder to everyone who asks for owners.
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

// A message to send.
struct OutgoingLeaseMessage {
  HostId to;
  LeaseMessage message;
};

}  // namespace sapphirebank
