#include "sapphirebank/backend/quarantine_list.h"

#include <algorithm>

namespace sapphirebank {

void QuarantineList::Merge(Instant now, std::span<const Quarantine> others) {
  for (const Quarantine& other : others) {
    Instant& until = until_[other.fingerprint];
    until = std::max(until, now + other.left);
  }
}

bool QuarantineList::Contains(Instant now, Fingerprint fingerprint) const {
  const auto found = until_.find(fingerprint);
  return found != until_.end() && found->second > now;
}

std::vector<Quarantine> QuarantineList::List(Instant now) const {
  std::vector<Quarantine> all;
  for (const auto& [fingerprint, until] : until_) {
    if (until > now) all.push_back({fingerprint, until - now});
  }
  return all;
}

void QuarantineList::Expire(Instant now) {
  std::erase_if(until_, [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace sapphirebank
