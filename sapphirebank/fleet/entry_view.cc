#include "sapphirebank/fleet/entry_view.h"

#include <fmt/format.h>

#include <algorithm>

namespace sapphirebank {

Result<void> EntryView::Apply(Instant now, std::optional<Instant> asked_at,
                              const FleetUpdate& update) {
  if (update.record < record_) {
    return Fail(ErrorKind::kNotLeader, "the hub is behind this host");
  }
  record_ = update.record;
  ApplyServers(now, update);
  if (update.general) {
    zones_out_ = update.zones_out;
    quarantined_ = {update.quarantined.begin(), update.quarantined.end()};
    request_rates_ = update.request_rates;
    entry_hosts_ = update.entry_hosts;
    hubs_ = update.hubs;
  }
  Result<void> read;
  if (update.plan) read = ApplyPlan(*update.plan);
  // The word counts only with the plan that it was given with.
  if (read && asked_at) {
    current_until_ =
        std::max(current_until_, *asked_at - update.age + key_permission_);
  }
  return read;
}

Result<void> EntryView::ApplyPlan(const PlanNews& news) {
  const PlanVersion held = plan_ ? plan_->version() : 0;
  if (news.version <= held) return {};
  try {
    nlohmann::json document = nlohmann::json::parse(news.text);
    if (news.base) {
      if (*news.base != held) {
        return Fail(ErrorKind::kInvalidDeclaration,
                    fmt::format("a patch to plan {} came, plan {} is held",
                                *news.base, held));
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
  for (const ServerNews& news : update.servers) {
    const BackendId& id = news.announcement.id;
    if (news.retired) {
      servers_.erase(id);
      continue;
    }
    listed.insert(id);
    KnownServerPtr& server = servers_[id];
    const bool is_new_life =
        !server ||
        server->state.announcement.incarnation != news.announcement.incarnation;
    if (is_new_life) server = std::make_shared<KnownServer>();
    const bool is_back = server->state.standing == Standing::kDown &&
                         news.standing == Standing::kUp;
    if (is_back) server->avoid_until = Instant();
    server->state.announcement = news.announcement;
    server->state.standing = news.standing;
    server->state.cold_until = now + news.cold_for;
  }
  if (update.whole_board) {
    std::erase_if(servers_, [&](const auto& item) {
      return !listed.contains(item.first);
    });
  }
  board_id_ = update.board_id;
  board_ = update.board;
  if (update.servers.empty() && !update.whole_board) return;
  by_service_.clear();
  for (const auto& [id, server] : servers_) {
    by_service_[server->state.announcement.service].push_back(server);
  }
}

const std::vector<KnownServerPtr>& EntryView::ServersOf(
    const ServiceId& service) const {
  static const std::vector<KnownServerPtr> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

KnownServerPtr EntryView::Find(const BackendId& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : found->second;
}

double EntryView::RequestRate(const ServiceId& service) const {
  const auto found = request_rates_.find(service);
  return found == request_rates_.end() ? 0 : found->second;
}

std::vector<ServerAnnouncement> EntryView::Known() const {
  std::vector<ServerAnnouncement> known;
  known.reserve(servers_.size());
  for (const auto& [id, server] : servers_) {
    known.push_back(server->state.announcement);
  }
  return known;
}

}  // namespace sapphirebank
