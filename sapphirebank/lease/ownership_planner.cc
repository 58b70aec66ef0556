#include "sapphirebank/lease/ownership_planner.h"

#include <set>
#include <tuple>
#include <utility>

#include "sapphirebank/core/hash.h"

namespace sapphirebank {
namespace {

constexpr std::string_view kBackendPrefix = "backend:";

// Combines two hashes into a score with the finalizer of SplitMix64 (Steele,
// Lea and Flood, 2014).
std::uint64_t Score(std::uint64_t key, std::uint64_t host) {
  std::uint64_t value = key ^ (host * 0x9e3779b97f4a7c15ULL);
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

// Returns the zone of a backend key, or an empty view for other keys.
std::string_view ZoneOf(std::string_view key) {
  if (!key.starts_with(kBackendPrefix)) return {};
  return key.substr(key.rfind(':') + 1);
}

}  // namespace

bool OwnershipPlanner::RanksHigher(const Key& key, HostIndex a,
                                   HostIndex b) const {
  if (b == kNone) return a != kNone;
  if (a == kNone || a == b) return false;
  const Host& first = hosts_[static_cast<std::size_t>(a)];
  const Host& second = hosts_[static_cast<std::size_t>(b)];
  if (key.zone_hash != 0) {
    const bool first_in_zone = first.zone_hash == key.zone_hash;
    const bool second_in_zone = second.zone_hash == key.zone_hash;
    if (first_in_zone != second_in_zone) return first_in_zone;
  }
  const std::uint64_t first_score = Score(key.hash, first.hash);
  const std::uint64_t second_score = Score(key.hash, second.hash);
  return std::tie(first_score, first.id) > std::tie(second_score, second.id);
}

void OwnershipPlanner::FindBest(Key& key) const {
  key.best = kNone;
  key.best_settled = kNone;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (!hosts_[i].live) continue;
    const auto host = static_cast<HostIndex>(i);
    if (RanksHigher(key, host, key.best)) key.best = host;
    if (hosts_[i].settled && RanksHigher(key, host, key.best_settled)) {
      key.best_settled = host;
    }
  }
}

void OwnershipPlanner::ConsiderHost(HostIndex host) {
  const bool settled = hosts_[static_cast<std::size_t>(host)].settled;
  for (auto& [name, key] : keys_) {
    if (RanksHigher(key, host, key.best)) key.best = host;
    if (settled && RanksHigher(key, host, key.best_settled)) {
      key.best_settled = host;
    }
  }
}

OwnershipPlanner::HostIndex OwnershipPlanner::IndexOf(const HostId& id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? kNone : found->second;
}

OwnershipPlanner::HostIndex OwnershipPlanner::FreeSlot() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (!hosts_[i].live) return static_cast<HostIndex>(i);
  }
  hosts_.emplace_back();
  return static_cast<HostIndex>(hosts_.size() - 1);
}

void OwnershipPlanner::SetHosts(Instant now, std::span<const LiveHost> hosts) {
  std::map<HostId, const LiveHost*> present;
  for (const LiveHost& host : hosts) present.emplace(host.id, &host);
  bool removed = false;
  std::erase_if(index_, [&](const auto& entry) {
    Host& host = hosts_[static_cast<std::size_t>(entry.second)];
    const auto found = present.find(entry.first);
    // A host that was not live in between is treated as a new one.
    const bool stays =
        found != present.end() && found->second->live_since == host.live_since;
    if (stays) return false;
    host.live = false;
    removed = true;
    return true;
  });
  if (removed) {
    const auto is_removed = [&](HostIndex i) {
      return i != kNone && !hosts_[static_cast<std::size_t>(i)].live;
    };
    for (auto& [name, key] : keys_) {
      if (is_removed(key.best) || is_removed(key.best_settled)) FindBest(key);
    }
  }
  for (const auto& [id, live] : present) {
    if (index_.contains(id)) continue;
    const HostIndex index = FreeSlot();
    index_[id] = index;
    Host& host = hosts_[static_cast<std::size_t>(index)];
    host.id = id;
    host.hash = StableHash(id.value());
    host.zone_hash = StableHash(live->zone.value());
    host.live_since = live->live_since;
    host.live = true;
    host.settled = now >= live->live_since + rebalance_delay_;
    ConsiderHost(index);
  }
}

void OwnershipPlanner::SetKeys(Instant now, std::span<const std::string> keys) {
  MarkSettledHosts(now);
  const std::set<std::string_view> present(keys.begin(), keys.end());
  std::erase_if(
      keys_, [&](const auto& entry) { return !present.contains(entry.first); });
  for (const std::string& name : keys) {
    const auto [entry, added] = keys_.try_emplace(name);
    if (!added) continue;
    Key& key = entry->second;
    const std::string_view zone = ZoneOf(name);
    key.hash = StableHash(name);
    key.zone_hash = zone.empty() ? 0 : StableHash(zone);
    FindBest(key);
  }
}

void OwnershipPlanner::MarkSettledHosts(Instant now) {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    Host& host = hosts_[i];
    if (!host.live || host.settled) continue;
    if (now < host.live_since + rebalance_delay_) continue;
    host.settled = true;
    ConsiderHost(static_cast<HostIndex>(i));
  }
}

OwnershipPlanner::HostIndex OwnershipPlanner::SelectHolder(
    const Key& key, HostIndex owner) const {
  if (owner == kNone) return key.best;
  return RanksHigher(key, key.best_settled, owner) ? key.best_settled : owner;
}

std::vector<std::string> OwnershipPlanner::DesiredKeys(
    Instant now, const OwnerDirectory& owners) {
  MarkSettledHosts(now);
  std::vector<std::string> desired;
  const HostIndex self = IndexOf(self_);
  if (self == kNone) return desired;
  for (const auto& [name, key] : keys_) {
    const bool candidate = key.best == self || key.best_settled == self;
    const auto owner = owners.OwnerOf(now, name);
    const HostIndex owner_index = owner ? IndexOf(owner->host) : kNone;
    if (!candidate && owner_index != self) continue;
    if (SelectHolder(key, owner_index) == self) desired.push_back(name);
  }
  return desired;
}

HostId OwnershipPlanner::BestHostFor(std::string_view key) const {
  const auto found = keys_.find(key);
  if (found == keys_.end() || found->second.best == kNone) return HostId();
  return hosts_[static_cast<std::size_t>(found->second.best)].id;
}

}  // namespace sapphirebank
