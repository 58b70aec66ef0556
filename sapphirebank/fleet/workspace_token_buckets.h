#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

// Tokens that an entry host holds are good for this long.
inline constexpr Duration kGrantLifetime = std::chrono::milliseconds(400);

// The part of every workspace's rate and burst that one bank gives out.
//
// A hub spends its part of the rate without asking, and the leader's bank
// serves the hubs that need more. Over 5 s all banks together give out 5.25
// seconds' worth of rate and four fifths of the burst, and tokens in hand are
// worth another 0.4 s of a part; a window may exceed the rate and burst by 10%
// and 20 requests.
struct TokenBucketShare {
  double rate_fraction = 0;
  double burst_fraction = 0;
  // Tokens that can be saved however small the burst.
  double min_capacity = 1;
};
inline constexpr TokenBucketShare kLeaderBucketShare = {0.45, 0.35};
inline constexpr TokenBucketShare kAllHubsBucketShare = {0.6, 0.45};

// Tokens that the hubs together can save of a rate however small, out of the 20
// requests: with one each, most requests of small workspaces would wait for the
// leader.
inline constexpr double kMinTotalHubCapacity = 8;

// Returns the share of a hub whose entry hosts are `part` of all.
constexpr TokenBucketShare HubBucketShare(double host_fraction) {
  return {kAllHubsBucketShare.rate_fraction * host_fraction,
          kAllHubsBucketShare.burst_fraction * host_fraction,
          std::max(kMinTotalHubCapacity * host_fraction, 1.0)};
}

// The rates of all workspaces over all hosts, or a part of them: one token
// bucket each.
class WorkspaceTokenBuckets {
 public:
  // Takes the rates of `plan`. Buckets that are new start with a part of their
  // capacity, since a leader before this one may have granted the rest.
  void Configure(Instant now, const TrafficPlan& plan, TokenBucketShare share);

  // Takes up to `wanted` tokens for a workspace. A workspace without a limit
  // gets all of them.
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
