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
  // The hosts whose majority must hold a revision before it counts as in
  // force. Change one at a time, and only when the last change is in force.
  std::vector<HostId> witnesses;
  // Age of a stamp up to which keys may be admitted. A withdrawn key stops
  // working on every host within this time after the withdrawal is in force.
  Duration max_stamp_age = std::chrono::seconds(10);
  // Time after which the control leader no longer counts a witness's report.
  Duration max_report_age = std::chrono::seconds(5);
  // Time between two rounds of questions.
  Duration query_period = std::chrono::seconds(1);
};

// A question to send to a witness.
struct OutgoingWitnessQuery {
  HostId to;
  WitnessQuery query;
};

// Decides whether this host may still admit keys, which it cannot know for
// itself when it hears nothing of control: either control is down, and then
// nothing can have been withdrawn, or this host is cut off.
//
// A stamp says that no later revision was in force at one instant. The control
// leader issues stamps, and so does any host that finds a majority of the
// witnesses holding no later revision, since a revision is in force only once
// a majority of the witnesses hold it. Two majorities share a witness, so a
// withdrawn key is admitted nowhere later than `max_stamp_age` after its
// withdrawal is in force, however hosts are cut off.
class FreshnessMonitor {
 public:
  // Fails with kInvalidSettings when a field is missing or out of range.
  static Result<FreshnessMonitor> Create(FreshnessSettings settings,
                                         Instant now);

  // Takes a stamp into account. `stamp.age` must include the whole round trip
  // of the question that it answers.
  void ObserveStamp(Instant now, const RevisionStamp& stamp);

  // Says that this host now rejects what `revision` withdrew. Revisions never
  // go back.
  void SetRevision(Revision revision);

  // Succeeds while keys may be admitted; fails with kKeyUnverifiable.
  Result<void> CheckAdmission(Instant now) const;

  // Returns the questions that are due.
  std::vector<OutgoingWitnessQuery> Tick(Instant now);

  // Returns when Tick() has something to do next.
  Instant next_tick() const { return next_round_; }

  // Returns this host's answer, unless it is no witness or cannot tell yet.
  std::optional<WitnessResponse> Receive(Instant now,
                                         const WitnessQuery& query) const;

  // Takes a witness's answer.
  void Receive(Instant now, const WitnessResponse& response);

  // Returns the youngest stamp, to be passed on to other hosts.
  std::optional<RevisionStamp> LatestStamp(Instant now) const {
    return latest_stamp_.At(now);
  }

  // Returns whether a revision above this host's own is known to exist, so
  // that it should be fetched.
  bool behind() const { return latest_stamp_.revision() > revision_; }

  // Returns whether this host may answer as a witness. After a start it may
  // only once it holds everything that can have come into force with a report
  // of its last life, which it forgot.
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
  // The youngest stamp that speaks of no revision above this host's own.
  LatestRevisionStamp admission_stamp_;

  std::uint32_t round_ = 0;
  std::optional<Instant> round_start_;
  std::map<HostId, Revision> responses_;
  Instant next_round_;
};

}  // namespace sapphirebank
