#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Hash of a request's method, path, body and key; resent requests have the same
// one.
using RequestFingerprint = std::uint64_t;

struct CrashingRequestSettings {
  // Distinct backend servers that must crash on a request before it is
  // quarantined.
  std::size_t quarantine_threshold = 3;
  // Crashes further apart than this have unrelated causes.
  Duration crash_window = std::chrono::seconds(15);
  // Time for which a quarantined request is refused.
  Duration quarantine_time = std::chrono::seconds(60);
};

// Detects requests that crash every backend server which runs them, from the
// reports of all hosts, as clients resend the request to any of them.
class CrashingRequestDetector {
 public:
  explicit CrashingRequestDetector(CrashingRequestSettings settings)
      : settings_(settings) {}

  // Records that `server` broke off the request. Returns whether this
  // quarantined the request.
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
