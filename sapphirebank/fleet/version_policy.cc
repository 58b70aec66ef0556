#include "sapphirebank/fleet/version_policy.h"

#include <tuple>

namespace sapphirebank {

VersionRecord VersionRecordOf(const FleetRecord& record) {
  VersionRecord versions;
  versions.rollouts = record.rollouts();
  for (const auto& [service, rollout] : record.rollouts()) {
    std::string current = record.CurrentVersion(service);
    if (current.empty()) continue;
    versions.current_versions[service] = std::move(current);
  }
  return versions;
}

void VersionPolicy::SetServers(
    std::span<const ServerAnnouncement* const> servers) {
  first_starts_.clear();
  for (const ServerAnnouncement* server : servers) {
    if (server->version.empty()) continue;
    const Rollout* last = FindLast(server->service);
    if (last != nullptr && (server->version == last->target_version ||
                            last->IsBarred(server->version))) {
      continue;
    }
    const auto [found, is_first] = first_starts_.try_emplace(
        server->service, FirstStart{server->incarnation, server->version});
    FirstStart& first = found->second;
    const bool is_earlier = std::tie(server->incarnation, server->version) <
                            std::tie(first.start, first.version);
    if (!is_first && is_earlier) {
      first = {server->incarnation, server->version};
    }
  }
}

VersionUse VersionPolicy::UseOf(const ServerAnnouncement& server) const {
  if (!record_) return VersionUse::kOpen;
  const Rollout* last = FindLast(server.service);
  if (last != nullptr) {
    const VersionUse use = sapphirebank::UseOf(*last, server.version);
    const bool is_target = server.version == last->target_version;
    if (is_target || use == VersionUse::kNone) return use;
  }
  if (server.version.empty()) return VersionUse::kOpen;
  const std::string* in_use = FindVersionInUse(server.service);
  return in_use == nullptr || server.version == *in_use ? VersionUse::kOpen
                                                        : VersionUse::kNone;
}

const Rollout* VersionPolicy::FindLast(const ServiceId& service) const {
  if (!record_) return nullptr;
  const auto found = record_->rollouts.find(service);
  return found == record_->rollouts.end() ? nullptr : &found->second;
}

const Rollout* VersionPolicy::FindRunning(const ServiceId& service) const {
  const Rollout* last = FindLast(service);
  return last == nullptr || last->IsOver() ? nullptr : last;
}

const std::string* VersionPolicy::FindVersionInUse(
    const ServiceId& service) const {
  const auto current = record_->current_versions.find(service);
  if (current != record_->current_versions.end()) return &current->second;
  const auto first = first_starts_.find(service);
  return first == first_starts_.end() ? nullptr : &first->second.version;
}

}  // namespace sapphirebank
