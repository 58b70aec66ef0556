#include "sapphirebank/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace sapphirebank {
namespace {

using std::chrono::seconds;

// Probe periods without any message from other hosts after which this host
// counts as isolated.
constexpr int kIsolationProbes = 10;
// Number of other live members from which on silence of all of them indicates a
// fault of this host and not of theirs.
constexpr std::size_t kMinPeersForSelfFault = 3;
constexpr std::uint32_t kMaxLocalHealth = 8;
constexpr std::size_t kSuspicionConfirmations = 3;
// Number of hosts that a leaving host notifies directly.
constexpr std::size_t kLeaveFanOut = 5;
constexpr Duration kJoinPeriod = seconds(1);
constexpr Duration kCleanupPeriod = seconds(60);
// Number of times an update is sent, as a multiple of log10 of the fleet's
// size.
constexpr std::uint32_t kRetransmitFactor = 4;
// Bytes of a message other than its updates and host ids: type, sequence
// number, array headers and the stamp.
constexpr std::size_t kEnvelopeBytes = 72;
}  // namespace

Result<Membership> Membership::Create(MembershipSettings settings,
                                      std::uint64_t seed, Instant now) {
  if (auto valid = CheckMembershipSettings(settings); !valid) {
    return tl::unexpected(valid.error());
  }
  auto table = MemberTable::Create();
  if (!table) return tl::unexpected(table.error());
  return Membership(std::move(settings), *std::move(table), seed, now);
}

Membership::Membership(MembershipSettings settings, MemberTable table,
                       std::uint64_t seed, Instant now)
    : settings_(std::move(settings)),
      table_(std::move(table)),
      random_(seed),
      next_probe_(now),
      next_sync_(now + settings_.sync_period),
      next_contact_(now),
      next_cleanup_(now + kCleanupPeriod),
      scheduled_tick_(now),
      last_received_at_(now) {
  self_.id = settings_.id;
  self_.incarnation = settings_.incarnation;
  self_.details.process = static_cast<std::uint32_t>(random_.Below(UINT32_MAX));
  self_.details.zone = settings_.zone;
  self_.details.address = settings_.address;
  self_.details.metadata = settings_.metadata;
  sequence_ = static_cast<std::uint32_t>(random_.Below(UINT32_MAX));
  // Hosts that start together must not send their probes at the same time.
  next_probe_ += Duration(random_.Below(
      static_cast<std::uint64_t>(settings_.probe_period.count())));
  update_queue_.Push(SelfUpdate());
}

MembershipEffects Membership::Tick(Instant now) {
  MembershipEffects effects;
  RecoverFromPause(now);
  ExpirePendingPings(now, effects);
  if (!left_) {
    CheckIsolation(now, effects);
    if (probe_ && now >= probe_->relay_at) RequestIndirectProbes(now, effects);
    if (probe_ && now >= probe_->deadline) EndProbe(now, effects);
    ExpireSuspicions(now, effects);
    if (now >= next_probe_) StartProbe(now, effects);
    if (now >= next_sync_) StartSync(now, effects);
    if (now >= next_contact_) ContactNonMembers(now, effects);
  }
  if (now >= next_cleanup_) {
    table_.RemoveDeparted(now - settings_.failed_retention,
                          now - settings_.left_retention);
    next_cleanup_ = now + kCleanupPeriod;
  }
  scheduled_tick_ = next_tick();
  return effects;
}

Instant Membership::next_tick() const {
  Instant next = next_cleanup_;
  for (const auto& [sequence, pending] : pending_) {
    next = std::min(next, pending.deadline);
  }
  if (left_) return next;
  next = std::min({next, next_probe_, next_sync_, next_contact_});
  if (probe_) next = std::min({next, probe_->relay_at, probe_->deadline});
  if (const auto end = table_.next_suspicion_end()) {
    next = std::min(next, *end);
  }
  return next;
}

// Messages that arrived while this process was paused are handled only after
// its timers. So the time of the pause must not let a probe fail or a suspicion
// expire.
void Membership::RecoverFromPause(Instant now) {
  const Duration late = now - scheduled_tick_;
  if (late <= settings_.probe_period) return;
  probe_.reset();
  std::erase_if(pending_, [](const auto& entry) {
    return entry.second.purpose == PingPurpose::kProbe;
  });
  table_.PostponeSuspicions(late, std::nullopt);
  last_received_at_ += late;
  AdjustLocalHealth(1);
}

void Membership::CheckIsolation(Instant now, MembershipEffects& effects) {
  if (isolated_ || table_.live().empty()) return;
  if (now - last_received_at_ < kIsolationProbes * settings_.probe_period)
    return;
  isolated_ = true;
  effects.events.push_back({MemberEventKind::kIsolated, self_});
}

void Membership::StartProbe(Instant now, MembershipEffects& effects) {
  next_probe_ = now + ScaledByLocalHealth(settings_.probe_period);
  const HostId target = probe_rotation_.Next(table_.live(), random_);
  if (target.empty()) return;
  Probe probe;
  probe.target = target;
  probe.sent = now;
  probe.relay_at = now + ScaledByLocalHealth(settings_.probe_timeout);
  probe.deadline = next_probe_;
  const std::string address = table_.Find(target)->details.address;
  probe.sequence = SendPing(now, target, address, PingPurpose::kProbe,
                            NonAliveUpdatesAbout(target), effects);
  probe_ = std::move(probe);
}

void Membership::RequestIndirectProbes(Instant now,
                                       MembershipEffects& effects) {
  probe_->relay_at = probe_->deadline;
  if (probe_->acked || now >= probe_->deadline) return;
  const auto relays =
      RandomHosts(table_.live(), settings_.relays, probe_->target, random_);
  const Member* target = table_.Find(probe_->target);
  if (target == nullptr) return;
  for (const HostId& relay : relays) {
    PingRequestMessage request{probe_->sequence, self_.id, probe_->target,
                               target->details.address};
    effects.messages.push_back(
        {table_.Find(relay)->details.address, std::move(request)});
  }
  probe_->relays_requested = relays.size();
}

void Membership::EndProbe(Instant now, MembershipEffects& effects) {
  const Probe probe = *std::exchange(probe_, std::nullopt);
  if (probe.acked) return;
  if (probe.relays_requested == 0 || probe.nacks < probe.relays_requested) {
    AdjustLocalHealth(1);
  }
  const bool received_since_probe = last_received_at_ >= probe.sent;
  if (!received_since_probe && table_.live().size() >= kMinPeersForSelfFault)
    return;
  const Member* target = table_.Find(probe.target);
  if (target == nullptr) return;
  MemberUpdate suspicion;
  suspicion.state = MemberState::kSuspect;
  suspicion.id = target->id;
  suspicion.incarnation = target->incarnation;
  suspicion.reporter = self_.id;
  ApplyUpdates({&suspicion, 1}, false, now, effects.events);
}

void Membership::ExpirePendingPings(Instant now, MembershipEffects& effects) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    const PendingPing& pending = it->second;
    if (now < pending.deadline) {
      ++it;
      continue;
    }
    if (pending.purpose == PingPurpose::kRelay) {
      effects.messages.push_back(
          {pending.requester_address,
           NackMessage{pending.requester_sequence, self_.id}});
    }
    it = pending_.erase(it);
  }
}

void Membership::ExpireSuspicions(Instant now, MembershipEffects& effects) {
  if (table_.live().size() >= kMinPeersForSelfFault) {
    const auto first = table_.next_suspicion_end();
    // A refutation could not have been received either, if nothing else was.
    if (first && now >= *first) {
      table_.PostponeSuspicions(CurrentSuspicionLimits().min,
                                last_received_at_);
    }
  }
  std::vector<MemberUpdate> updates;
  table_.ExpireSuspicions(now, self_.id, updates, effects.events);
  if (!updates.empty()) ++view_version_;
  for (MemberUpdate& update : updates) update_queue_.Push(std::move(update));
}

void Membership::StartSync(Instant now, MembershipEffects& effects) {
  next_sync_ = now + settings_.sync_period;
  const auto peers = RandomHosts(table_.live(), 1, HostId(), random_);
  if (peers.empty()) return;
  SyncRequestMessage request{self_.id, Digests(), {SelfUpdate()}};
  effects.messages.push_back(
      {table_.Find(peers.front())->details.address, std::move(request)});
}

// Contacts hosts that gossip does not reach: the seeds at the start, and the
// other side of a partition.
void Membership::ContactNonMembers(Instant now, MembershipEffects& effects) {
  const bool no_live_members = table_.live().empty();
  next_contact_ =
      now + (no_live_members ? kJoinPeriod : settings_.contact_period);
  ContactFailedMember(now, effects);
  ContactSeeds(now, effects);
}

void Membership::ContactFailedMember(Instant now, MembershipEffects& effects) {
  const auto chosen = RandomHosts(table_.failed(), 1, HostId(), random_);
  if (chosen.empty()) return;
  const HostId& id = chosen.front();
  std::vector<MemberUpdate> updates = NonAliveUpdatesAbout(id);
  updates.push_back(SelfUpdate());
  const std::string address = table_.Find(id)->details.address;
  SendPing(now, id, address, PingPurpose::kContact, std::move(updates),
           effects);
}

void Membership::ContactSeeds(Instant now, MembershipEffects& effects) {
  std::vector<std::string_view> seeds = MissingSeeds();
  if (!table_.live().empty() && seeds.size() > 1) {
    seeds = {seeds[random_.Below(seeds.size())]};
  }
  for (const std::string_view seed : seeds) {
    SendPing(now, HostId(), seed, PingPurpose::kContact, {SelfUpdate()},
             effects);
  }
}

std::vector<std::string_view> Membership::MissingSeeds() const {
  std::set<std::string_view> known = {self_.details.address};
  for (const HostId& id : table_.live()) {
    known.insert(table_.Find(id)->details.address);
  }
  std::vector<std::string_view> missing;
  for (const std::string& seed : settings_.seeds) {
    if (known.count(seed) == 0) missing.emplace_back(seed);
  }
  return missing;
}

MembershipEffects Membership::Leave(Instant now) {
  MembershipEffects effects;
  if (left_) return effects;
  left_ = true;
  probe_.reset();
  self_.state = MemberState::kLeft;
  ++view_version_;
  update_queue_.Push(SelfUpdate());
  const auto peers =
      RandomHosts(table_.live(), kLeaveFanOut, HostId(), random_);
  for (const HostId& peer : peers) {
    const std::string address = table_.Find(peer)->details.address;
    SendPing(now, peer, address, PingPurpose::kContact, {SelfUpdate()},
             effects);
  }
  return effects;
}

Result<void> Membership::SetMetadata(std::string metadata) {
  if (metadata.size() > kMaxMetadataBytes) {
    return Fail(ErrorKind::kInvalidSettings,
                "membership: the metadata is too long");
  }
  if (metadata == self_.details.metadata || left_) return {};
  self_.details.metadata = std::move(metadata);
  RaiseIncarnation(self_.incarnation);
  return {};
}

std::span<const Member> Membership::LiveMembers() const {
  if (cached_version_ == view_version_) return cached_view_;
  cached_view_.clear();
  for (const HostId& id : table_.live()) {
    cached_view_.push_back(*table_.Find(id));
  }
  if (!left_) {
    const auto place = std::lower_bound(
        cached_view_.begin(), cached_view_.end(), self_.id,
        [](const Member& member, const HostId& id) { return member.id < id; });
    cached_view_.insert(place, self_);
  }
  cached_version_ = view_version_;
  return cached_view_;
}

std::size_t Membership::CountOf(MemberState state) const {
  std::size_t count = self_.state == state ? 1 : 0;
  for (const Member* member : table_.Members()) {
    if (member->state == state) ++count;
  }
  return count;
}

std::uint32_t Membership::SendPing(Instant now, const HostId& to,
                                   std::string_view address,
                                   PingPurpose purpose,
                                   std::vector<MemberUpdate> updates,
                                   MembershipEffects& effects) {
  const std::uint32_t sequence = ++sequence_;
  PendingPing& pending = pending_[sequence];
  pending.purpose = purpose;
  pending.sent = now;
  pending.deadline = now + (purpose == PingPurpose::kRelay
                                ? settings_.probe_timeout
                                : ScaledByLocalHealth(settings_.probe_period));
  FillUpdates(updates);
  effects.messages.push_back(
      {std::string(address),
       PingMessage{sequence, self_.id, to, std::move(updates)}});
  return sequence;
}

void Membership::FillUpdates(std::vector<MemberUpdate>& updates) {
  std::size_t budget = UpdateBudget();
  for (const MemberUpdate& update : updates) {
    budget -= std::min(budget, MaxEncodedBytes(update));
  }
  const double size = static_cast<double>(table_.live().size()) + 2;
  const auto max_sends = kRetransmitFactor * static_cast<std::uint32_t>(
                                                 std::ceil(std::log10(size)));
  update_queue_.AppendNext(budget, max_sends, updates);
}

std::size_t Membership::UpdateBudget() const {
  return settings_.packet_limit - kEnvelopeBytes - 2 * kMaxMemberTextBytes;
}

SuspicionLimits Membership::CurrentSuspicionLimits() const {
  const std::size_t others = table_.live().size();
  const double scale =
      std::max(1.0, std::log10(static_cast<double>(others) + 1));
  const double shortest =
      ToSeconds(settings_.probe_period) * settings_.suspicion_factor * scale;
  SuspicionLimits limits;
  limits.min = FromSeconds(shortest);
  limits.max = FromSeconds(shortest * settings_.suspicion_max_factor);
  limits.confirmations =
      std::min(kSuspicionConfirmations, others > 1 ? others - 1 : 0);
  return limits;
}

Duration Membership::ScaledByLocalHealth(Duration duration) const {
  return duration * (local_health_ + 1);
}

void Membership::AdjustLocalHealth(int change) {
  const int health = static_cast<int>(local_health_) + change;
  local_health_ = static_cast<std::uint32_t>(
      std::clamp(health, 0, static_cast<int>(kMaxLocalHealth)));
}

MemberUpdate Membership::SelfUpdate() const {
  MemberUpdate update;
  update.state = self_.state;
  update.id = self_.id;
  update.incarnation = self_.incarnation;
  if (update.state == MemberState::kAlive) update.details = self_.details;
  return update;
}

}  // namespace sapphirebank
