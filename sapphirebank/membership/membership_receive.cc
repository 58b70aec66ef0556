// Implements the part of Membership that handles received messages.
#include <algorithm>
#include <utility>

#include "sapphirebank/membership/membership.h"

namespace sapphirebank {
namespace {

// Maximum number of messages that reply to one sync request.
constexpr std::size_t kMaxSyncReplies = 4;
// Maximum number of updates that are collected for one sync request; more than
// its replies can hold.
constexpr std::size_t kMaxSyncUpdates = 256;
// Time until the next sync request when the replies to the last one were not
// complete.
constexpr Duration kCatchUpPeriod = std::chrono::milliseconds(100);
// Number of times that another process may claim this host's id with an
// incarnation as high as this host's before it counts as a conflict. The first
// claims may be old updates from an earlier process of this host.
constexpr int kMaxConflictingClaims = 3;

}  // namespace

MembershipEffects Membership::Receive(Instant now, std::string_view from,
                                      const MembershipMessage& message) {
  MembershipEffects effects;
  const HostId& sender = std::visit(
      [](const auto& typed) -> const HostId& { return typed.from; }, message);
  if (sender != self_.id) {
    last_received_at_ = now;
    if (std::exchange(isolated_, false)) {
      effects.events.push_back({MemberEventKind::kReconnected, self_});
    }
  }
  std::visit([&](const auto& typed) { Handle(now, from, typed, effects); },
             message);
  return effects;
}

void Membership::Handle(Instant now, std::string_view from,
                        const PingMessage& ping, MembershipEffects& effects) {
  if (!ping.to.empty() && ping.to != self_.id) return;
  if (ping.from == self_.id) {
    // Sent by this host itself to a seed address of its own, or by another
    // process with the same id.
    for (const MemberUpdate& update : ping.updates) {
      if (update.id == self_.id) ApplyAboutSelf(update, effects.events);
    }
    return;
  }
  ApplyUpdates(ping.updates, false, now, effects.events);
  SendAck(now, ping.sequence, from, NonAliveUpdatesAbout(ping.from), effects);
}

void Membership::Handle(Instant now, std::string_view from,
                        const AckMessage& ack, MembershipEffects& effects) {
  ApplyUpdates(ack.updates, false, now, effects.events);
  const auto found = pending_.find(ack.sequence);
  if (found == pending_.end()) return;
  const PendingPing pending = std::move(found->second);
  pending_.erase(found);
  if (ack.stamp) {
    const Duration round_trip = now - pending.sent;
    latest_stamp_.Observe(now,
                          {ack.stamp->revision, ack.stamp->age + round_trip});
  }
  switch (pending.purpose) {
    case PingPurpose::kProbe:
      if (probe_ && probe_->sequence == ack.sequence) probe_->acked = true;
      AdjustLocalHealth(-1);
      break;
    case PingPurpose::kRelay:
      SendAck(now, pending.requester_sequence, pending.requester_address, {},
              effects);
      break;
    case PingPurpose::kContact:
      if (left_) break;
      effects.messages.push_back(
          {std::string(from),
           SyncRequestMessage{self_.id, Digests(), {SelfUpdate()}}});
      break;
  }
}

void Membership::Handle(Instant now, std::string_view from,
                        const PingRequestMessage& request,
                        MembershipEffects& effects) {
  const std::uint32_t sequence =
      SendPing(now, request.target, request.target_address, PingPurpose::kRelay,
               NonAliveUpdatesAbout(request.target), effects);
  pending_[sequence].requester_address = std::string(from);
  pending_[sequence].requester_sequence = request.sequence;
}

void Membership::Handle(Instant /*now*/, std::string_view /*from*/,
                        const NackMessage& nack,
                        MembershipEffects& /*effects*/) {
  if (probe_ && probe_->sequence == nack.sequence) ++probe_->nacks;
}

void Membership::Handle(Instant now, std::string_view from,
                        const SyncRequestMessage& request,
                        MembershipEffects& effects) {
  ApplyUpdates(request.updates, false, now, effects.events);
  if (request.digests.size() != MemberTable::kBuckets) return;
  const std::vector<MemberUpdate> updates = DifferingUpdates(request.digests);
  std::size_t next = 0;
  for (std::size_t reply_index = 0; reply_index < kMaxSyncReplies;
       ++reply_index) {
    SyncReplyMessage reply;
    reply.from = self_.id;
    std::size_t budget = UpdateBudget();
    while (next < updates.size() && MaxEncodedBytes(updates[next]) <= budget) {
      budget -= MaxEncodedBytes(updates[next]);
      reply.updates.push_back(updates[next++]);
    }
    if (reply.updates.empty()) return;
    reply.more = reply_index + 1 == kMaxSyncReplies && next < updates.size();
    effects.messages.push_back({std::string(from), std::move(reply)});
  }
}

void Membership::Handle(Instant now, std::string_view /*from*/,
                        const SyncReplyMessage& reply,
                        MembershipEffects& effects) {
  ApplyUpdates(reply.updates, true, now, effects.events);
  if (reply.more) next_sync_ = std::min(next_sync_, now + kCatchUpPeriod);
}

void Membership::SendAck(Instant now, std::uint32_t sequence,
                         std::string_view address,
                         std::vector<MemberUpdate> updates,
                         MembershipEffects& effects) {
  FillUpdates(updates);
  effects.messages.push_back(
      {std::string(address),
       AckMessage{sequence, self_.id, latest_stamp_.At(now),
                  std::move(updates)}});
}

void Membership::ApplyUpdates(std::span<const MemberUpdate> updates,
                              bool from_sync, Instant now,
                              std::vector<MemberEvent>& events) {
  const SuspicionLimits limits = CurrentSuspicionLimits();
  for (const MemberUpdate& update : updates) {
    if (update.id == self_.id) {
      ApplyAboutSelf(update, events);
      continue;
    }
    const bool known = table_.Find(update.id) != nullptr;
    const std::size_t before = events.size();
    const UpdateOutcome outcome = table_.Apply(update, now, limits, events);
    if (events.size() > before) ++view_version_;
    if (outcome == UpdateOutcome::kApplied) {
      if (!known) probe_rotation_.Add(update.id, random_);
      const bool gossip = !from_sync || update.state != MemberState::kAlive;
      if (gossip) update_queue_.Push(update);
    }
    // Gossip is often outdated; only the present view of a peer is worth
    // correcting.
    const bool correct_peer = outcome == UpdateOutcome::kStale && from_sync &&
                              !update_queue_.Contains(update.id);
    if (correct_peer) {
      std::vector<MemberUpdate> newer;
      table_.AppendUpdates(update.id, self_.id, newer);
      update_queue_.Push(std::move(newer.back()));
    }
  }
}

void Membership::ApplyAboutSelf(const MemberUpdate& update,
                                std::vector<MemberEvent>& events) {
  if (left_ || id_conflict_) return;
  if (update.state == MemberState::kAlive) {
    if (update.details.process != self_.details.process) {
      ApplyIdConflict(update, events);
    }
    return;
  }
  if (update.incarnation < self_.incarnation) return;
  RaiseIncarnation(update.incarnation);
  AdjustLocalHealth(1);
}

void Membership::ApplyIdConflict(const MemberUpdate& update,
                                 std::vector<MemberEvent>& events) {
  if (update.incarnation < self_.incarnation) return;
  const std::uint32_t process = update.details.process;
  if (conflicting_process_ != process) {
    conflicting_process_ = process;
    conflicting_claims_ = 0;
  }
  if (++conflicting_claims_ < kMaxConflictingClaims) {
    RaiseIncarnation(update.incarnation);
    return;
  }
  id_conflict_ = true;
  Member conflicting = self_;
  conflicting.incarnation = update.incarnation;
  conflicting.details = update.details;
  events.push_back({MemberEventKind::kIdConflict, std::move(conflicting)});
}

void Membership::RaiseIncarnation(Incarnation incarnation) {
  self_.incarnation = incarnation + 1;
  ++view_version_;
  update_queue_.Push(SelfUpdate());
}

std::vector<MemberUpdate> Membership::NonAliveUpdatesAbout(
    const HostId& id) const {
  std::vector<MemberUpdate> updates;
  const Member* member = table_.Find(id);
  if (member == nullptr || member->state == MemberState::kAlive) return updates;
  table_.AppendUpdates(id, self_.id, updates);
  updates.erase(updates.begin(), updates.end() - 1);
  return updates;
}

std::vector<MemberUpdate> Membership::DifferingUpdates(
    std::span<const std::uint32_t> digests) {
  const std::vector<std::uint32_t> own = Digests();
  const std::size_t own_bucket = MemberTable::BucketOf(self_.id);
  // Starts with a random bucket, so that a lost reply does not affect the same
  // members each time.
  const std::size_t first = random_.Below(MemberTable::kBuckets);
  std::vector<MemberUpdate> updates;
  for (std::size_t i = 0; i < MemberTable::kBuckets; ++i) {
    const std::size_t bucket = (first + i) % MemberTable::kBuckets;
    if (own[bucket] == digests[bucket]) continue;
    if (bucket == own_bucket && !left_) updates.push_back(SelfUpdate());
    for (const HostId& id : table_.LiveInBucket(bucket)) {
      table_.AppendUpdates(id, self_.id, updates);
    }
    if (updates.size() > kMaxSyncUpdates) break;
  }
  return updates;
}

std::vector<std::uint32_t> Membership::Digests() const {
  const auto digests = table_.digests();
  std::vector<std::uint32_t> all(digests.begin(), digests.end());
  if (!left_) {
    all.at(MemberTable::BucketOf(self_.id)) ^=
        MemberTable::DigestOf(self_.id, self_.incarnation, self_.details);
  }
  return all;
}

}  // namespace sapphirebank
