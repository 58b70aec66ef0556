#pragma once

#include <map>
#include <span>
#include <vector>

#include "sapphirebank/backend/backend_types.h"
#include "sapphirebank/backend/quarantine_list.h"
#include "sapphirebank/backend/window_report.h"

namespace sapphirebank {

// An owner's part in stopping requests that crash backend servers. After one
// crash, the requests that were running on the server are suspects and run one
// at a time until one of them is answered. A second crash puts a suspect into
// quarantine at once, without waiting for the coordinator.
class OwnerQuarantine {
 public:
  enum class Decision {
    kAllowed,
    kWait,         // An equal suspect request is running.
    kQuarantined,  // The request must not run.
  };

  // Returns whether a request may be sent now. Changes nothing.
  Decision Check(Instant now, Fingerprint fingerprint) const;

  // Record that a request was sent, or that it finished. `answered` tells
  // whether the server answered it and so survived it.
  void OnStarted(Fingerprint fingerprint);
  void OnFinished(Fingerprint fingerprint, bool answered);

  // Records the requests that were running on a server when it crashed.
  void AddCrash(Instant now, std::span<const Fingerprint> running);

  // Merges the suspects and quarantines known to the coordinator.
  void Merge(Instant now, std::span<const Fingerprint> suspects,
             std::span<const Quarantine> quarantined);

  // Returns the suspects that were answered since the last call and clears that
  // list.
  std::vector<Fingerprint> TakeSurvived();

  // Returns the quarantines in force.
  std::vector<Quarantine> Quarantined(Instant now) const {
    return quarantined_.List(now);
  }

  // Removes expired suspects and quarantines.
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
