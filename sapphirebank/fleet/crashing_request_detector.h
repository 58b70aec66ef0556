#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Hash of a request's method, path, body and key; resent requests have the same
// one.
using RequestFingerprint = std::uint64_t;

// A backend server broke off a request.
struct RequestCrash {
  RequestFingerprint request = 0;
  BackendId server;
  // Time since then.
  Duration age{};
};

// A request that is refused, and for how long.
struct RequestQuarantine {
  RequestFingerprint request = 0;
  Duration left{};
};

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
//
// Each host keeps what it saw or was told and passes it on to a hub that it has
// not reported to before, so that none of it depends on one process. Crashes
// and quarantines may arrive more than once and in any order; they end by the
// time that they were given, which no restart begins anew.
class CrashingRequestDetector {
 public:
  explicit CrashingRequestDetector(CrashingRequestSettings settings)
      : settings_(settings) {}

  // Records that `server` broke off the request `age` ago. Returns whether this
  // quarantined the request.
  bool RecordCrash(Instant now, RequestFingerprint request,
                   const BackendId& server, Duration age = Duration::zero());

  // Records a quarantine that another host knows. Returns whether the request
  // was not in quarantine here.
  bool RecordQuarantine(Instant now, const RequestQuarantine& quarantine);

  bool IsQuarantined(Instant now, RequestFingerprint request) const;

  // Returns the requests in quarantine.
  std::vector<RequestQuarantine> Quarantines(Instant now);

  // Returns the crashes that count towards a quarantine.
  std::vector<RequestCrash> Crashes(Instant now);

 private:
  struct CrashHistory {
    std::map<BackendId, Instant> servers;
    Instant last_crash_at;
  };

  bool IsOver(Instant now, const CrashHistory& history) const {
    return now - history.last_crash_at > settings_.crash_window;
  }

  // Removes what has ended, at times: when many servers crash at once, each of
  // thousands of requests is recorded.
  void RemoveEnded(Instant now);

  CrashingRequestSettings settings_;
  Instant next_removal_;
  std::map<RequestFingerprint, CrashHistory> histories_;
  std::map<RequestFingerprint, Instant> quarantined_until_;
};

}  // namespace sapphirebank
