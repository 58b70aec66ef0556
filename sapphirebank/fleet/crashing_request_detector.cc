#include "sapphirebank/fleet/crashing_request_detector.h"

namespace sapphirebank {

bool CrashingRequestDetector::RecordCrash(Instant now,
                                          RequestFingerprint request,
                                          const BackendId& server) {
  std::erase_if(histories_, [&](const auto& item) {
    return now - item.second.last_crash_at > settings_.crash_window;
  });
  CrashHistory& history = histories_[request];
  history.servers.insert(server);
  history.last_crash_at = now;
  if (history.servers.size() < settings_.quarantine_threshold) return false;
  histories_.erase(request);
  quarantined_until_[request] = now + settings_.quarantine_time;
  return true;
}

std::vector<RequestFingerprint> CrashingRequestDetector::Quarantined(
    Instant now) {
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
