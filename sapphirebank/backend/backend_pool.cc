#include "sapphirebank/backend/backend_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace sapphirebank {
namespace {

bool ById(const std::shared_ptr<BackendServer>& server,
          const BackendId& backend) {
  return server->announcement().backend < backend;
}

}  // namespace

Result<BackendPool> BackendPool::Create(const BackendPoolSettings& settings) {
  if (settings.probe_share <= 0 || settings.probe_share > 1) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("probe_share: expected above 0 and at most 1, "
                            "got {}",
                            settings.probe_share));
  }
  return LoadBackendChart().map([&](StateChart chart) {
    return BackendPool(settings, std::move(chart));
  });
}

BackendPool::BackendPool(const BackendPoolSettings& settings, StateChart chart)
    : settings_(settings),
      chart_(std::make_shared<const StateChart>(std::move(chart))),
      random_(settings.seed) {}

void BackendPool::SetPolicy(const Declarations& declarations) {
  configured_ = true;
  zones_.clear();
  for (const auto& zone : declarations.zones) {
    zones_[zone.id] = zone.in_service;
  }
  for (auto& [service, group] : groups_) group.declared = false;
  for (const auto& service : declarations.services) {
    ServiceGroup& group = groups_[service.id];
    group.declared = true;
    group.policy = service.policy;
  }
  for (auto& [service, group] : groups_) {
    for (const auto& server : group.servers) {
      server->SetZoneInService(ZoneInService(server->announcement().key.zone));
    }
  }
}

bool BackendPool::ZoneInService(const ZoneId& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second;
}

void BackendPool::Adopt(Instant now, const BackendKey& key, Term term,
                        const std::optional<Handover>& handover) {
  const auto [entry, is_new] = owned_.try_emplace(key);
  OwnedKey& owned = entry->second;
  owned.term = term;
  if (!is_new) return;
  owned.inherited_slots_until = now + settings_.takeover_hold;
  owned.handover = handover;
  owned.last_report = now;
}

Handover BackendPool::Release(const BackendKey& key) {
  Handover handover;
  owned_.erase(key);
  const auto group = groups_.find(key.service);
  if (group == groups_.end()) return handover;
  for (const auto& server : group->second.servers) {
    if (server->announcement().key != key) continue;
    handover.servers.push_back({server->announcement().backend,
                                server->announcement().process_id,
                                server->slot_tracker().taken(),
                                server->state() == BackendState::kWarm});
    servers_.erase(server->announcement().backend);
  }
  std::erase_if(group->second.servers, [&](const ServerPtr& server) {
    return server->announcement().key == key;
  });
  return handover;
}

Result<AnnounceDecision> BackendPool::Announce(
    Instant now, const Announcement& announcement) {
  if (auto valid = CheckAnnouncement(announcement); !valid) {
    return tl::unexpected(valid.error());
  }
  const BackendKey& key = announcement.key;
  if (!configured_) {
    return Fail(ErrorKind::kNoConfiguration, "no declarations are in force");
  }
  const auto group = groups_.find(key.service);
  if (group == groups_.end() || !group->second.declared) {
    return Fail(
        ErrorKind::kNotFound,
        fmt::format("service \"{}\" is not declared", key.service.value()));
  }
  if (!zones_.contains(key.zone)) {
    return Fail(ErrorKind::kNotFound,
                fmt::format("availability zone \"{}\" is not declared",
                            key.zone.value()));
  }
  if (!owned_.contains(key)) return AnnounceDecision::kNotOwned;
  const Duration ttl = group->second.policy.announcement_ttl;
  const ServerPtr existing = FindServer(announcement.backend);
  if (!existing) {
    AddServer(now, announcement);
    return AnnounceDecision::kAdded;
  }
  if (existing->announcement().key == key) {
    const auto decision = existing->Renew(now, ttl, announcement);
    CollectCrashReport(now, *existing);
    return decision;
  }
  const bool newer =
      announcement.incarnation > existing->announcement().incarnation;
  if (!newer && now - existing->last_announced() < ttl) {
    return AnnounceDecision::kConflict;
  }
  RemoveServer(announcement.backend);
  AddServer(now, announcement);
  return AnnounceDecision::kAdded;
}

BackendPool::ServerPtr BackendPool::FindServer(const BackendId& backend) const {
  const auto found = servers_.find(backend);
  return found == servers_.end() ? nullptr : found->second;
}

BackendPool::ServiceGroup* BackendPool::FindGroup(const BackendServer& server) {
  const auto found = groups_.find(server.announcement().key.service);
  return found == groups_.end() ? nullptr : &found->second;
}

void BackendPool::AddServer(Instant now, const Announcement& announcement) {
  auto server = std::make_shared<BackendServer>(*chart_, announcement, now);
  server->SetZoneInService(ZoneInService(announcement.key.zone));
  const OwnedKey& owned = owned_.at(announcement.key);
  if (now < owned.inherited_slots_until) InheritSlots(*server, owned);
  servers_[announcement.backend] = server;
  auto& group_servers = groups_.at(announcement.key.service).servers;
  const auto position = std::lower_bound(
      group_servers.begin(), group_servers.end(), announcement.backend, ById);
  group_servers.insert(position, std::move(server));
}

void BackendPool::InheritSlots(BackendServer& server, const OwnedKey& owned) {
  const Announcement& announcement = server.announcement();
  if (!owned.handover) {
    server.slot_tracker().Inherit(announcement.slots,
                                  owned.inherited_slots_until);
    return;
  }
  for (const auto& before : owned.handover->servers) {
    if (before.backend != announcement.backend) continue;
    if (before.process_id != announcement.process_id) continue;
    server.slot_tracker().Inherit(before.taken, owned.inherited_slots_until);
    const ServiceGroup* group = FindGroup(server);
    if (before.warm && group) server.SkipColdStart(group->policy);
  }
}

void BackendPool::RemoveServer(const BackendId& backend) {
  const ServerPtr server = FindServer(backend);
  if (!server) return;
  servers_.erase(backend);
  if (ServiceGroup* group = FindGroup(*server))
    std::erase(group->servers, server);
}

void BackendPool::CollectCrashReport(Instant now, BackendServer& server) {
  auto crash = server.TakeCrashReport();
  if (!crash) return;
  const auto owned = owned_.find(server.announcement().key);
  if (owned == owned_.end()) return;
  if (ServiceGroup* group = FindGroup(server)) {
    group->quarantine.AddCrash(now, crash->running);
  }
  owned->second.crashes.push_back(std::move(*crash));
  report_is_urgent_ = true;
}

std::vector<ServerStatus> BackendPool::Servers() const {
  std::vector<ServerStatus> statuses;
  for (const auto& [service, group] : groups_) {
    for (const auto& server : group.servers) {
      const Announcement& announcement = server->announcement();
      statuses.push_back({announcement.backend, announcement.key,
                          announcement.address, server->state(),
                          announcement.slots, server->SlotLimit(group.policy),
                          server->slot_tracker().taken(), server->connections(),
                          server->consecutive_bad_probes() > 0});
    }
  }
  std::sort(statuses.begin(), statuses.end(),
            [](const ServerStatus& left, const ServerStatus& right) {
              return left.backend < right.backend;
            });
  return statuses;
}

}  // namespace sapphirebank
