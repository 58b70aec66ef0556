#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

// Lifetime of granted tokens at an entry host.
inline constexpr Duration kGrantLifetime = std::chrono::milliseconds(400);

// The fraction of every workspace's rate and burst that one set of buckets
// grants.
//
// A hub grants its fraction on its own; the leader's buckets serve the hubs
// that need more. Over 5 s, all buckets together grant 5.25 seconds' worth of
// rate and four fifths of the burst, and unspent tokens at hosts are worth
// another 0.4 s of a fraction. The limit allows rate and burst plus 10% and 20
// requests in a window.
struct TokenBucketShare {
  double rate_fraction = 0;
  double burst_fraction = 0;
  // Minimum capacity in tokens, however small the burst.
  double min_capacity = 1;
};

// Minimum capacity of the leader's buckets in tokens with few hubs, taken from
// the allowance of 20 requests as that of the hubs below: a small workspace's
// requests come several at once and at any host. Each of many hubs needs one.
inline constexpr double kMinLeaderCapacity = 8;
inline constexpr double kMinTotalCapacity = 16;

// Returns the share of the leader's buckets beside those of `hubs` hubs.
constexpr TokenBucketShare LeaderBucketShare(std::size_t hubs) {
  return {0.45, 0.35,
          std::clamp(kMinTotalCapacity - static_cast<double>(hubs), 1.0,
                     kMinLeaderCapacity)};
}

inline constexpr TokenBucketShare kAllHubsBucketShare = {0.6, 0.45};

// Minimum capacity of all hubs together in tokens, taken from the allowance of
// 20 requests. With one token each, most requests of small workspaces would
// wait for the leader.
inline constexpr double kMinTotalHubCapacity = 8;

// Returns the share of a hub that serves `host_fraction` of all entry hosts.
constexpr TokenBucketShare HubBucketShare(double host_fraction) {
  return {kAllHubsBucketShare.rate_fraction * host_fraction,
          kAllHubsBucketShare.burst_fraction * host_fraction,
          std::max(kMinTotalHubCapacity * host_fraction, 1.0)};
}

// Token buckets for the rate limits of all workspaces, or for a share of them.
class WorkspaceTokenBuckets {
 public:
  // Applies the rates of `plan`. New buckets start partly filled, since a
  // previous leader may have granted the rest.
  void Configure(Instant now, const TrafficPlan& plan, TokenBucketShare share);

  // Takes up to `requested` tokens of a workspace and returns their number. A
  // workspace without a limit gets all of them.
  std::uint32_t TakeTokens(Instant now, const WorkspaceId& workspace,
                           std::uint32_t requested);

 private:
  struct Bucket {
    double rate = 0;
    double capacity = 0;
    double tokens = 0;
    Instant filled_at;
  };

  std::map<WorkspaceId, Bucket> buckets_;
};

}  // namespace sapphirebank
