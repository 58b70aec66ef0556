#pragma once

#include <algorithm>
#include <map>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Rate limit of one backend server.
struct ServerRateLimit {
  double rate = 0;          // Requests per second.
  double capacity = 1;      // Requests that may be sent at once.
  double initial_fill = 0;  // Tokens of a new bucket.
};

// Token buckets (Turner, "New directions in communications", 1986) for backend
// servers that accept a limited rate of requests: cold ones, and those that
// have named a limit. Only one hub has the bucket of a server, so the limit
// holds for all entry hosts together.
class ServerTokenBuckets {
 public:
  // Returns whether a request may be sent to the server.
  bool HasToken(Instant now, const BackendId& server,
                const ServerRateLimit& limit) {
    return FilledBucket(now, server, limit).tokens >= 1;
  }

  // Takes a token for a request to the server, if there is one.
  bool TryTake(Instant now, const BackendId& server,
               const ServerRateLimit& limit) {
    Bucket& bucket = FilledBucket(now, server, limit);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  // Removes buckets that have not been used for a while.
  void Tick(Instant now) {
    constexpr Duration kRetention = std::chrono::seconds(30);
    std::erase_if(buckets_, [&](const auto& item) {
      return now - item.second.filled_at > kRetention;
    });
  }

 private:
  struct Bucket {
    double tokens = 0;
    Instant filled_at;
  };

  Bucket& FilledBucket(Instant now, const BackendId& server,
                       const ServerRateLimit& limit) {
    auto [found, is_new] = buckets_.try_emplace(server);
    Bucket& bucket = found->second;
    if (is_new) bucket = {limit.initial_fill, now};
    bucket.tokens = std::min(
        limit.capacity,
        bucket.tokens + limit.rate * ToSeconds(now - bucket.filled_at));
    bucket.filled_at = now;
    return bucket;
  }

  std::map<BackendId, Bucket> buckets_;
};

}  // namespace sapphirebank
