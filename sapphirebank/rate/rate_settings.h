#pragma once

#include <cstdint>
#include <string>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Rate limit of a workspace across the whole fleet.
struct RateLimit {
  double rate = 0;   // Requests per second.
  double burst = 0;  // Largest number of requests at once.

  friend bool operator==(const RateLimit&, const RateLimit&) = default;
};

// Settings of the distributed token buckets. They must be the same on every
// host.
struct RateSettings {
  // Time for which a grant may be spent, counted from the sending of its
  // request.
  Duration grant_ttl = std::chrono::milliseconds(500);
  // Largest relative error in the rate of any host's monotonic clock.
  double max_drift = 0.001;
  // Longest wait of a request for a token.
  Duration token_wait_timeout = std::chrono::milliseconds(10);
  // Time after which a token request without a response is sent again.
  Duration request_retry_interval = std::chrono::milliseconds(4);
  // A host holds tokens for its expected demand in this time, ...
  Duration horizon = std::chrono::milliseconds(20);
  // ... or in this time while the owner's tokens are scarce.
  Duration scarce_horizon = std::chrono::milliseconds(5);
  // Number of buckets over which the workspaces are distributed. Each bucket
  // has one owner and holds the token buckets of its workspaces.
  std::uint32_t buckets = 256;
  // Share of every rate and burst that is divided evenly among `reserve_hosts`
  // hosts and spent without an owner.
  double reserve = 0;
  std::uint32_t reserve_hosts = 64;
};

// Returns the bucket to which `workspace` belongs.
std::uint32_t RateBucket(const WorkspaceId& workspace,
                         const RateSettings& settings);

// Returns the ownership key of a bucket, "rate:<bucket>".
std::string RateKey(std::uint32_t bucket);

// Returns the part of `limit` that each host may spend without an owner. It is
// zero if its burst would be less than one request.
RateLimit ReservePerHost(const RateLimit& limit, const RateSettings& settings);

// Returns the part of `limit` from which the owner grants.
RateLimit OwnerLimit(const RateLimit& limit, const RateSettings& settings);

}  // namespace sapphirebank
