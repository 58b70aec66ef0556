#include "sapphirebank/rate/rate_owner.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "sapphirebank/lease/lease_settings.h"

namespace sapphirebank {
namespace {

// Part of the tokens left that one ask may take to hold ready.
constexpr double kStandingPart = 0.125;

// Bounds of the time after which a host asks again for an exhausted workspace.
constexpr Duration kShortestNext = std::chrono::milliseconds(2);
constexpr Duration kLongestNext = std::chrono::milliseconds(100);

// Shortest time between two recalls of one workspace, and the time after which
// what was recalled should have come.
constexpr Duration kRecallPeriod = std::chrono::milliseconds(20);
constexpr Duration kRecallTime = std::chrono::microseconds(1500);

// Part of the burst below which hosts get nothing to hold ready.
constexpr double kScarcePart = 0.25;

bool Scarce(double level, const RateLimit& limit) {
  return level < limit.burst * kScarcePart;
}

}  // namespace

Duration RateOwner::LongestLife() const {
  return settings_.grant_life +
         DriftMargin(settings_.grant_life, settings_.max_drift);
}

void RateOwner::OnAcquired(Instant now, std::uint32_t bucket, Term term) {
  Bucket& entry = buckets_[bucket];
  if (entry.term >= term) return;
  entry = Bucket{};
  entry.term = term;
  entry.clear_at = now + LongestLife();
}

void RateOwner::OnLost(std::uint32_t bucket) { buckets_.erase(bucket); }

std::vector<RateEffect> RateOwner::OnTokenRequest(Instant now,
                                                  const HostId& from,
                                                  const TokenRequest& ask) {
  Recalls recalls;
  TokenResponse answer{
      .life = ask.life, .sequence = ask.sequence, .grants = {}};
  answer.grants.reserve(ask.asks.size());
  for (const WorkspaceTokenRequest& share : ask.asks) {
    answer.grants.push_back(Decide(now, from, ask, share, recalls));
  }
  std::vector<RateEffect> effects;
  effects.push_back({from, std::move(answer)});
  for (auto& [host, recall] : recalls) {
    effects.push_back({host, std::move(recall)});
  }
  return effects;
}

WorkspaceTokenGrant RateOwner::Decide(Instant now, const HostId& from,
                                      const TokenRequest& message,
                                      const WorkspaceTokenRequest& ask,
                                      Recalls& recalls) {
  WorkspaceTokenGrant grant;
  grant.workspace = ask.workspace;
  const std::uint32_t index = RateBucket(ask.workspace, settings_);
  const auto term = term_of_(now, index);
  if (!term) {
    buckets_.erase(index);
    grant.verdict = GrantStatus::kNotOwner;
    return grant;
  }
  OnAcquired(now, index, *term);
  Bucket& bucket = buckets_[index];
  grant.term = bucket.term;
  const auto limit = limit_of_(ask.workspace);
  if (!limit) {
    grant.verdict = GrantStatus::kUnknownWorkspace;
    return grant;
  }
  Workspace& workspace = Find(now, bucket, ask.workspace, *limit);
  Account& account = Open(bucket, workspace, from, message);
  if (ask.term == bucket.term && ask.account == account.number) {
    Settle(workspace, account, ask);
  }
  if (message.life < account.life) {
    // A late message of a process that has ended.
    grant.verdict = GrantStatus::kNotOwner;
    return grant;
  }
  const bool repeated = message.sequence <= account.last_sequence;
  if (!repeated) {
    account.last_sequence = message.sequence;
    if (Grant(workspace, account, ask) < ask.need) {
      const bool recalled =
          Recall(now, from, ask.workspace, workspace, recalls);
      grant.verdict =
          recalled ? GrantStatus::kRecalling : GrantStatus::kExhausted;
      grant.next_in = recalled ? kRecallTime : NextIn(workspace);
    }
  }
  // The host may count this answer from a moment before now.
  account.expires_at = now + LongestLife();
  workspace.next_expiry = std::min(workspace.next_expiry, account.expires_at);
  grant.account = account.number;
  grant.granted = account.granted;
  grant.scarce = Scarce(workspace.level, workspace.limit);
  return grant;
}

bool RateOwner::Recall(Instant now, const HostId& from, const WorkspaceId& id,
                       Workspace& workspace, Recalls& recalls) const {
  const Instant last_recall = workspace.next_recall - kRecallPeriod;
  if (now < last_recall + kRecallTime) return true;
  if (now < workspace.next_recall) return false;
  bool recalled = false;
  for (const auto& [host, account] : workspace.accounts) {
    if (host == from) continue;
    if (account.granted == account.spent + account.returned) continue;
    recalls[host].workspaces.push_back(id);
    recalled = true;
  }
  if (recalled) workspace.next_recall = now + kRecallPeriod;
  return recalled;
}

RateOwner::Workspace& RateOwner::Find(Instant now, Bucket& bucket,
                                      const WorkspaceId& id,
                                      const RateLimit& limit) {
  const auto [entry, added] = bucket.workspaces.try_emplace(id);
  Workspace& workspace = entry->second;
  const RateLimit part = OwnerPart(limit, settings_);
  if (added) {
    workspace.limit = part;
    workspace.refilled_at = bucket.clear_at;
    workspace.next_expiry = Instant::max();
  }
  Advance(now, workspace);
  if (workspace.limit != part) {
    workspace.limit = part;
    const double room = part.burst - static_cast<double>(workspace.outstanding);
    workspace.level = std::clamp(workspace.level, 0.0, std::max(0.0, room));
  }
  return workspace;
}

void RateOwner::Advance(Instant now, Workspace& workspace) const {
  while (workspace.next_expiry <= now) {
    const Instant expiry = workspace.next_expiry;
    Refill(expiry, workspace);
    DropExpired(expiry, workspace);
  }
  Refill(now, workspace);
}

void RateOwner::Refill(Instant now, Workspace& workspace) const {
  if (now <= workspace.refilled_at) return;
  // This clock may run fast by the drift.
  const double elapsed =
      ToSeconds(now - workspace.refilled_at) * (1 - settings_.max_drift);
  workspace.refilled_at = now;
  const double room = std::max(
      0.0, workspace.limit.burst - static_cast<double>(workspace.outstanding));
  workspace.level =
      std::min(room, workspace.level + workspace.limit.rate * elapsed);
}

void RateOwner::DropExpired(Instant now, Workspace& workspace) const {
  workspace.next_expiry = Instant::max();
  // What was not reported counts as spent.
  std::erase_if(workspace.accounts, [&](const auto& entry) {
    const Account& account = entry.second;
    if (now < account.expires_at) {
      workspace.next_expiry =
          std::min(workspace.next_expiry, account.expires_at);
      return false;
    }
    workspace.outstanding -= account.granted - account.spent - account.returned;
    return true;
  });
}

RateOwner::Account& RateOwner::Open(Bucket& bucket, Workspace& workspace,
                                    const HostId& from,
                                    const TokenRequest& message) const {
  const auto [entry, added] = workspace.accounts.try_emplace(from);
  Account& account = entry->second;
  if (!added && message.life <= account.life) return account;
  // The process that held the account before has ended: what it did not report
  // was spent earlier or never will be.
  workspace.outstanding -= account.granted - account.spent - account.returned;
  account = Account{};
  account.life = message.life;
  account.number = ++bucket.last_account;
  return account;
}

void RateOwner::Settle(Workspace& workspace, Account& account,
                       const WorkspaceTokenRequest& ask) const {
  const std::uint64_t open = account.granted - account.spent - account.returned;
  const std::uint64_t spent =
      std::min(open, ask.spent > account.spent ? ask.spent - account.spent : 0);
  const std::uint64_t returned = std::min(
      open - spent,
      ask.returned > account.returned ? ask.returned - account.returned : 0);
  account.spent += spent;
  account.returned += returned;
  workspace.outstanding -= spent + returned;
  const double room =
      workspace.limit.burst - static_cast<double>(workspace.outstanding);
  workspace.level = std::min(std::max(0.0, room),
                             workspace.level + static_cast<double>(returned));
}

std::uint64_t RateOwner::Grant(Workspace& workspace, Account& account,
                               const WorkspaceTokenRequest& ask) const {
  const auto whole = [](double level) {
    return static_cast<std::uint64_t>(std::floor(level));
  };
  const std::uint64_t needed =
      std::min<std::uint64_t>(ask.need, whole(workspace.level));
  const double left = workspace.level - static_cast<double>(needed);
  const double part = Scarce(left, workspace.limit) ? 0 : kStandingPart;
  const std::uint64_t standing =
      std::min<std::uint64_t>(ask.want, whole(left * part));
  account.granted += needed + standing;
  workspace.outstanding += needed + standing;
  workspace.level -= static_cast<double>(needed + standing);
  assert(workspace.level >= 0);
  return needed;
}

Duration RateOwner::NextIn(const Workspace& workspace) const {
  if (workspace.limit.rate <= 0) return kLongestNext;
  // All hosts that ask share what comes.
  const double tokens =
      std::max(1.0, static_cast<double>(workspace.accounts.size()));
  const double seconds = tokens / workspace.limit.rate;
  if (seconds >= ToSeconds(kLongestNext)) return kLongestNext;
  return std::max(kShortestNext, FromSeconds(seconds));
}

void RateOwner::Tick(Instant now) {
  for (auto& [index, bucket] : buckets_) {
    for (auto entry = bucket.workspaces.begin();
         entry != bucket.workspaces.end();) {
      Workspace& workspace = entry->second;
      Advance(now, workspace);
      const bool idle = workspace.accounts.empty() &&
                        workspace.level >= workspace.limit.burst;
      entry = idle ? bucket.workspaces.erase(entry) : std::next(entry);
    }
  }
}

std::size_t RateOwner::workspace_count() const {
  std::size_t count = 0;
  for (const auto& [index, bucket] : buckets_)
    count += bucket.workspaces.size();
  return count;
}

}  // namespace sapphirebank
