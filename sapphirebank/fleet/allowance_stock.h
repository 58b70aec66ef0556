#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// The tokens of one workspace that a host holds. Tokens expire, so that what
// many hosts hold at once stays small.
class AllowanceStock {
 public:
  // Takes one token, if there is one.
  bool Take(Instant now);

  // Returns the tokens that are held.
  std::uint32_t Held(Instant now);

  // Adds tokens that were asked for at `asked_at`.
  void Add(Instant asked_at, std::uint32_t tokens);

  // Notes a request and returns how many tokens to ask for in advance.
  std::uint32_t Want(Instant now, std::uint32_t on_order);

  // Takes one token of a share that needs nobody: the rate divided among all
  // hosts, for a time in which the bank cannot be asked.
  bool TakeOwnShare(Instant now, double rate, double hosts);

 private:
  struct Batch {
    Instant asked_at;
    std::uint32_t tokens = 0;
  };

  void DropExpired(Instant now);

  std::deque<Batch> batches_;
  // Requests a second, smoothed over about two seconds.
  double request_rate_ = 0;
  Instant last_request_;
  double own_tokens_ = 0;
  Instant own_filled_at_;
};

}  // namespace sapphirebank
