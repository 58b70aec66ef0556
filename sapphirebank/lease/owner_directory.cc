#include "sapphirebank/lease/owner_directory.h"

namespace sapphirebank {

void OwnerDirectory::Update(Instant now,
                            const OwnerAnnouncement& announcement) {
  for (const auto& [key, term] : announcement.held) {
    Update(now, key, Owner{announcement.host, term});
  }
  for (const auto& [key, term] : announcement.released) Remove(key, term);
}

void OwnerDirectory::Update(Instant now, std::string_view key,
                            const Owner& owner) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    entries_.emplace(std::string(key), Entry{owner, now});
    return;
  }
  Entry& entry = found->second;
  const bool fresh = now < entry.updated_at + time_to_live_;
  if (fresh && owner.term < entry.owner.term) return;
  entry.owner = owner;
  entry.updated_at = now;
}

void OwnerDirectory::Remove(std::string_view key, Term term) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.owner.term > term) return;
  entries_.erase(found);
}

void OwnerDirectory::RemoveHost(const HostId& host) {
  std::erase_if(entries_, [&](const auto& entry) {
    return entry.second.owner.host == host;
  });
}

std::optional<Owner> OwnerDirectory::OwnerOf(Instant now,
                                             std::string_view key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return std::nullopt;
  if (now >= found->second.updated_at + time_to_live_) return std::nullopt;
  return found->second.owner;
}

void OwnerDirectory::RemoveExpired(Instant now) {
  std::erase_if(entries_, [&](const auto& entry) {
    return now >= entry.second.updated_at + time_to_live_;
  });
}

}  // namespace sapphirebank
