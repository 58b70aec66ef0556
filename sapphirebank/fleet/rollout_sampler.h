#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/rollout_samples.h"
#include "sapphirebank/fleet/server_announcement.h"
#include "sapphirebank/fleet/version_policy.h"

namespace sapphirebank {

// How an attempt at a backend server ended.
struct AttemptEnd {
  std::string route;
  // The server answered with an error, broke the attempt off, or did not answer
  // by the deadline or by the time after which an attempt is replaced.
  bool failed = false;
  Duration time{};
  // The server was in good health when the attempt ended.
  bool server_is_healthy = true;
};

// Returns the duration class of an attempt that took `time`.
std::size_t DurationClassOf(Duration time);

// Adds `more` to `sum`.
void AddSamples(RolloutSamples& sum, const RolloutSamples& more);

// Collects what an entry host sees of the versions of services with a rollout
// that is not over.
class RolloutSampler {
 public:
  // Records the end of an attempt at `server`. Servers of other versions than
  // the new one count only in good health.
  void Record(const VersionPolicy& versions, const ServerAnnouncement& server,
              const AttemptEnd& end);

  // Returns the samples since the last call.
  std::map<ServiceId, RolloutSamples> Take() {
    return std::exchange(samples_, {});
  }

 private:
  std::map<ServiceId, RolloutSamples> samples_;
};

}  // namespace sapphirebank
