#pragma once

#include <map>
#include <span>
#include <vector>

#include "sapphirebank/backend/window_report.h"

namespace sapphirebank {

// Time for which requests stay suspects after a crash during which they ran.
inline constexpr Duration kSuspicionTime = std::chrono::minutes(5);

// Requests in quarantine, each with the time at which it ends.
class QuarantineList {
 public:
  // Time for which a request is refused after its second crash.
  static constexpr Duration kQuarantineTime = std::chrono::minutes(10);

  void Add(Instant now, Fingerprint fingerprint) {
    until_[fingerprint] = now + kQuarantineTime;
  }

  // Merges the quarantines of another host; the later end applies.
  void Merge(Instant now, std::span<const Quarantine> others);

  bool Contains(Instant now, Fingerprint fingerprint) const;

  // Returns the quarantines in force, ordered by fingerprint.
  std::vector<Quarantine> List(Instant now) const;

  // Removes quarantines that are over.
  void Expire(Instant now);

 private:
  std::map<Fingerprint, Instant> until_;
};

}  // namespace sapphirebank
