#pragma once

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Time for which a hub that did not answer is not asked for rate tokens. Its
// answer to the next report, within half a second, ends it sooner.
inline constexpr Duration kHubSilenceTime = std::chrono::milliseconds(500);

// Circuit breaker (Nygard, "Release It!", 2007) for an entry host's questions
// to its hub. Without a token a request cannot be served, so while the hub is
// silent requests are refused at once instead of each waiting in vain, and a
// hub that is late is not asked more.
class HubCircuitBreaker {
 public:
  // Records a question that was not answered in time.
  void RecordTimeout(Instant now) { open_until_ = now + kHubSilenceTime; }

  // Records anything that came from the hub.
  void RecordAnswer() { open_until_ = Instant(); }

  // Returns whether the hub is taken to be silent.
  bool IsOpen(Instant now) const { return now < open_until_; }

 private:
  Instant open_until_;
};

}  // namespace sapphirebank
