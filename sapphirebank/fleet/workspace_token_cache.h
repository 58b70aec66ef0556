#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Granted tokens of one workspace at an entry host. They expire, which bounds
// the unspent tokens of all hosts.
class WorkspaceTokenCache {
 public:
  // Takes a token if one is available.
  bool TryTake(Instant now);

  // Returns the number of unexpired tokens.
  std::uint32_t Available(Instant now);

  // Adds tokens that were requested at `requested_at`.
  void Add(Instant requested_at, std::uint32_t tokens);

  // Records a request and returns how many tokens to request in advance, given
  // those `pending`.
  std::uint32_t PrefetchCount(Instant now, std::uint32_t pending);

  // Takes a token of the host's local share: the rate divided among all hosts,
  // used while no hub can be reached.
  bool TryTakeLocalShare(Instant now, double rate, double hosts);

 private:
  struct Batch {
    Instant requested_at;
    std::uint32_t tokens = 0;
  };

  void DropExpired(Instant now);

  std::deque<Batch> batches_;
  // Requests per second, smoothed over about two seconds.
  double request_rate_ = 0;
  Instant last_request_;
  double local_tokens_ = 0;
  Instant local_filled_at_;
};

}  // namespace sapphirebank
