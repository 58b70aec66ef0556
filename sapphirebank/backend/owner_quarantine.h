#pragma once

#include <map>
#include <span>
#include <vector>

#include "sapphirebank/backend/backend_types.h"
#include "sapphirebank/backend/quarantine_list.h"
#include "sapphirebank/backend/window_report.h"

namespace sapphirebank {

// An owner's part in stopping requests that crash backend servers. One crash
// makes the requests that ran there suspects, which run one at a time until
// one is answered; a second one puts a suspect into quarantine at once, before
// the coordinator has heard of it.
class OwnerQuarantine {
 public:
  enum class Decision {
    kAllowed,
    kWait,         // The same request runs and is under suspicion.
    kQuarantined,  // It must not run.
  };

  // Returns whether a request may be sent now. It changes nothing.
  Decision Check(Instant now, Fingerprint fingerprint) const;

  // Notes that a request was sent, or that it ended. `answered` tells whether
  // the server survived it.
  void OnStarted(Fingerprint fingerprint);
  void OnFinished(Fingerprint fingerprint, bool answered);

  // Notes the requests that ran on a server when it crashed.
  void AddCrash(Instant now, std::span<const Fingerprint> running);

  // Takes the coordinator's view.
  void Merge(Instant now, std::span<const Fingerprint> suspects,
             std::span<const Quarantine> quarantined);

  // Returns the suspects that were answered since the last call.
  std::vector<Fingerprint> TakeSurvived();

  // Returns the quarantines in force.
  std::vector<Quarantine> Quarantined(Instant now) const {
    return quarantined_.List(now);
  }

  // Forgets what has run out.
  void Expire(Instant now);

 private:
  struct Suspect {
    Instant until;
    std::uint32_t running = 0;
  };

  std::map<Fingerprint, Suspect> suspects_;
  QuarantineList quarantined_;
  std::vector<Fingerprint> survived_;
};

}  // namespace sapphirebank
