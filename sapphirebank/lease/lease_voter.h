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

// One voter of the leases: an acceptor of PaxosLease (Trencseni, Gazso and
// Reinhardt, 2012), without a disk. At any time it has granted a key to one
// holder at most, and so a majority cannot have granted it to two.
//
// What it granted before a restart is lost. So a new voter, and one whose set
// changed, gives no new grant for one longest lease and its drift margin. One
// whose set changed also waits until a majority of the set before has left it,
// and goes on extending what it granted itself.
class LeaseVoter {
 public:
  // Starts a voter at `now`. `term_floor` is below every term that it grants:
  // calendar seconds shifted left by kTermBits keep terms growing over a
  // restart of all voters. Fails with kInvalidSettings.
  static Result<LeaseVoter> Create(HostId self, LeaseSettings settings,
                                   VoterSet voters, Term term_floor,
                                   Instant now);

  static constexpr int kTermBits = 16;

  // Answers a holder.
  OutgoingLeaseMessage OnRequest(Instant now, const HostId& from,
                                 const LeaseRequest& request);

  // Learns another voter's epoch; answers when it wants to know ours.
  std::vector<OutgoingLeaseMessage> OnNotice(Instant now, const HostId& from,
                                             const VoterEpochNotice& notice);

  // Moves to a newer set of voters. Fails with kInvalidSettings when the set
  // is not one host apart from the set before.
  Result<void> AdoptVoters(Instant now, VoterSet voters);

  // Returns what is due, and forgets keys that were idle for long. Call it a
  // few times a second.
  std::vector<OutgoingLeaseMessage> Tick(Instant now);

  // Returns whether new leases are granted.
  bool Ready(Instant now) const;

  VoterEpoch epoch() const { return voters_.epoch; }

  // Returns how many keys it remembers.
  std::size_t key_count() const { return keys_.size(); }

 private:
  struct Record {
    Term promised = 0;
    HostId promised_to;
    // The last grant; `holder` is empty when it was released.
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
  // No new grant before this instant, and none at all while it is missing.
  std::optional<Instant> ready_at_;
  // Voters of the set before that were heard to have left it.
  std::set<HostId> left_previous_;
  std::unordered_map<std::string, Record> keys_;
  Instant next_cleanup_;
};

}  // namespace sapphirebank
