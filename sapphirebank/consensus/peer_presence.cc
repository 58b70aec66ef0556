#include "sapphirebank/consensus/peer_presence.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {

PeerPresence::PeerPresence(HostId self, std::vector<HostId> control_hosts)
    : self_(std::move(self)), others_(std::move(control_hosts)) {
  std::sort(others_.begin(), others_.end());
  std::erase(others_, self_);
}

void PeerPresence::Add(const HostId& host) {
  if (host == self_) return;
  const auto place = std::lower_bound(others_.begin(), others_.end(), host);
  if (place == others_.end() || *place != host) others_.insert(place, host);
}

void PeerPresence::Hear(Instant now, const HostId& host, const NodeId& node,
                        bool is_empty) {
  if (!std::binary_search(others_.begin(), others_.end(), host)) return;
  heard_[host] = {node, is_empty, now};
}

std::map<HostId, NodeId> PeerPresence::Present(Instant now) const {
  std::map<HostId, NodeId> present;
  for (const auto& [host, heard] : heard_) {
    if (now - heard.at < kWindow) present[host] = heard.node;
  }
  return present;
}

bool PeerPresence::MayFormGroup(Instant now) const {
  if (!others_.empty() && others_.front() < self_) return false;
  return std::all_of(others_.begin(), others_.end(), [&](const HostId& host) {
    const auto found = heard_.find(host);
    return found != heard_.end() && found->second.is_empty &&
           now - found->second.at < kWindow;
  });
}

}  // namespace sapphirebank
