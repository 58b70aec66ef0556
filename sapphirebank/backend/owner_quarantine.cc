#include "sapphirebank/backend/owner_quarantine.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {
OwnerQuarantine::Decision OwnerQuarantine::Check(
    Instant now, Fingerprint fingerprint) const {
  if (fingerprint == 0) return Decision::kAllowed;
  if (quarantined_.Contains(now, fingerprint)) return Decision::kQuarantined;
  const auto suspect = suspects_.find(fingerprint);
  if (suspect == suspects_.end() || suspect->second.running == 0) {
    return Decision::kAllowed;
  }
  return Decision::kWait;
}

void OwnerQuarantine::OnStarted(Fingerprint fingerprint) {
  if (suspects_.empty()) return;
  const auto suspect = suspects_.find(fingerprint);
  if (suspect != suspects_.end()) ++suspect->second.running;
}

void OwnerQuarantine::OnFinished(Fingerprint fingerprint, bool answered) {
  if (suspects_.empty()) return;
  const auto suspect = suspects_.find(fingerprint);
  if (suspect == suspects_.end()) return;
  if (answered) {
    survived_.push_back(fingerprint);
    suspects_.erase(suspect);
    return;
  }
  if (suspect->second.running > 0) --suspect->second.running;
}

void OwnerQuarantine::AddCrash(Instant now,
                               std::span<const Fingerprint> running) {
  for (const Fingerprint fingerprint : running) {
    if (quarantined_.Contains(now, fingerprint)) continue;
    const auto [suspect, is_new] =
        suspects_.try_emplace(fingerprint, Suspect{now + kSuspicionTime, 0});
    if (is_new) continue;
    suspects_.erase(suspect);
    quarantined_.Add(now, fingerprint);
  }
}

void OwnerQuarantine::Merge(Instant now, std::span<const Fingerprint> suspects,
                            std::span<const Quarantine> quarantined) {
  for (const Fingerprint fingerprint : suspects) {
    if (quarantined_.Contains(now, fingerprint)) continue;
    if (std::find(survived_.begin(), survived_.end(), fingerprint) !=
        survived_.end()) {
      continue;
    }
    suspects_.try_emplace(fingerprint, Suspect{now + kSuspicionTime, 0});
  }
  quarantined_.Merge(now, quarantined);
  for (const Quarantine& quarantine : quarantined) {
    suspects_.erase(quarantine.fingerprint);
  }
}

std::vector<Fingerprint> OwnerQuarantine::TakeSurvived() {
  return std::exchange(survived_, {});
}

void OwnerQuarantine::Expire(Instant now) {
  std::erase_if(suspects_, [&](const auto& entry) {
    return entry.second.until <= now && entry.second.running == 0;
  });
  quarantined_.Expire(now);
}

}  // namespace sapphirebank
