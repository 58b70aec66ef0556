#include "sapphirebank/consensus/peer_contacts.h"

#include <utility>

namespace sapphirebank {

PeerContacts::PeerContacts(HostId self) : self_(std::move(self)) {}

void PeerContacts::Learn(Instant now, std::span<const HostId> hosts) {
  std::erase_if(named_at_, [&](const auto& item) {
    return now - item.second >= kRetention;
  });
  for (const HostId& host : hosts) {
    if (host == self_) continue;
    if (named_at_.size() >= kMaxContacts && !named_at_.contains(host)) return;
    named_at_[host] = now;
  }
}

std::vector<HostId> PeerContacts::Known(Instant now) const {
  std::vector<HostId> known;
  for (const auto& [host, named_at] : named_at_) {
    if (now - named_at < kRetention) known.push_back(host);
  }
  return known;
}

}  // namespace sapphirebank
