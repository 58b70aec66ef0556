#include "sapphirebank/fleet/allowance_bank.h"

#include <algorithm>
#include <cmath>

namespace sapphirebank {
namespace {

// Part of its capacity with which a new bucket starts.
constexpr double kStartOfCapacity = 0.3;

}  // namespace

void AllowanceBank::Adopt(Instant now, const TrafficPlan& plan,
                          BankShare share) {
  std::map<WorkspaceId, Bucket> next;
  for (const PlannedWorkspace& workspace : plan.parts().workspaces) {
    if (workspace.rate <= 0) continue;
    Bucket bucket;
    bucket.rate = share.of_rate * workspace.rate;
    bucket.capacity =
        std::max(share.least_saved, share.of_burst * workspace.burst);
    const auto known = buckets_.find(workspace.id);
    if (known != buckets_.end()) {
      bucket.tokens = std::min(known->second.tokens, bucket.capacity);
      bucket.filled_at = known->second.filled_at;
    } else {
      bucket.tokens = kStartOfCapacity * bucket.capacity;
      bucket.filled_at = now;
    }
    next.emplace(workspace.id, bucket);
  }
  buckets_ = std::move(next);
}

std::uint32_t AllowanceBank::Take(Instant now, const WorkspaceId& workspace,
                                  std::uint32_t wanted) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return wanted;
  Bucket& bucket = found->second;
  bucket.tokens =
      std::min(bucket.capacity,
               bucket.tokens + bucket.rate * ToSeconds(now - bucket.filled_at));
  bucket.filled_at = now;
  const double granted =
      std::min<double>(wanted, std::floor(std::max(bucket.tokens, 0.0)));
  bucket.tokens -= granted;
  return static_cast<std::uint32_t>(granted);
}

}  // namespace sapphirebank
