#pragma once

#include <cstdint>
#include <string>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// What a workspace may send over the whole fleet.
struct RateLimit {
  double rate = 0;   // Requests per second.
  double burst = 0;  // Requests at once.

  friend bool operator==(const RateLimit&, const RateLimit&) = default;
};

// Times and sizes of the rate shares. They must be the same on every host.
struct RateSettings {
  // How long a grant may be spent, from the moment it was asked for.
  Duration grant_ttl = std::chrono::milliseconds(500);
  // Largest relative error of the rate of any host's monotonic clock.
  double max_drift = 0.001;
  // Longest wait of a request for a grant.
  Duration token_wait_timeout = std::chrono::milliseconds(10);
  // Time after which an unanswered ask is sent again.
  Duration request_retry_interval = std::chrono::milliseconds(4);
  // A host keeps tokens for its demand of this time, ...
  Duration horizon = std::chrono::milliseconds(20);
  // ... or of this time while the owner has none left.
  Duration scarce_horizon = std::chrono::milliseconds(5);
  // Buckets that the workspaces are spread over; each has one owner.
  std::uint32_t buckets = 256;
  // Part of every rate and burst that is split evenly over `reserve_hosts`
  // hosts, to be spent without an owner.
  double reserve = 0;
  std::uint32_t reserve_hosts = 64;
};

// Returns the bucket that `workspace` belongs to.
std::uint32_t RateBucket(const WorkspaceId& workspace,
                         const RateSettings& settings);

// Returns the ownership key of a bucket, "rate:<bucket>".
std::string RateKey(std::uint32_t bucket);

// Returns the part of `limit` that each host may spend without an owner. It is
// zero where it would come to less than one request at once.
RateLimit ReservePerHost(const RateLimit& limit, const RateSettings& settings);

// Returns the part of `limit` that the owner grants from.
RateLimit OwnerLimit(const RateLimit& limit, const RateSettings& settings);

}  // namespace sapphirebank
