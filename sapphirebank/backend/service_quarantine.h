#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "sapphirebank/backend/backend_types.h"
#include "sapphirebank/backend/quarantine_list.h"
#include "sapphirebank/backend/window_report.h"

namespace sapphirebank {

// Returns the fingerprint of a request; never 0. `body_digest` is a digest of
// the whole body.
Fingerprint FingerprintOf(const ServiceId& service, std::string_view method,
                          std::string_view path, std::string_view body_digest);

// Detects requests that crash the backend servers of one service, across all
// owners. A request is put into quarantine after two crashes during which it
// was running, unless it was answered in between.
class ServiceQuarantine {
 public:
  // Processes the crashes, survived requests and quarantines of an owner's
  // report. Returns the servers that crashed because of a request that is now
  // in quarantine.
  std::vector<BackendId> AddReport(Instant now, const WindowReport& report);

  // Returns the requests that were running during one crash.
  std::vector<Fingerprint> Suspects() const;

  // Returns the quarantines in force.
  std::vector<Quarantine> Quarantined(Instant now) const {
    return quarantined_.List(now);
  }

  // Removes expired suspects and quarantines.
  void Expire(Instant now);

 private:
  struct Suspect {
    Instant until;
    BackendId crashed_server;
  };

  std::map<Fingerprint, Suspect> suspects_;
  QuarantineList quarantined_;
};

}  // namespace sapphirebank
