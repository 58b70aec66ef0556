#include "sapphirebank/backend/crash_detector.h"

#include <algorithm>

namespace sapphirebank {
namespace {

// Longest time between a death and the sign that the server crashed.
constexpr Duration kConfirmTime = std::chrono::seconds(3);
// Time in which a crashed server may refuse connections before that counts
// against it.
constexpr Duration kRestartTime = std::chrono::seconds(5);

}  // namespace

void CrashDetector::AddDied(Instant now, Fingerprint fingerprint) {
  deaths_.push_back({now, fingerprint});
}

std::optional<std::vector<Fingerprint>> CrashDetector::Confirm(
    Instant now, const std::vector<Fingerprint>& running) {
  std::vector<Fingerprint> found = running;
  for (const Death& death : deaths_) {
    if (now - death.at <= kConfirmTime) found.push_back(death.fingerprint);
  }
  deaths_.clear();
  if (found.empty()) return std::nullopt;
  restart_until_ = now + kRestartTime;
  crash_told_ = true;
  std::erase_if(found, [&](Fingerprint fingerprint) {
    return fingerprint == 0 ||
           std::binary_search(victims_.begin(), victims_.end(), fingerprint);
  });
  std::sort(found.begin(), found.end());
  found.erase(std::unique(found.begin(), found.end()), found.end());
  victims_.insert(victims_.end(), found.begin(), found.end());
  std::sort(victims_.begin(), victims_.end());
  return found;
}

std::uint32_t CrashDetector::TakeUnconfirmed(Instant now) {
  return static_cast<std::uint32_t>(std::erase_if(
      deaths_,
      [&](const Death& death) { return now - death.at > kConfirmTime; }));
}

}  // namespace sapphirebank
