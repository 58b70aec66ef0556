#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Digest of all that makes a request the same when it is sent again: method,
// path, body and key.
using RequestFingerprint = std::uint64_t;

struct CrashingRequestSettings {
  // Backend servers that must have broken off one request before it is held
  // to crash them.
  std::size_t quarantine_threshold = 3;
  // Breaks further apart than this have other causes.
  Duration crash_window = std::chrono::seconds(15);
  // For how long the request is refused.
  Duration quarantine_time = std::chrono::seconds(60);
};

// Finds requests that crash each backend server which runs them, by what all
// hosts saw: the same request comes again at any of them.
class CrashingRequestDetector {
 public:
  explicit CrashingRequestDetector(CrashingRequestSettings settings)
      : settings_(settings) {}

  // Notes that `server` broke off the request. Returns whether this put the
  // request into quarantine.
  bool RecordCrash(Instant now, RequestFingerprint request,
                   const BackendId& server);

  // Returns the requests in quarantine.
  std::vector<RequestFingerprint> Quarantined(Instant now);

 private:
  struct CrashHistory {
    std::set<BackendId> servers;
    Instant last_crash_at;
  };

  CrashingRequestSettings settings_;
  std::map<RequestFingerprint, CrashHistory> histories_;
  std::map<RequestFingerprint, Instant> quarantined_until_;
};

}  // namespace sapphirebank
