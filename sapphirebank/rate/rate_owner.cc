#include "sapphirebank/rate/rate_owner.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "sapphirebank/lease/lease_settings.h"

namespace sapphirebank {
namespace {

// Largest share of the remaining tokens that one request may prefetch.
constexpr double kMaxPrefetchShare = 0.125;

// Bounds of the time after which a host requests tokens of an exhausted
// workspace again.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(2);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(100);

// Shortest time between two recalls of one workspace, and the time within which
// the recalled tokens should have been returned.
constexpr Duration kMinRecallInterval = std::chrono::milliseconds(20);
constexpr Duration kRecallRoundTrip = std::chrono::microseconds(1500);

// Share of the burst below which no tokens are prefetched.
constexpr double kScarceShare = 0.25;

bool IsScarce(double tokens, const RateLimit& limit) {
  return tokens < limit.burst * kScarceShare;
}

}  // namespace

Duration RateOwner::MaxGrantLifetime() const {
  return settings_.grant_ttl +
         DriftMargin(settings_.grant_ttl, settings_.max_drift);
}

void RateOwner::OnAcquired(Instant now, std::uint32_t bucket, Term term) {
  Bucket& entry = buckets_[bucket];
  if (entry.term >= term) return;
  entry = Bucket{};
  entry.term = term;
  entry.earlier_grants_expire_at = now + MaxGrantLifetime();
}

void RateOwner::OnLost(std::uint32_t bucket) { buckets_.erase(bucket); }

std::vector<RateEffect> RateOwner::OnTokenRequest(
    Instant now, const HostId& from, const TokenRequest& token_request) {
  Recalls recalls;
  TokenResponse response{.incarnation = token_request.incarnation,
                         .sequence = token_request.sequence,
                         .grants = {}};
  response.grants.reserve(token_request.requests.size());
  for (const WorkspaceTokenRequest& workspace_request :
       token_request.requests) {
    response.grants.push_back(
        DecideGrant(now, from, token_request, workspace_request, recalls));
  }
  std::vector<RateEffect> effects;
  effects.push_back({from, std::move(response)});
  for (auto& [host, recall] : recalls) {
    effects.push_back({host, std::move(recall)});
  }
  return effects;
}

WorkspaceTokenGrant RateOwner::DecideGrant(
    Instant now, const HostId& from, const TokenRequest& message,
    const WorkspaceTokenRequest& token_request, Recalls& recalls) {
  WorkspaceTokenGrant grant;
  grant.workspace = token_request.workspace;
  const std::uint32_t index = RateBucket(token_request.workspace, settings_);
  const auto term = term_of_(now, index);
  if (!term) {
    buckets_.erase(index);
    grant.status = GrantStatus::kNotOwner;
    return grant;
  }
  OnAcquired(now, index, *term);
  Bucket& bucket = buckets_[index];
  grant.term = bucket.term;
  const auto limit = limit_of_(token_request.workspace);
  if (!limit) {
    grant.status = GrantStatus::kUnknownWorkspace;
    return grant;
  }
  Workspace& workspace =
      FindOrCreate(now, bucket, token_request.workspace, *limit);
  Account& account = FindOrOpenAccount(bucket, workspace, from, message);
  if (token_request.term == bucket.term &&
      token_request.account == account.number) {
    ApplyReport(workspace, account, token_request);
  }
  if (message.incarnation < account.incarnation) {
    // A late message of a process that has ended.
    grant.status = GrantStatus::kNotOwner;
    return grant;
  }
  const bool repeated = message.sequence <= account.last_sequence;
  if (!repeated) {
    account.last_sequence = message.sequence;
    if (GrantTokens(workspace, account, token_request) < token_request.needed) {
      const bool recalled =
          Recall(now, from, token_request.workspace, workspace, recalls);
      grant.status =
          recalled ? GrantStatus::kRecalling : GrantStatus::kExhausted;
      grant.retry_after = recalled ? kRecallRoundTrip : RetryDelay(workspace);
    }
  }
  // The host counts the lifetime of the grant from the sending of its request,
  // which is no later than now.
  account.expires_at = now + MaxGrantLifetime();
  workspace.next_expiry = std::min(workspace.next_expiry, account.expires_at);
  grant.account = account.number;
  grant.granted = account.granted;
  grant.scarce = IsScarce(workspace.tokens, workspace.limit);
  return grant;
}

bool RateOwner::Recall(Instant now, const HostId& from, const WorkspaceId& id,
                       Workspace& workspace, Recalls& recalls) const {
  const Instant last_recall = workspace.next_recall - kMinRecallInterval;
  if (now < last_recall + kRecallRoundTrip) return true;
  if (now < workspace.next_recall) return false;
  bool recalled = false;
  for (const auto& [host, account] : workspace.accounts) {
    if (host == from) continue;
    if (account.granted == account.spent + account.returned) continue;
    recalls[host].workspaces.push_back(id);
    recalled = true;
  }
  if (recalled) workspace.next_recall = now + kMinRecallInterval;
  return recalled;
}

RateOwner::Workspace& RateOwner::FindOrCreate(Instant now, Bucket& bucket,
                                              const WorkspaceId& id,
                                              const RateLimit& limit) {
  const auto [entry, added] = bucket.workspaces.try_emplace(id);
  Workspace& workspace = entry->second;
  const RateLimit part = OwnerLimit(limit, settings_);
  if (added) {
    workspace.limit = part;
    workspace.refilled_at = bucket.earlier_grants_expire_at;
    workspace.next_expiry = Instant::max();
  }
  Advance(now, workspace);
  if (workspace.limit != part) {
    workspace.limit = part;
    const double room = part.burst - static_cast<double>(workspace.outstanding);
    workspace.tokens = std::clamp(workspace.tokens, 0.0, std::max(0.0, room));
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
  // This host's clock may run fast by the maximum drift.
  const double elapsed =
      ToSeconds(now - workspace.refilled_at) * (1 - settings_.max_drift);
  workspace.refilled_at = now;
  const double room = std::max(
      0.0, workspace.limit.burst - static_cast<double>(workspace.outstanding));
  workspace.tokens =
      std::min(room, workspace.tokens + workspace.limit.rate * elapsed);
}

void RateOwner::DropExpired(Instant now, Workspace& workspace) const {
  workspace.next_expiry = Instant::max();
  // Tokens that were not reported count as spent.
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

RateOwner::Account& RateOwner::FindOrOpenAccount(
    Bucket& bucket, Workspace& workspace, const HostId& from,
    const TokenRequest& message) const {
  const auto [entry, added] = workspace.accounts.try_emplace(from);
  Account& account = entry->second;
  if (!added && message.incarnation <= account.incarnation) return account;
  // The process that held the account has ended: tokens that it did not report
  // were spent before that or never will be.
  workspace.outstanding -= account.granted - account.spent - account.returned;
  account = Account{};
  account.incarnation = message.incarnation;
  account.number = ++bucket.last_account;
  return account;
}

void RateOwner::ApplyReport(Workspace& workspace, Account& account,
                            const WorkspaceTokenRequest& token_request) const {
  const std::uint64_t outstanding =
      account.granted - account.spent - account.returned;
  const std::uint64_t spent =
      std::min(outstanding, token_request.spent > account.spent
                                ? token_request.spent - account.spent
                                : 0);
  const std::uint64_t returned = std::min(
      outstanding - spent, token_request.returned > account.returned
                               ? token_request.returned - account.returned
                               : 0);
  account.spent += spent;
  account.returned += returned;
  workspace.outstanding -= spent + returned;
  const double room =
      workspace.limit.burst - static_cast<double>(workspace.outstanding);
  workspace.tokens = std::min(std::max(0.0, room),
                              workspace.tokens + static_cast<double>(returned));
}

std::uint64_t RateOwner::GrantTokens(
    Workspace& workspace, Account& account,
    const WorkspaceTokenRequest& token_request) const {
  const auto whole = [](double tokens) {
    return static_cast<std::uint64_t>(std::floor(tokens));
  };
  const std::uint64_t immediate =
      std::min<std::uint64_t>(token_request.needed, whole(workspace.tokens));
  const double left = workspace.tokens - static_cast<double>(immediate);
  const double part = IsScarce(left, workspace.limit) ? 0 : kMaxPrefetchShare;
  const std::uint64_t prefetched =
      std::min<std::uint64_t>(token_request.prefetch, whole(left * part));
  account.granted += immediate + prefetched;
  workspace.outstanding += immediate + prefetched;
  workspace.tokens -= static_cast<double>(immediate + prefetched);
  assert(workspace.tokens >= 0);
  return immediate;
}

Duration RateOwner::RetryDelay(const Workspace& workspace) const {
  if (workspace.limit.rate <= 0) return kMaxRetryDelay;
  // All hosts with an account share the refilled tokens.
  const double expected_tokens =
      std::max(1.0, static_cast<double>(workspace.accounts.size()));
  const double seconds = expected_tokens / workspace.limit.rate;
  if (seconds >= ToSeconds(kMaxRetryDelay)) return kMaxRetryDelay;
  return std::max(kMinRetryDelay, FromSeconds(seconds));
}

void RateOwner::Tick(Instant now) {
  for (auto& [index, bucket] : buckets_) {
    for (auto entry = bucket.workspaces.begin();
         entry != bucket.workspaces.end();) {
      Workspace& workspace = entry->second;
      Advance(now, workspace);
      const bool idle = workspace.accounts.empty() &&
                        workspace.tokens >= workspace.limit.burst;
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
