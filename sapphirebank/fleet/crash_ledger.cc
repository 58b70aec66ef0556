#include "sapphirebank/fleet/crash_ledger.h"

namespace sapphirebank {

bool CrashLedger::Add(Instant now, RequestFingerprint request,
                      const BackendId& server) {
  std::erase_if(suspects_, [&](const auto& item) {
    return now - item.second.last > settings_.window;
  });
  Suspect& suspect = suspects_[request];
  suspect.servers.insert(server);
  suspect.last = now;
  if (suspect.servers.size() < settings_.servers_to_judge) return false;
  suspects_.erase(request);
  quarantined_until_[request] = now + settings_.quarantine;
  return true;
}

std::vector<RequestFingerprint> CrashLedger::Quarantined(Instant now) {
  std::erase_if(quarantined_until_,
                [&](const auto& item) { return item.second <= now; });
  std::vector<RequestFingerprint> requests;
  requests.reserve(quarantined_until_.size());
  for (const auto& [request, until] : quarantined_until_) {
    requests.push_back(request);
  }
  return requests;
}

}  // namespace sapphirebank
