#include "sapphirebank/fleet/entry_view.h"

#include <fmt/format.h>

#include <algorithm>

#include "sapphirebank/core/compression.h"

namespace sapphirebank {
namespace {

// Maximum length of a plan or of a patch to it. A control host accepts plans of
// 16 MiB, and a patch repeats paths.
constexpr std::size_t kMaxPlanBytes = std::size_t{64} << 20U;

}  // namespace

bool KnownServer::TakeRateLimit(Instant now, Instant sent_at,
                                std::optional<double> limit) {
  if (limit == state.rate_limit) return false;
  if (!limit && sent_at < limited_since) return false;
  if (!state.rate_limit) limited_since = now;
  state.rate_limit = limit;
  return true;
}

Result<void> EntryView::Apply(Instant now, std::optional<Instant> requested_at,
                              const FleetUpdate& update) {
  if (update.record_changes < record_changes_) {
    return Fail(ErrorKind::kNotLeader,
                "update rejected: record older than this host's");
  }
  record_changes_ = update.record_changes;
  // A hub that has restarted sends its servers once it knows them. Until then
  // its updates lack departures that its record has.
  const bool has_registry =
      update.full_registry || update.registry_id == registry_id_;
  if (has_registry) ApplyServers(now, update);
  if (update.shared_state) {
    ApplyZones(now, update.zones_out);
    for (const RequestQuarantine& quarantine : update.quarantines) {
      crash_detector_.RecordQuarantine(now, quarantine);
    }
    request_rates_ = update.request_rates;
    entry_hosts_ = update.entry_hosts;
    // A hub of an earlier build knows none, and what was known holds.
    if (update.versions) versions_.SetRecord(*update.versions);
  }
  const bool servers_changed =
      has_registry && (update.full_registry || !update.servers.empty());
  if (update.shared_state || servers_changed) ApplyVersions(now);
  Result<void> plan_applied;
  if (update.plan) {
    plan_applied = ApplyPlan(*update.plan);
    if (!plan_applied) missing_plan_ = update.plan->version;
  }
  // The confirmation only counts if all that was sent with it, and before it,
  // was applied.
  const PlanVersion held = plan_ ? plan_->version() : 0;
  const bool has_plan = held >= missing_plan_;
  if (!plan_applied || !has_plan || !has_registry) return plan_applied;
  applied_changes_ = update.record_changes;
  if (!requested_at) return {};
  const Instant as_of = *requested_at - update.quorum_age;
  confirmed_as_of_ = std::max(confirmed_as_of_, as_of);
  const Instant lease_end =
      update.gates_changes
          ? std::min(as_of + lease_.lease, *requested_at + lease_.contact_lease)
          : as_of + UngatedLease(lease_);
  current_until_ = std::max(current_until_, lease_end);
  return {};
}

void EntryView::ApplyZones(Instant now, const std::set<ZoneId>& zones_out) {
  for (auto& [id, server] : servers_) {
    const ZoneId& zone = server->state.announcement.zone;
    if (zones_out.contains(zone) == IsZoneOut(zone)) continue;
    if (zones_out.contains(zone)) {
      EndSending(now, *server, lease_.zone_bound);
    } else if (server->version_use != VersionUse::kNone) {
      server->arrival_limit.reset();
    }
  }
  zones_out_ = zones_out;
}

// Applies what the record says of versions to the servers.
void EntryView::ApplyVersions(Instant now) {
  if (!versions_.IsActive()) return;
  std::vector<const ServerAnnouncement*> announcements;
  announcements.reserve(servers_.size());
  for (const auto& [id, server] : servers_) {
    announcements.push_back(&server->state.announcement);
  }
  versions_.SetServers(announcements);
  for (const auto& [id, server] : servers_) {
    const ServerAnnouncement& announcement = server->state.announcement;
    const VersionUse before = server->version_use;
    server->version_use = versions_.UseOf(announcement);
    if (server->version_use == before) continue;
    if (server->version_use == VersionUse::kNone) {
      EndSending(now, *server, lease_.departure_bound);
    } else if (before == VersionUse::kNone && !IsZoneOut(announcement.zone)) {
      server->arrival_limit.reset();
    }
  }
}

// The departure was not acknowledged before this host knew of it, unless the
// lease of the view before was so short that nobody waited for this host.
void EntryView::EndSending(Instant now, KnownServer& server,
                           Duration bound) const {
  const Instant limit = std::min(now + bound, current_until_) + TimeOnWay();
  server.arrival_limit = std::min(server.arrival_limit.value_or(limit), limit);
}

bool EntryView::HasTimeFor(Instant now, Duration way) const {
  const Duration needed = std::min(way, lease_.contact_lease / 2);
  return IsCurrent(now) && now + needed <= current_until_ + TimeOnWay();
}

Instant EntryView::ArrivalLimit(const KnownServer& server) const {
  return server.arrival_limit.value_or(current_until_ + TimeOnWay());
}

Result<void> EntryView::ApplyPlan(const PlanUpdate& server_update) {
  const PlanVersion held_version = plan_ ? plan_->version() : 0;
  if (server_update.version <= held_version) return {};
  const Result<std::string> text =
      Decompress(server_update.compressed_text, kMaxPlanBytes);
  if (!text) {
    return Fail(ErrorKind::kInvalidDeclaration, text.error().detail);
  }
  try {
    nlohmann::json document = nlohmann::json::parse(*text);
    if (server_update.base) {
      if (*server_update.base != held_version) {
        return Fail(
            ErrorKind::kInvalidDeclaration,
            fmt::format("received a patch to plan {} while holding plan {}",
                        *server_update.base, held_version));
      }
      document = plan_document_.patch(document);
    }
    auto plan = reader_(document.dump());
    if (!plan) return tl::unexpected(plan.error());
    plan_ = std::move(*plan);
    plan_document_ = std::move(document);
    return {};
  } catch (const nlohmann::json::exception& e) {
    return Fail(ErrorKind::kInvalidDeclaration, e.what());
  }
}

void EntryView::ApplyServers(Instant now, const FleetUpdate& update) {
  std::set<BackendId> listed;
  for (const ServerUpdate& server_update : update.servers) {
    const BackendId& id = server_update.announcement.id;
    if (server_update.retired) {
      const auto left = servers_.find(id);
      if (left == servers_.end()) continue;
      EndSending(now, *left->second, lease_.departure_bound);
      servers_.erase(left);
      continue;
    }
    listed.insert(id);
    KnownServerPtr& server = servers_[id];
    const bool is_new_incarnation =
        !server || server->state.announcement.incarnation !=
                       server_update.announcement.incarnation;
    if (is_new_incarnation) {
      if (server) EndSending(now, *server, lease_.departure_bound);
      server = std::make_shared<KnownServer>();
    }
    const bool has_recovered = server->state.health == ServerHealth::kDown &&
                               server_update.health == ServerHealth::kUp;
    if (has_recovered) server->avoid_until = Instant();
    server->state.announcement = server_update.announcement;
    server->state.health = server_update.health;
    server->state.cold_until = now + server_update.cold_for;
    if (!server->state.rate_limit && server_update.rate_limit) {
      server->limited_since = now;
    }
    server->state.rate_limit = server_update.rate_limit;
  }
  if (update.full_registry) {
    std::erase_if(servers_, [&](const auto& item) {
      if (listed.contains(item.first)) return false;
      EndSending(now, *item.second, lease_.departure_bound);
      return true;
    });
  }
  registry_id_ = update.registry_id;
  registry_changes_ = update.registry_changes;
  if (update.servers.empty() && !update.full_registry) return;
  servers_by_service_.clear();
  for (const auto& [id, server] : servers_) {
    servers_by_service_[server->state.announcement.service].push_back(server);
  }
}

const std::vector<KnownServerPtr>& EntryView::ServersOf(
    const ServiceId& service) const {
  static const std::vector<KnownServerPtr> none;
  const auto found = servers_by_service_.find(service);
  return found == servers_by_service_.end() ? none : found->second;
}

KnownServerPtr EntryView::Find(const BackendId& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : found->second;
}

bool EntryView::MayReceiveRequests(Instant now,
                                   const KnownServer& server) const {
  const ServerAnnouncement& announcement = server.state.announcement;
  const auto found = servers_.find(announcement.id);
  // A later incarnation is a different object.
  return found != servers_.end() && found->second.get() == &server &&
         !IsZoneOut(announcement.zone) &&
         server.version_use != VersionUse::kNone &&
         signals_.Permit(now, announcement.id, announcement.incarnation);
}

void EntryView::EndAvoidance() {
  for (auto& [id, server] : servers_) server->avoid_until = Instant();
}

double EntryView::RequestRate(const ServiceId& service) const {
  const auto found = request_rates_.find(service);
  return found == request_rates_.end() ? 0 : found->second;
}

std::vector<KnownServerPtr> EntryView::Servers() const {
  std::vector<KnownServerPtr> servers;
  servers.reserve(servers_.size());
  for (const auto& [id, server] : servers_) servers.push_back(server);
  return servers;
}

std::vector<ServerAnnouncement> EntryView::Announcements() const {
  std::vector<ServerAnnouncement> announcements;
  announcements.reserve(servers_.size());
  for (const auto& [id, server] : servers_) {
    announcements.push_back(server->state.announcement);
  }
  return announcements;
}

}  // namespace sapphirebank
