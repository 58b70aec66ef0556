#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/lease/lease_message.h"
#include "sapphirebank/lease/lease_settings.h"

namespace sapphirebank {

// A voter for leases: an acceptor of PaxosLease (Trencseni, Gazso and
// Reinhardt, 2012) without persistent state. At any time it has granted a key
// to one holder at most, so two holders cannot both have the grants of a
// majority.
//
// A restart loses the grants. So a new voter, and one whose set of voters
// changed, gives no new grant for one maximum lease and its drift margin. A
// voter whose set changed also waits until a majority of the previous set has
// left that set. Meanwhile it still extends its own grants.
class LeaseVoter {
 public:
  // Starts a voter at `now`. It grants only terms above `term_floor`. A floor
  // of calendar seconds shifted left by kTermBits lets terms increase across a
  // restart of all voters. Fails with kInvalidSettings.
  static Result<LeaseVoter> Create(HostId self, LeaseSettings settings,
                                   VoterSet voters, Term term_floor,
                                   Instant now);

  static constexpr int kTermBits = 16;

  // Handles a holder's request and returns the response.
  OutgoingLeaseMessage OnRequest(Instant now, const HostId& from,
                                 const LeaseRequest& request);

  // Records another voter's epoch. Returns a notice with this voter's epoch
  // when the sender wants one.
  std::vector<OutgoingLeaseMessage> OnNotice(Instant now, const HostId& from,
                                             const VoterEpochNotice& notice);

  // Adopts a newer set of voters. Fails with kInvalidSettings when the set
  // differs from the previous one in more than one host.
  Result<void> AdoptVoters(Instant now, VoterSet voters);

  // Returns the notices that are due, and removes keys that have been idle for
  // long. Call it a few times a second.
  std::vector<OutgoingLeaseMessage> Tick(Instant now);

  // Returns whether this voter grants new leases.
  bool Ready(Instant now) const;

  VoterEpoch epoch() const { return voters_.epoch; }

  // Returns the number of keys with a record.
  std::size_t key_count() const { return keys_.size(); }

 private:
  struct Record {
    Term promised = 0;
    HostId promised_to;
    // The last grant; `holder` is empty after a release.
    Term granted = 0;
    HostId holder;
    Instant expires_at;
  };

  LeaseVoter(HostId self, LeaseSettings settings, VoterSet voters,
             Term term_floor, Instant now);

  LeaseItemResult HandleItem(Instant now, const HostId& from,
                             const LeaseItem& item, Duration length);
  LeaseVerdict Prepare(Record& record, const HostId& from, Term term) const;
  LeaseVerdict Grant(Instant now, Record& record, const HostId& from, Term term,
                     Duration length) const;
  bool IsVoter() const;
  void CheckPreviousEpochLeft(Instant now);
  void RemoveIdleKeys(Instant now);

  HostId self_;
  LeaseSettings settings_;
  VoterSet voters_;
  Term term_floor_;
  // Instant from which new grants are given; none are given while it is empty.
  std::optional<Instant> ready_at_;
  // Voters of the previous set that have announced that they left it.
  std::set<HostId> left_previous_;
  std::unordered_map<std::string, Record> keys_;
  Instant next_cleanup_;
};

}  // namespace sapphirebank
