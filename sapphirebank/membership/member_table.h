#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/state_chart.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/membership/member.h"
#include "sapphirebank/membership/membership_message.h"
#include "sapphirebank/membership/suspicion.h"

namespace sapphirebank {

// The result of applying an update to the table.
enum class UpdateOutcome {
  kNoChange,  // The table already reflects it.
  kStale,     // The table holds a newer incarnation or state.
  kApplied,   // The table changed; the update is worth gossiping.
};

// Every other host that this host knows of, with the precedence rules of SWIM
// (section 4.2): a higher incarnation wins, and at equal incarnations
// `kSuspect` overrides `kAlive`. One rule is stricter: a report from another
// host alone never makes a member failed. It counts as a suspicion, so that a
// host that receives no messages cannot take members out of service on other
// hosts.
class MemberTable {
 public:
  // Number of digests by which two hosts compare their views.
  static constexpr std::size_t kBuckets = 64;

  // Loads the state chart `member`. Fails with kInvalidSettings.
  static Result<MemberTable> Create();

  // Applies an update about another host and appends an event for each change.
  // `limits` apply to a suspicion that this update starts.
  UpdateOutcome Apply(const MemberUpdate& update, Instant now,
                      const SuspicionLimits& limits,
                      std::vector<MemberEvent>& events);

  // Marks the members as failed whose suspicion has reached its deadline.
  // Appends the resulting updates, with `reporter` as their source, and the
  // events.
  void ExpireSuspicions(Instant now, const HostId& reporter,
                        std::vector<MemberUpdate>& updates,
                        std::vector<MemberEvent>& events);

  // Postpones by `time` the suspicions that began after `last_received_at`, or
  // all of them when `last_received_at` is empty.
  void PostponeSuspicions(Duration time,
                          std::optional<Instant> last_received_at);

  // Returns the earliest deadline of a suspicion, if there is one.
  std::optional<Instant> next_suspicion_end() const;

  // Removes members that failed before `failed_before` or left before
  // `left_before`.
  void RemoveDeparted(Instant failed_before, Instant left_before);

  // Returns the member, or null when it is unknown.
  const Member* Find(const HostId& id) const;

  // Appends the updates that describe a member to other hosts, with `reporter`
  // as their source: its details while it is live, and its state unless it is
  // alive.
  void AppendUpdates(const HostId& id, const HostId& reporter,
                     std::vector<MemberUpdate>& updates) const;

  // Returns the members in the order of their ids.
  std::vector<const Member*> Members() const;

  // Returns the ids of the live members of one bucket, in order.
  const std::set<HostId>& LiveInBucket(std::size_t bucket) const {
    return buckets_.at(bucket);
  }

  // Returns one digest for each bucket of live members.
  std::span<const std::uint32_t> digests() const { return digests_; }

  // Returns the contribution of one member to the digest of its bucket, where
  // `details` belong to `incarnation`.
  static std::uint32_t DigestOf(const HostId& id, Incarnation incarnation,
                                const MemberDetails& details);

  // Returns the bucket of a host id.
  static std::size_t BucketOf(const HostId& id);

  // Returns the ids of live members, in order.
  const std::set<HostId>& live() const { return live_; }

  // Returns the ids of failed members, in order.
  const std::set<HostId>& failed() const { return failed_; }

 private:
  struct Record {
    Member member;
    // The incarnation that the details belong to. It is lower than that of the
    // member when a suspicion of a newer incarnation arrives before the update
    // with the details of that incarnation.
    Incarnation details_incarnation = 0;
    Instant changed_at;
    std::optional<Suspicion> suspicion;
  };

  explicit MemberTable(StateChart chart) : chart_(std::move(chart)) {}

  UpdateOutcome ApplyAlive(const MemberUpdate& update, Instant now,
                           std::vector<MemberEvent>& events);
  UpdateOutcome ApplyDetails(Record& record, const MemberUpdate& update,
                             std::vector<MemberEvent>& events);
  UpdateOutcome ApplySuspicion(Record& record, const MemberUpdate& update,
                               Instant now, const SuspicionLimits& limits,
                               std::vector<MemberEvent>& events);
  UpdateOutcome ApplyLeft(Record& record, const MemberUpdate& update,
                          Instant now, std::vector<MemberEvent>& events);
  // Changes the state according to the chart, which must allow the event.
  void Transition(Record& record, StateChart::Event event, Instant now);
  // Remove the member from, or add it to, the sets by state, the buckets and
  // the digests.
  void Unindex(const Record& record);
  void Index(const Record& record);
  void ToggleDigest(const Record& record);

  StateChart chart_;
  std::map<HostId, Record> records_;
  std::set<HostId> live_;
  std::set<HostId> suspects_;
  std::set<HostId> failed_;
  std::array<std::uint32_t, kBuckets> digests_{};
  std::array<std::set<HostId>, kBuckets> buckets_;
};

}  // namespace sapphirebank
