#pragma once

#include <cstdint>
#include <map>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

// Grants of a bank are good for this long at the hub that got them, and as long
// again at an entry host. With the bank's capacity it bounds what can run in a window: in 5 s at most 5.8
// seconds' worth of rate and four fifths of the burst, below the 10% and 20
// requests that a window may exceed the rate and burst by.
inline constexpr Duration kGrantLifetime = std::chrono::milliseconds(400);

// The rates of all workspaces over all hosts: one token bucket each, from
// which hosts draw a few tokens at a time.
class AllowanceBank {
 public:
  // Takes the rates of `plan`. Buckets that are new start with a part of their
  // capacity, since a leader before this one may have granted the rest.
  void Adopt(Instant now, const TrafficPlan& plan);

  // Takes up to `wanted` tokens for a workspace. A workspace without a limit
  // gets all of them.
  std::uint32_t Take(Instant now, const WorkspaceId& workspace,
                     std::uint32_t wanted);

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
