#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// The tokens of one workspace that a host holds. Tokens expire, so that what
// many hosts hold at once stays small.
class WorkspaceTokenCache {
 public:
  // Takes one token, if there is one.
  bool TryTake(Instant now);

  // Returns the tokens that are held.
  std::uint32_t Available(Instant now);

  // Adds tokens that were asked for at `requested_at`.
  void Add(Instant requested_at, std::uint32_t tokens);

  // Notes a request and returns how many tokens to ask for in advance.
  std::uint32_t PrefetchCount(Instant now, std::uint32_t pending);

  // Takes one token of a share that needs nobody: the rate divided among all
  // hosts, for a time in which the bank cannot be asked.
  bool TryTakeLocalShare(Instant now, double rate, double hosts);

 private:
  struct Batch {
    Instant requested_at;
    std::uint32_t tokens = 0;
  };

  void DropExpired(Instant now);

  std::deque<Batch> batches_;
  // Requests a second, smoothed over about two seconds.
  double request_rate_ = 0;
  Instant last_request_;
  double local_tokens_ = 0;
  Instant local_filled_at_;
};

}  // namespace sapphirebank
