#include "sapphirebank/rate/rate_client.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "sapphirebank/lease/lease_settings.h"

namespace sapphirebank {
namespace {

// Demand is averaged over about this time.
constexpr Duration kDemandWindow = std::chrono::milliseconds(200);

// Shares without demand are forgotten once they are this long out of use.
constexpr Duration kIdleAfter = std::chrono::seconds(5);

// First time for which a host does not ask again for an exhausted workspace. It
// doubles with each further answer of that kind, up to what the owner said.
constexpr Duration kFirstBackOff = std::chrono::milliseconds(2);
constexpr int kMostDoublings = 6;

// Maintenance rounds in one life of a grant.
constexpr int kRoundsPerLife = 8;

}  // namespace

RateClient::RateClient(RateSettings settings, Incarnation life,
                       OwnerLookup owner_of)
    : settings_(settings),
      life_(life),
      owner_of_(std::move(owner_of)),
      margin_(DriftMargin(settings.grant_life, settings.max_drift)) {}

RateClient::Share& RateClient::Find(Instant now, const WorkspaceId& workspace) {
  const auto found = index_.find(workspace);
  if (found != index_.end()) return *found->second;
  auto share = std::make_unique<Share>();
  share->workspace = workspace;
  share->bucket = RateBucket(workspace, settings_);
  share->demand_at = now;
  share->reserve_at = now;
  share->answered_at = Instant::min();
  share->quiet_until = now;
  share->valid_until = now;
  share->old_valid_until = now;
  share->exhausted_until = now;
  Share& result = *share;
  index_.emplace(workspace, share.get());
  shares_.push_back(std::move(share));
  return result;
}

AcquireResult RateClient::TryAcquire(Instant now, const WorkspaceId& workspace,
                                     const RateLimit& limit,
                                     std::optional<Instant> waiting_since) {
  Share& share = Find(now, workspace);
  Expire(now, share);
  if (!waiting_since) CountDemand(now, share);
  // Requests that wait already come first.
  const bool in_turn = waiting_since || share.waiting == 0;
  if (in_turn && TakeToken(now, share, limit)) {
    if (waiting_since && share.waiting > 0) --share.waiting;
    QueueIfLow(now, share);
    return {AcquireOutcome::kAdmitted, now};
  }
  if (now < share.exhausted_until) {
    if (waiting_since && share.waiting > 0) --share.waiting;
    return {AcquireOutcome::kRateExceeded, share.exhausted_until};
  }
  if (!waiting_since) {
    ++share.waiting;
    Queue(share);
    return {AcquireOutcome::kWait, now + settings_.token_wait_timeout};
  }
  const Instant end = *waiting_since + settings_.token_wait_timeout;
  if (now < end) {
    Queue(share);
    return {AcquireOutcome::kWait, end};
  }
  if (share.waiting > 0) --share.waiting;
  const bool answered = share.answered_at >= *waiting_since;
  return {
      answered ? AcquireOutcome::kRateExceeded : AcquireOutcome::kUnavailable,
      now + settings_.token_wait_timeout};
}

void RateClient::CancelWait(const WorkspaceId& workspace) {
  const auto found = index_.find(workspace);
  if (found == index_.end()) return;
  if (found->second->waiting > 0) --found->second->waiting;
}

void RateClient::CountDemand(Instant now, Share& share) const {
  share.demand = Demand(now, share) + 1 / ToSeconds(kDemandWindow);
  share.demand_at = now;
}

void RateClient::Expire(Instant now, Share& share) const {
  if (now >= share.valid_until) {
    share.returned = share.granted - share.spent;
  }
  if (now >= share.old_valid_until) share.old_tokens = 0;
}

std::uint64_t RateClient::Balance(const Share& share) const {
  return share.granted - share.spent - share.returned;
}

bool RateClient::TakeToken(Instant now, Share& share,
                           const RateLimit& limit) const {
  if (share.old_tokens > 0) {
    --share.old_tokens;
    return true;
  }
  if (Balance(share) > 0) {
    ++share.spent;
    return true;
  }
  return TakeReserve(now, share, limit);
}

bool RateClient::TakeReserve(Instant now, Share& share,
                             const RateLimit& limit) const {
  const RateLimit part = ReservePerHost(limit, settings_);
  if (part.burst <= 0) return false;
  const double elapsed =
      ToSeconds(now - share.reserve_at) * (1 - settings_.max_drift);
  share.reserve_at = now;
  share.reserve_level =
      std::min(part.burst, share.reserve_level + elapsed * part.rate);
  if (share.reserve_level < 1) return false;
  share.reserve_level -= 1;
  return true;
}

double RateClient::Demand(Instant now, const Share& share) const {
  const double age = ToSeconds(now - share.demand_at);
  return share.demand * std::exp(-age / ToSeconds(kDemandWindow));
}

std::uint64_t RateClient::Target(Instant now, const Share& share) const {
  const double demand = Demand(now, share);
  const double tokens =
      share.scarce ? std::floor(demand * ToSeconds(settings_.scarce_horizon))
                   : std::ceil(demand * ToSeconds(settings_.horizon));
  return static_cast<std::uint64_t>(tokens);
}

bool RateClient::InFlight(Instant now, const Share& share) const {
  return share.asked_sequence != 0 &&
         now < share.asked_at + settings_.ask_retry;
}

bool RateClient::ShouldAsk(Instant now, const Share& share) const {
  if (share.recalled) return true;
  if (now < share.quiet_until) return false;
  if (!InFlight(now, share)) return share.due || share.waiting > 0;
  // A burst is still coming in: each further ask speaks for at least as many
  // requests as those in flight.
  return share.waiting > 2 * share.asked_need;
}

void RateClient::Queue(Share& share) {
  if (share.queued) return;
  share.queued = true;
  dirty_.push_back(&share);
}

void RateClient::QueueIfLow(Instant now, Share& share) {
  if (now < share.exhausted_until || InFlight(now, share)) return;
  if (2 * Balance(share) >= Target(now, share)) return;
  share.due = true;
  Queue(share);
}

std::optional<Instant> RateClient::SentAt(std::uint64_t sequence) const {
  if (sent_.empty() || sequence < sent_.front().sequence) return std::nullopt;
  const std::uint64_t index = sequence - sent_.front().sequence;
  if (index >= sent_.size()) return std::nullopt;
  return sent_[index].sent_at;
}

std::vector<WorkspaceId> RateClient::OnTokenResponse(
    Instant now, const TokenResponse& answer) {
  std::vector<WorkspaceId> woken;
  if (answer.life != life_) return woken;
  const auto sent_at = SentAt(answer.sequence);
  if (!sent_at) return woken;
  for (const WorkspaceTokenGrant& grant : answer.grants) {
    if (Apply(now, *sent_at, answer.sequence, grant)) {
      woken.push_back(grant.workspace);
    }
  }
  return woken;
}

bool RateClient::Apply(Instant now, Instant sent_at, std::uint64_t sequence,
                       const WorkspaceTokenGrant& grant) {
  const auto found = index_.find(grant.workspace);
  if (found == index_.end()) return false;
  Share& share = *found->second;
  // Another ask goes out after the usual time; the owner may be known then.
  if (grant.verdict == GrantStatus::kNotOwner) return false;
  if (share.asked_sequence == sequence) {
    share.asked_sequence = 0;
    share.asked_need = 0;
  }
  Expire(now, share);
  const Instant valid_until = sent_at + settings_.grant_life - margin_;
  const bool older = std::pair(grant.term, grant.account) <
                     std::pair(share.term, share.account);
  if (older || now >= valid_until) return false;
  share.answered_at = now;
  if (grant.verdict == GrantStatus::kUnknownWorkspace) {
    share.exhausted_until = now + settings_.token_wait_timeout;
    return share.waiting > 0;
  }
  if (grant.term != share.term || grant.account != share.account) {
    OpenAccount(now, share, grant);
  }
  share.granted = std::max(share.granted, grant.granted);
  share.valid_until = std::max(share.valid_until, valid_until);
  share.scarce = grant.scarce;
  if (grant.verdict == GrantStatus::kRecalling) {
    share.quiet_until = now + grant.next_in;
  }
  if (grant.verdict == GrantStatus::kExhausted) {
    const Duration back_off = kFirstBackOff * (1 << share.exhaustions);
    share.exhausted_until = now + std::min(grant.next_in, back_off);
    share.exhaustions = std::min(share.exhaustions + 1, kMostDoublings);
  } else if (grant.verdict == GrantStatus::kGranted) {
    share.exhaustions = 0;
  }
  return share.waiting > 0;
}

void RateClient::OpenAccount(Instant now, Share& share,
                             const WorkspaceTokenGrant& grant) const {
  // A new owner counts the grants of the one before as out, so that they may
  // be spent until they end.
  if (grant.term != share.term && now < share.valid_until) {
    share.old_tokens = Balance(share);
    share.old_valid_until = share.valid_until;
  }
  share.term = grant.term;
  share.account = grant.account;
  share.granted = 0;
  share.spent = 0;
  share.reported = 0;
  share.returned = 0;
  share.valid_until = now;
}

WorkspaceTokenRequest RateClient::MakeAsk(Instant now, Share& share) const {
  const std::uint64_t target = Target(now, share);
  const std::uint64_t balance = Balance(share);
  WorkspaceTokenRequest ask;
  ask.workspace = share.workspace;
  ask.term = share.term;
  ask.account = share.account;
  ask.need = share.waiting - std::min(share.waiting, share.asked_need);
  share.asked_need += ask.need;
  if (!share.returning && target > balance) {
    ask.want = static_cast<std::uint32_t>(target - balance);
  }
  if (share.returning || (share.scarce && balance > target)) {
    share.returned += balance - (share.returning ? 0 : target);
  }
  share.returning = false;
  share.due = false;
  share.recalled = false;
  ask.spent = share.spent;
  share.reported = share.spent;
  ask.returned = share.returned;
  return ask;
}

void RateClient::OnRecall(Instant now, const TokenRecall& recall) {
  for (const WorkspaceId& workspace : recall.workspaces) {
    const auto found = index_.find(workspace);
    if (found == index_.end()) continue;
    Share& share = *found->second;
    Expire(now, share);
    share.scarce = true;
    share.recalled = true;
    share.due = true;
    Queue(share);
  }
}

std::vector<RateEffect> RateClient::Flush(Instant now) {
  if (now >= next_maintenance_) Maintain(now);
  Asks asks;
  std::size_t kept = 0;
  for (Share* share : dirty_) {
    Expire(now, *share);
    if (ShouldAsk(now, *share)) AddAsk(now, *share, asks);
    // It is asked for again unless the answer comes.
    share->queued = share->waiting > 0;
    if (share->queued) dirty_[kept++] = share;
  }
  dirty_.resize(kept);
  while (!sent_.empty() &&
         now >= sent_.front().sent_at + settings_.grant_life) {
    sent_.pop_front();
  }
  std::vector<RateEffect> effects;
  effects.reserve(asks.size());
  for (auto& [host, ask] : asks) effects.push_back({host, std::move(ask)});
  return effects;
}

void RateClient::AddAsk(Instant now, Share& share, Asks& asks) {
  const auto owner = owner_of_(now, RateKey(share.bucket));
  if (!owner) return;
  TokenRequest& ask = asks[owner->host];
  if (ask.asks.empty()) {
    ask.life = life_;
    ask.sequence = ++last_sequence_;
    sent_.push_back({ask.sequence, now});
  }
  if (!InFlight(now, share)) share.asked_need = 0;
  ask.asks.push_back(MakeAsk(now, share));
  share.asked_sequence = ask.sequence;
  share.asked_at = now;
}

void RateClient::Maintain(Instant now) {
  next_maintenance_ = now + settings_.grant_life / kRoundsPerLife;
  for (std::size_t i = 0; i < shares_.size();) {
    if (MaintainShare(now, *shares_[i])) {
      ++i;
      continue;
    }
    index_.erase(shares_[i]->workspace);
    std::swap(shares_[i], shares_.back());
    shares_.pop_back();
  }
}

bool RateClient::MaintainShare(Instant now, Share& share) {
  Expire(now, share);
  if (Balance(share) > 0 &&
      now >= share.valid_until - settings_.grant_life / 2) {
    // Keep what will be used within the life of a grant, return the rest.
    const double uses = Demand(now, share) * ToSeconds(settings_.grant_life);
    share.returning = uses < 1;
    share.due = true;
    Queue(share);
    return true;
  }
  // The owner counts spent tokens as out until it hears of them.
  if (share.spent > share.reported) {
    share.due = true;
    Queue(share);
  }
  const bool in_use = share.queued || share.waiting > 0 || Balance(share) > 0 ||
                      share.old_tokens > 0;
  return in_use || now < share.demand_at + kIdleAfter;
}

std::vector<RateEffect> RateClient::ReturnAll(Instant now) {
  for (const auto& share : shares_) {
    Expire(now, *share);
    share->old_tokens = 0;
    if (Balance(*share) == 0) continue;
    share->returning = true;
    share->due = true;
    share->asked_sequence = 0;
    Queue(*share);
  }
  return Flush(now);
}

}  // namespace sapphirebank
