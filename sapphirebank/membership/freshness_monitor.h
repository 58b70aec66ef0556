#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/membership/freshness_message.h"
#include "sapphirebank/membership/revision_stamp.h"

namespace sapphirebank {

struct FreshnessSettings {
  HostId self;
  // The hosts of which a majority must hold a revision before it is in force.
  // Change one at a time, and only when the previous change is in force: any
  // two successive majorities must share a host.
  std::vector<HostId> witnesses;
  // Maximum age of a stamp for which keys are still admitted. A withdrawn key
  // stops working on every host within this time after the withdrawal is in
  // force.
  Duration max_stamp_age = std::chrono::seconds(10);
  // Maximum age at which the control leader still counts a witness's report.
  Duration max_report_age = std::chrono::seconds(5);
  // Time between two rounds of queries to the witnesses.
  Duration query_period = std::chrono::seconds(1);
};

// A query and the witness to send it to.
struct OutgoingWitnessQuery {
  HostId to;
  WitnessQuery query;
};

// Decides whether this host may still admit keys. A host that receives nothing
// from control cannot tell whether control is down, in which case no key can
// have been withdrawn, or whether the host itself is partitioned.
//
// A stamp states that no later revision was in force at one instant. Stamps are
// issued by the control leader, and by any host that finds a majority of the
// witnesses holding no later revision, since a revision is in force only once a
// majority of the witnesses hold it. Any two majorities share a witness, so no
// host admits a withdrawn key later than `max_stamp_age` after its withdrawal
// is in force, whatever the partitions.
class FreshnessMonitor {
 public:
  // Fails with kInvalidSettings when a field is missing or out of range.
  static Result<FreshnessMonitor> Create(FreshnessSettings settings,
                                         Instant now);

  // Evaluates a received stamp. `stamp.age` must include the whole round trip
  // of the request that it answers.
  void ObserveStamp(Instant now, const RevisionStamp& stamp);

  // States that this host now rejects the keys that `revision` withdrew. The
  // revision never decreases.
  void SetRevision(Revision revision);

  // Succeeds while keys may be admitted; fails with kKeyUnverifiable otherwise.
  Result<void> CheckAdmission(Instant now) const;

  // Starts a round when one is due. Returns its queries.
  std::vector<OutgoingWitnessQuery> Tick(Instant now);

  // Returns when Tick() is due next.
  Instant next_tick() const { return next_round_; }

  // Returns this host's response to a query, or nothing when it is not a
  // witness or has not recovered.
  std::optional<WitnessResponse> Receive(Instant now,
                                         const WitnessQuery& query) const;

  // Handles a witness's response. One of an earlier round is ignored.
  void Receive(Instant now, const WitnessResponse& response);

  // Returns the most recently issued stamp, to be passed on to other hosts.
  std::optional<RevisionStamp> LatestStamp(Instant now) const {
    return latest_stamp_.At(now);
  }

  // Returns whether a newer revision than this host's is known, so that it
  // should be fetched.
  bool behind() const { return latest_stamp_.revision() > revision_; }

  // Returns whether this host may respond as a witness. After a restart it has
  // lost the revision that its previous process reported. So it waits for a
  // stamp that was issued `max_report_age` after the start, when no such report
  // counts any more, and for the revision of that stamp.
  bool recovered() const;

  // Returns the revision of this host.
  Revision revision() const { return revision_; }

 private:
  FreshnessMonitor(FreshnessSettings settings, Instant now);

  bool IsWitness(const HostId& id) const;
  std::size_t Majority() const { return settings_.witnesses.size() / 2 + 1; }
  Duration StampAgeToQuery() const;
  void EvaluateRound(Instant now);

  FreshnessSettings settings_;
  Instant started_;
  Revision revision_ = 0;
  LatestRevisionStamp latest_stamp_;
  // The most recently issued stamp whose revision this host holds.
  LatestRevisionStamp admission_stamp_;

  std::uint32_t round_ = 0;
  std::optional<Instant> round_start_;
  std::map<HostId, Revision> responses_;
  Instant next_round_;
};

}  // namespace sapphirebank
