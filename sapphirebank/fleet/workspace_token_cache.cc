#include "sapphirebank/fleet/workspace_token_cache.h"

#include <algorithm>
#include <cmath>

#include "sapphirebank/fleet/workspace_token_buckets.h"

namespace sapphirebank {
namespace {

// Time over which the rate of requests is smoothed.
constexpr double kSmoothingSeconds = 2.0;

// Part of the requests expected in the lifetime of a grant for which tokens
// are held in advance. A token that expires is lost to its workspace, so a host
// with few requests asks for each.
constexpr double kPrefetchFraction = 0.4;

// Tokens held in advance at most, for one workspace.
constexpr double kMaxPrefetch = 4;

// Part of the even share that is spent without asking: below 1, since grants
// from just before may still be in use.
constexpr double kLocalShareFraction = 0.7;

// Tokens of the own share when answers stop to come: with a whole one, many
// hosts together would exceed a small rate at once.
constexpr double kInitialLocalTokens = 0.5;

}  // namespace

void WorkspaceTokenCache::DropExpired(Instant now) {
  while (!batches_.empty() &&
         now - batches_.front().requested_at >= kGrantLifetime) {
    batches_.pop_front();
  }
}

bool WorkspaceTokenCache::TryTake(Instant now) {
  DropExpired(now);
  if (batches_.empty()) return false;
  if (--batches_.front().tokens == 0) batches_.pop_front();
  return true;
}

std::uint32_t WorkspaceTokenCache::Available(Instant now) {
  DropExpired(now);
  std::uint32_t available = 0;
  for (const Batch& batch : batches_) available += batch.tokens;
  return available;
}

void WorkspaceTokenCache::Add(Instant requested_at, std::uint32_t tokens) {
  // The own share is for a time without answers and starts with it.
  local_tokens_ = kInitialLocalTokens;
  local_filled_at_ = requested_at;
  if (tokens > 0) batches_.push_back({requested_at, tokens});
}

std::uint32_t WorkspaceTokenCache::PrefetchCount(Instant now,
                                                 std::uint32_t pending) {
  const double elapsed = std::max(ToSeconds(now - last_request_), 1e-3);
  last_request_ = now;
  const double decay = std::exp(-elapsed / kSmoothingSeconds);
  request_rate_ = request_rate_ * decay + (1 - decay) / elapsed;
  const std::uint32_t available = Available(now) + pending;
  const double target = std::min(
      std::floor(request_rate_ * ToSeconds(kGrantLifetime) * kPrefetchFraction),
      kMaxPrefetch);
  const auto wanted = static_cast<std::uint32_t>(target);
  return wanted > available ? wanted - available : 0;
}

bool WorkspaceTokenCache::TryTakeLocalShare(Instant now, double rate,
                                            double hosts) {
  const double fill_rate = kLocalShareFraction * rate / std::max(hosts, 1.0);
  local_tokens_ = std::min(
      1.0, local_tokens_ + fill_rate * ToSeconds(now - local_filled_at_));
  local_filled_at_ = now;
  if (local_tokens_ < 1) return false;
  local_tokens_ -= 1;
  return true;
}

}  // namespace sapphirebank
