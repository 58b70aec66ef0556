#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "sapphirebank/backend/backend_types.h"
#include "sapphirebank/backend/quarantine_list.h"
#include "sapphirebank/backend/window_report.h"

namespace sapphirebank {

// Returns the fingerprint of a request. `body_digest` is a digest of the whole
// body. It is never 0.
Fingerprint FingerprintOf(const ServiceId& service, std::string_view method,
                          std::string_view path, std::string_view body_digest);

// Finds requests that crash the backend servers of one service, over all
// owners: two crashes while the same request ran, and no answer to it in
// between, put the request into quarantine.
class ServiceQuarantine {
 public:
  // Takes an owner's crashes, survivals and quarantines. Returns the servers
  // that crashed because of a request that is now in quarantine.
  std::vector<BackendId> AddReport(Instant now, const WindowReport& report);

  // Returns the requests that ran during one crash.
  std::vector<Fingerprint> Suspects() const;

  // Returns the quarantines in force.
  std::vector<Quarantine> Quarantined(Instant now) const {
    return quarantined_.List(now);
  }

  // Forgets what has run out.
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
