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

// What became of an update.
enum class UpdateOutcome {
  kNoChange,  // It says nothing new.
  kStale,     // The table holds something newer about the member.
  kApplied,   // The table changed; others should hear of it.
};

// Every host that this host knows of, but for itself, with the precedence
// rules of SWIM (section 4.2): a higher incarnation wins, and at equal ones a
// suspicion beats life. One rule is stricter: another host's word alone never
// makes a member failed. It counts as a suspicion, so that a host that hears
// nobody cannot take members out of service elsewhere.
class MemberTable {
 public:
  // Views are compared by this many digests.
  static constexpr std::size_t kBuckets = 64;

  // Reads the chart `member`. Fails with kInvalidSettings.
  static Result<MemberTable> Create();

  // Applies news about another host and appends events for what changed.
  // `limits` hold for a suspicion that begins with it.
  UpdateOutcome Apply(const MemberUpdate& update, Instant now,
                      const SuspicionLimits& limits,
                      std::vector<MemberEvent>& events);

  // Takes the members for failed whose suspicion ended. Appends their updates
  // in the name of `accuser`, and the events.
  void ExpireSuspicions(Instant now, const HostId& reporter,
                        std::vector<MemberUpdate>& updates,
                        std::vector<MemberEvent>& events);

  // Puts off all suspicions that began before `heard`, or all for an empty
  // `heard`, by `time`.
  void PostponeSuspicions(Duration time, std::optional<Instant> last_heard);

  // Returns the first end of a suspicion, if there is one.
  std::optional<Instant> next_suspicion_end() const;

  // Forgets members that failed or left before the given instants.
  void RemoveDeparted(Instant failed_before, Instant left_before);

  // Returns the member, or null.
  const Member* Find(const HostId& id) const;

  // Appends what this table can tell others about a member in the name of
  // `accuser`: its details while it is live, and its state unless it is alive.
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

  // Returns the part of a digest that a member makes up whose details are
  // those of `incarnation`.
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
    // The incarnation that the details belong to. It falls behind that of the
    // member when an accusation arrives before the news that it is about.
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
  // Moves along the chart; the event must be allowed.
  void Transition(Record& record, StateChart::Event event, Instant now);
  // Takes the record's part out of, or into, the indexes.
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
