#include "sapphirebank/consensus/peer_presence.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {
namespace {

// Several times the interval of announcements.
constexpr Duration kAnnouncementGap = std::chrono::milliseconds(1500);

}  // namespace

PeerPresence::PeerPresence(HostId self, std::vector<HostId> control_hosts)
    : self_(std::move(self)), others_(std::move(control_hosts)) {
  std::sort(others_.begin(), others_.end());
  std::erase(others_, self_);
}

void PeerPresence::Add(const HostId& host) {
  if (host == self_) return;
  const auto position = std::lower_bound(others_.begin(), others_.end(), host);
  if (position == others_.end() || *position != host)
    others_.insert(position, host);
}

void PeerPresence::RecordHello(Instant now, const HostId& host,
                               const NodeId& node, const Hello& hello) {
  if (!std::binary_search(others_.begin(), others_.end(), host)) return;
  LastHello& last = last_hellos_[host];
  const bool is_same_node = last.node == node;
  last.node = node;
  last.is_empty = hello.empty;
  last.received_at = now;
  if (hello.answer) return;
  if (!is_same_node || now - last.announced_at > kAnnouncementGap) {
    last.announced_since = now;
  }
  last.announced_at = now;
}

std::map<HostId, NodeId> PeerPresence::Announcing(Instant now,
                                                  Duration min_time) const {
  std::map<HostId, NodeId> announcing;
  for (const auto& [host, hello] : last_hellos_) {
    const bool is_recent = now - hello.announced_at < kAnnouncementGap;
    if (is_recent && now - hello.announced_since >= min_time) {
      announcing[host] = hello.node;
    }
  }
  return announcing;
}

std::map<HostId, NodeId> PeerPresence::Present(Instant now) const {
  std::map<HostId, NodeId> present;
  for (const auto& [host, hello] : last_hellos_) {
    if (now - hello.received_at < kPresenceTimeout) present[host] = hello.node;
  }
  return present;
}

bool PeerPresence::CanBootstrap(Instant now) const {
  if (!others_.empty() && others_.front() < self_) return false;
  return std::all_of(others_.begin(), others_.end(), [&](const HostId& host) {
    const auto found = last_hellos_.find(host);
    return found != last_hellos_.end() && found->second.is_empty &&
           now - found->second.received_at < kPresenceTimeout;
  });
}

}  // namespace sapphirebank
