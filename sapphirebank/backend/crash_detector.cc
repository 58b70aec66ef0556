#include "sapphirebank/backend/crash_detector.h"

#include <algorithm>

namespace sapphirebank {
namespace {

// Longest time between a lost connection and the evidence that the server
// crashed.
constexpr Duration kCrashConfirmationWindow = std::chrono::seconds(3);
// Time for which refused connections after a crash do not count as failures of
// the server.
constexpr Duration kRestartGrace = std::chrono::seconds(5);

}  // namespace

void CrashDetector::AddLostConnection(Instant now, Fingerprint fingerprint) {
  lost_connections_.push_back({now, fingerprint});
}

std::optional<std::vector<Fingerprint>> CrashDetector::Confirm(
    Instant now, const std::vector<Fingerprint>& running) {
  std::vector<Fingerprint> found = running;
  for (const LostConnection& lost : lost_connections_) {
    if (now - lost.at <= kCrashConfirmationWindow)
      found.push_back(lost.fingerprint);
  }
  lost_connections_.clear();
  if (found.empty()) return std::nullopt;
  restart_until_ = now + kRestartGrace;
  crash_reported_ = true;
  std::erase_if(found, [&](Fingerprint fingerprint) {
    return fingerprint == 0 ||
           std::binary_search(reported_requests_.begin(),
                              reported_requests_.end(), fingerprint);
  });
  std::sort(found.begin(), found.end());
  found.erase(std::unique(found.begin(), found.end()), found.end());
  reported_requests_.insert(reported_requests_.end(), found.begin(),
                            found.end());
  std::sort(reported_requests_.begin(), reported_requests_.end());
  return found;
}

std::uint32_t CrashDetector::TakeUnconfirmed(Instant now) {
  return static_cast<std::uint32_t>(
      std::erase_if(lost_connections_, [&](const LostConnection& lost) {
        return now - lost.at > kCrashConfirmationWindow;
      }));
}

}  // namespace sapphirebank
