#include "sapphirebank/fleet/workspace_token_buckets.h"

#include <algorithm>
#include <cmath>

namespace sapphirebank {
namespace {

// Fraction of its capacity to which a new bucket is filled.
constexpr double kInitialFillFraction = 0.3;

}  // namespace

void WorkspaceTokenBuckets::Configure(Instant now, const TrafficPlan& plan,
                                      TokenBucketShare share) {
  std::map<WorkspaceId, Bucket> next;
  for (const PlannedWorkspace& workspace : plan.parts().workspaces) {
    if (workspace.rate <= 0) continue;
    Bucket bucket;
    bucket.rate = share.rate_fraction * workspace.rate;
    bucket.capacity =
        std::max(share.min_capacity, share.burst_fraction * workspace.burst);
    const auto existing = buckets_.find(workspace.id);
    if (existing != buckets_.end()) {
      bucket.tokens = std::min(existing->second.tokens, bucket.capacity);
      bucket.filled_at = existing->second.filled_at;
    } else {
      bucket.tokens = kInitialFillFraction * bucket.capacity;
      bucket.filled_at = now;
    }
    next.emplace(workspace.id, bucket);
  }
  buckets_ = std::move(next);
}

std::uint32_t WorkspaceTokenBuckets::TakeTokens(Instant now,
                                                const WorkspaceId& workspace,
                                                std::uint32_t requested) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return requested;
  Bucket& bucket = found->second;
  bucket.tokens =
      std::min(bucket.capacity,
               bucket.tokens + bucket.rate * ToSeconds(now - bucket.filled_at));
  bucket.filled_at = now;
  const double granted =
      std::min<double>(requested, std::floor(std::max(bucket.tokens, 0.0)));
  bucket.tokens -= granted;
  return static_cast<std::uint32_t>(granted);
}

}  // namespace sapphirebank
