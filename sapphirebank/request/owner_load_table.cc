#include "sapphirebank/request/owner_load_table.h"

#include <algorithm>

namespace sapphirebank {
namespace {

// Free fraction of an owner's slots, reduced by its queued requests. Negative
// when more requests are queued than slots are free.
double FreeCapacity(const OwnerLoad& load) {
  const double free = static_cast<double>(load.free_slots) - load.waiting;
  return free / std::max<std::uint32_t>(1, load.usable_slots);
}

}  // namespace

void OwnerLoadTable::Update(Instant now, const OwnerLoad& load) {
  Entries& entries = services_[load.service];
  // The servers of a zone have one owner at a time, so the load that another
  // host reported before is obsolete.
  std::erase_if(entries, [&](const auto& item) {
    return item.first.second == load.zone && item.first.first != load.host;
  });
  entries[{load.host, load.zone}] = Entry{load, now};
}

void OwnerLoadTable::ForgetHost(const HostId& host) {
  for (auto& [service, entries] : services_) {
    std::erase_if(entries,
                  [&](const auto& item) { return item.first.first == host; });
  }
}

std::optional<OwnerLoad> OwnerLoadTable::Choose(
    Instant now, const ServiceId& service, std::span<const HostId> excluded,
    Random& random) {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  std::vector<Entry*> same_zone;
  std::vector<Entry*> other_zones;
  std::vector<Entry*> busy;
  for (auto& [key, entry] : found->second) {
    if (!Usable(now, entry, excluded)) continue;
    const bool has_capacity = FreeCapacity(entry.load) > 0;
    auto& group = !has_capacity                       ? busy
                  : entry.load.zone == settings_.zone ? same_zone
                                                      : other_zones;
    group.push_back(&entry);
  }
  std::vector<Entry*>& group = !same_zone.empty()     ? same_zone
                               : !other_zones.empty() ? other_zones
                                                      : busy;
  if (group.empty()) return std::nullopt;
  Entry* first = group[random.Below(group.size())];
  Entry* second = group[random.Below(group.size())];
  Entry* chosen =
      FreeCapacity(second->load) > FreeCapacity(first->load) ? second : first;
  if (chosen->load.free_slots > 0) {
    --chosen->load.free_slots;
  } else {
    ++chosen->load.waiting;
  }
  return chosen->load;
}

std::vector<OwnerLoad> OwnerLoadTable::OwnersOf(
    Instant now, const ServiceId& service) const {
  std::vector<OwnerLoad> owners;
  const auto found = services_.find(service);
  if (found == services_.end()) return owners;
  for (const auto& [key, entry] : found->second) {
    if (Usable(now, entry, {})) owners.push_back(entry.load);
  }
  return owners;
}

std::uint32_t OwnerLoadTable::FreeSlots(Instant now,
                                        const ServiceId& service) const {
  std::uint32_t free = 0;
  for (const OwnerLoad& owner : OwnersOf(now, service)) {
    free += owner.free_slots;
  }
  return free;
}

bool OwnerLoadTable::Usable(Instant now, const Entry& entry,
                            std::span<const HostId> excluded) const {
  return now - entry.received_at <= settings_.load_ttl &&
         entry.load.usable_slots > 0 &&
         std::find(excluded.begin(), excluded.end(), entry.load.host) ==
             excluded.end();
}

}  // namespace sapphirebank
