#include "sapphirebank/fleet/workspace_token_cache.h"

#include <algorithm>
#include <cmath>

#include "sapphirebank/fleet/workspace_token_buckets.h"

namespace sapphirebank {
namespace {

// Time constant of the request rate estimate.
constexpr double kSmoothingSeconds = 2.0;

// Fraction of the requests expected within a grant's lifetime for which tokens
// are prefetched. Expired tokens are lost to the workspace, so a host with few
// requests asks for each.
constexpr double kPrefetchFraction = 0.4;

// Maximum of prefetched tokens per workspace.
constexpr double kMaxPrefetch = 4;

// Fraction of the even share that is used without a hub; below 1 because
// earlier grants may still be in use.
constexpr double kLocalShareFraction = 0.7;

// Local tokens when responses stop. With a whole token each, many hosts
// together would exceed a small rate at once.
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
  // The local share covers a time without responses and restarts at each one.
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
