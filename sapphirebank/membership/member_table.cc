#include "sapphirebank/membership/member_table.h"

#include <algorithm>
#include <cassert>
#include <string_view>
#include <utility>

#include "sapphirebank/core/hash.h"

namespace sapphirebank {
namespace {

constexpr std::string_view kStates[] = {"alive", "suspect", "failed", "left"};
constexpr std::string_view kEvents[] = {"renewed", "suspected", "expired",
                                        "departed"};
constexpr StateChart::Event kRenewed = 0;
constexpr StateChart::Event kSuspected = 1;
constexpr StateChart::Event kExpired = 2;
constexpr StateChart::Event kDeparted = 3;

bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

MemberEventKind EventKindForRenewal(const Member& before, const Member& after) {
  if (!IsLive(before.state)) return MemberEventKind::kJoined;
  if (before.details.process != after.details.process) {
    return MemberEventKind::kRestarted;
  }
  if (before.details != after.details) return MemberEventKind::kChanged;
  return MemberEventKind::kRefuted;
}

}  // namespace

Result<MemberTable> MemberTable::Create() {
  auto chart = StateChart::Load("member", kStates, kEvents);
  if (!chart) return tl::unexpected(chart.error());
  return MemberTable(*std::move(chart));
}

UpdateOutcome MemberTable::Apply(const MemberUpdate& update, Instant now,
                                 const SuspicionLimits& limits,
                                 std::vector<MemberEvent>& events) {
  if (update.state == MemberState::kAlive) {
    return ApplyAlive(update, now, events);
  }
  const auto found = records_.find(update.id);
  if (found == records_.end()) return UpdateOutcome::kNoChange;
  Record& record = found->second;
  if (update.incarnation < record.member.incarnation) {
    return UpdateOutcome::kStale;
  }
  if (update.state == MemberState::kLeft) {
    return ApplyLeft(record, update, now, events);
  }
  return ApplySuspicion(record, update, now, limits, events);
}

UpdateOutcome MemberTable::ApplyAlive(const MemberUpdate& update, Instant now,
                                      std::vector<MemberEvent>& events) {
  auto [found, added] = records_.try_emplace(update.id);
  Record& record = found->second;
  const Incarnation known = record.member.incarnation;
  if (!added && update.incarnation < known) return UpdateOutcome::kStale;
  if (!added && update.incarnation == known) {
    return ApplyDetails(record, update, events);
  }
  const Member before = record.member;
  if (!added) {
    Unindex(record);
    Transition(record, kRenewed, now);
  }
  record.member.id = update.id;
  record.member.incarnation = update.incarnation;
  record.member.details = update.details;
  record.details_incarnation = update.incarnation;
  record.changed_at = now;
  record.suspicion.reset();
  Index(record);
  const MemberEventKind kind = added
                                   ? MemberEventKind::kJoined
                                   : EventKindForRenewal(before, record.member);
  const bool only_incarnation_raised =
      kind == MemberEventKind::kRefuted && before.state == MemberState::kAlive;
  if (!only_incarnation_raised) events.push_back({kind, record.member});
  return UpdateOutcome::kApplied;
}

UpdateOutcome MemberTable::ApplyDetails(Record& record,
                                        const MemberUpdate& update,
                                        std::vector<MemberEvent>& events) {
  if (!IsLive(record.member.state)) return UpdateOutcome::kStale;
  if (record.details_incarnation == update.incarnation) {
    return UpdateOutcome::kNoChange;
  }
  Unindex(record);
  record.member.details = update.details;
  record.details_incarnation = update.incarnation;
  Index(record);
  events.push_back({MemberEventKind::kChanged, record.member});
  return UpdateOutcome::kApplied;
}

UpdateOutcome MemberTable::ApplySuspicion(Record& record,
                                          const MemberUpdate& update,
                                          Instant now,
                                          const SuspicionLimits& limits,
                                          std::vector<MemberEvent>& events) {
  if (!IsLive(record.member.state)) return UpdateOutcome::kNoChange;
  if (record.suspicion && update.incarnation == record.member.incarnation) {
    return record.suspicion->Confirm(update.reporter)
               ? UpdateOutcome::kApplied
               : UpdateOutcome::kNoChange;
  }
  Unindex(record);
  record.member.incarnation = update.incarnation;
  if (record.member.state == MemberState::kAlive) {
    Transition(record, kSuspected, now);
  }
  record.suspicion.emplace(now, limits, update.reporter);
  Index(record);
  events.push_back({MemberEventKind::kSuspected, record.member});
  return UpdateOutcome::kApplied;
}

UpdateOutcome MemberTable::ApplyLeft(Record& record, const MemberUpdate& update,
                                     Instant now,
                                     std::vector<MemberEvent>& events) {
  if (record.member.state == MemberState::kLeft)
    return UpdateOutcome::kNoChange;
  Unindex(record);
  record.member.incarnation = update.incarnation;
  Transition(record, kDeparted, now);
  record.suspicion.reset();
  Index(record);
  events.push_back({MemberEventKind::kLeft, record.member});
  return UpdateOutcome::kApplied;
}

void MemberTable::ExpireSuspicions(Instant now, const HostId& reporter,
                                   std::vector<MemberUpdate>& updates,
                                   std::vector<MemberEvent>& events) {
  const std::vector<HostId> suspects(suspects_.begin(), suspects_.end());
  for (const HostId& id : suspects) {
    Record& record = records_.at(id);
    if (now < record.suspicion->deadline()) continue;
    Unindex(record);
    Transition(record, kExpired, now);
    record.suspicion.reset();
    Index(record);
    events.push_back({MemberEventKind::kFailed, record.member});
    AppendUpdates(id, reporter, updates);
  }
}

void MemberTable::PostponeSuspicions(Duration time,
                                     std::optional<Instant> last_received_at) {
  for (const HostId& id : suspects_) {
    Suspicion& suspicion = *records_.at(id).suspicion;
    if (last_received_at && suspicion.start() <= *last_received_at) continue;
    suspicion.Postpone(time);
  }
}

std::optional<Instant> MemberTable::next_suspicion_end() const {
  std::optional<Instant> first;
  for (const HostId& id : suspects_) {
    const Instant end = records_.at(id).suspicion->deadline();
    if (!first || end < *first) first = end;
  }
  return first;
}

void MemberTable::RemoveDeparted(Instant failed_before, Instant left_before) {
  for (auto it = records_.begin(); it != records_.end();) {
    const Record& record = it->second;
    const bool failed = record.member.state == MemberState::kFailed &&
                        record.changed_at < failed_before;
    const bool left = record.member.state == MemberState::kLeft &&
                      record.changed_at < left_before;
    if (failed || left) {
      failed_.erase(it->first);
      it = records_.erase(it);
    } else {
      ++it;
    }
  }
}

const Member* MemberTable::Find(const HostId& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second.member;
}

void MemberTable::AppendUpdates(const HostId& id, const HostId& reporter,
                                std::vector<MemberUpdate>& updates) const {
  const auto found = records_.find(id);
  if (found == records_.end()) return;
  const Record& record = found->second;
  if (IsLive(record.member.state)) {
    MemberUpdate alive;
    alive.id = id;
    alive.incarnation = record.details_incarnation;
    alive.details = record.member.details;
    updates.push_back(std::move(alive));
  }
  if (record.member.state == MemberState::kAlive) return;
  MemberUpdate update;
  update.state = record.member.state;
  update.id = id;
  update.incarnation = record.member.incarnation;
  if (update.state != MemberState::kLeft) update.reporter = reporter;
  updates.push_back(std::move(update));
}

std::vector<const Member*> MemberTable::Members() const {
  std::vector<const Member*> members;
  members.reserve(records_.size());
  for (const auto& [id, record] : records_) members.push_back(&record.member);
  return members;
}

std::uint32_t MemberTable::DigestOf(const HostId& id, Incarnation incarnation,
                                    const MemberDetails& details) {
  const std::uint64_t hash = StableHash(id.value(), incarnation);
  return static_cast<std::uint32_t>(hash) ^ details.process;
}

std::size_t MemberTable::BucketOf(const HostId& id) {
  return StableHash(id.value()) % kBuckets;
}

void MemberTable::Transition(Record& record, StateChart::Event event,
                             Instant now) {
  const auto state = static_cast<StateChart::State>(record.member.state);
  const auto next = chart_.Next(state, event);
  assert(next);
  record.member.state = static_cast<MemberState>(*next);
  record.changed_at = now;
}

void MemberTable::Unindex(const Record& record) {
  const HostId& id = record.member.id;
  if (IsLive(record.member.state)) {
    ToggleDigest(record);
    buckets_.at(BucketOf(id)).erase(id);
  }
  live_.erase(id);
  suspects_.erase(id);
  failed_.erase(id);
}

void MemberTable::Index(const Record& record) {
  const HostId& id = record.member.id;
  if (IsLive(record.member.state)) {
    ToggleDigest(record);
    buckets_.at(BucketOf(id)).insert(id);
    live_.insert(id);
  }
  if (record.member.state == MemberState::kSuspect) suspects_.insert(id);
  if (record.member.state == MemberState::kFailed) failed_.insert(id);
}

void MemberTable::ToggleDigest(const Record& record) {
  digests_.at(BucketOf(record.member.id)) ^= DigestOf(
      record.member.id, record.details_incarnation, record.member.details);
}

}  // namespace sapphirebank
