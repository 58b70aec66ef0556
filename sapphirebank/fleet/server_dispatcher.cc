#include "sapphirebank/fleet/server_dispatcher.h"

#include <algorithm>

namespace sapphirebank {

namespace {

// Returns whether another attempt may follow a failed one.
bool MayProbe(const DispatchQuery& query) {
  return query.repeatable && !query.is_retry;
}

}  // namespace

ServerDispatcher::Candidates ServerDispatcher::ClassifyServers(
    Instant now, const DispatchQuery& query, const ServerRegistry& registry,
    const std::set<ZoneId>& zones_out) const {
  Candidates candidates;
  for (const auto& [id, entry] : registry.entries()) {
    const ServerState& server = entry.state;
    const ServerAnnouncement& announcement = server.announcement;
    if (server.retired || announcement.service != query.service ||
        zones_out.contains(announcement.zone) || query.excluded.contains(id)) {
      continue;
    }
    const bool is_same_zone = announcement.zone == query.zone;
    const bool is_healthy =
        !suspected_until_.contains(id) &&
        (server.health == ServerHealth::kUp ||
         (server.health == ServerHealth::kProbation && MayProbe(query)));
    if (now < server.cold_until) {
      if (is_same_zone && is_healthy) candidates.cold.push_back(&server);
    } else if (!is_healthy) {
      candidates.unhealthy.push_back(&server);
    } else {
      (is_same_zone ? candidates.same_zone : candidates.other_zones)
          .push_back(&server);
    }
  }
  return candidates;
}

std::optional<DispatchChoice> ServerDispatcher::Assign(
    Instant now, const AssignmentId& id, const DispatchQuery& query,
    const ServerRegistry& registry, const std::set<ZoneId>& zones_out,
    const TrafficPlan& plan) {
  std::erase_if(suspected_until_,
                [&](const auto& item) { return item.second <= now; });
  const PlannedService* service = plan.FindService(query.service);
  if (service == nullptr) return std::nullopt;
  const Candidates candidates =
      ClassifyServers(now, query, registry, zones_out);
  const ServerState* chosen = ChooseCold(now, candidates, query, *service);
  if (chosen == nullptr) {
    chosen = BestByLiveness(now, MayProbe(query), candidates.same_zone);
  }
  if (chosen == nullptr) chosen = LeastLoaded(candidates.same_zone);
  const bool is_full =
      chosen == nullptr ||
      InFlight(*chosen) >= chosen->announcement.slots + settings_.max_queued;
  if (is_full && !candidates.other_zones.empty()) {
    chosen = LeastLoaded(candidates.other_zones);
  }
  if (chosen == nullptr) chosen = LeastLoaded(candidates.unhealthy);
  if (chosen == nullptr) return std::nullopt;
  const BackendId server = chosen->announcement.id;
  // Requests sent by other hubs to servers of their zone are not counted here.
  const bool load_is_partial =
      chosen->announcement.zone != zone_ || query.zone != zone_;
  const bool is_busy = InFlight(*chosen) >= chosen->announcement.slots;
  assignments_[id] = {server, now, now + settings_.assignment_timeout};
  liveness_.RecordAssignment(now, server);
  ++in_flight_[server];
  return DispatchChoice{server, load_is_partial || is_busy};
}

// Prefers cold servers while their warm-up rate allows it.
const ServerState* ServerDispatcher::ChooseCold(Instant now,
                                                const Candidates& candidates,
                                                const DispatchQuery& query,
                                                const PlannedService& service) {
  const double hub_fraction = std::min(
      settings_.warm_up_rate_fraction,
      settings_.multi_hub_rate_fraction /
          static_cast<double>(std::max<std::size_t>(zone_hub_count_, 1)));
  const double fraction =
      query.zone == zone_ ? hub_fraction : settings_.stand_in_rate_fraction;
  for (const ServerState* server : candidates.cold) {
    const double rate = fraction * service.warm_up_rate;
    auto [found, is_new] = warm_ups_.try_emplace(server->announcement.id);
    WarmUp& warm_up = found->second;
    if (is_new) warm_up = {1, now};
    warm_up.tokens =
        std::min(settings_.warm_up_burst,
                 warm_up.tokens + rate * ToSeconds(now - warm_up.filled_at));
    warm_up.filled_at = now;
    if (warm_up.tokens < 1) continue;
    warm_up.tokens -= 1;
    return server;
  }
  return nullptr;
}

double ServerDispatcher::InFlight(const ServerState& server) const {
  const auto found = in_flight_.find(server.announcement.id);
  return found == in_flight_.end() ? 0 : found->second;
}

double ServerDispatcher::LoadOf(const ServerState& server) const {
  return InFlight(server) /
         std::max<std::uint32_t>(server.announcement.slots, 1);
}

// Returns the server with the lowest cost, with ties broken at random; servers
// without a cost are skipped.
template <typename Cost>
const ServerState* ServerDispatcher::LowestCost(
    const std::vector<const ServerState*>& servers, const Cost& cost_of) {
  const ServerState* best = nullptr;
  double best_cost = 0;
  std::uint64_t tied = 0;
  for (const ServerState* server : servers) {
    const std::optional<double> cost = cost_of(*server);
    if (!cost) continue;
    if (best == nullptr || *cost < best_cost) {
      best = server;
      best_cost = *cost;
      tied = 1;
    } else if (*cost == best_cost && random_.Below(++tied) == 0) {
      best = server;
    }
  }
  return best;
}

// Returns the server with a free slot that suits the request best by liveness
// and load, or null when all are full.
const ServerState* ServerDispatcher::BestByLiveness(
    Instant now, bool may_probe,
    const std::vector<const ServerState*>& servers) {
  return LowestCost(
      servers, [&](const ServerState& server) -> std::optional<double> {
        const double load = LoadOf(server);
        if (load >= 1) return std::nullopt;
        const BackendId& id = server.announcement.id;
        const Duration age = may_probe ? -liveness_.IdleTime(now, id)
                                       : liveness_.ConfirmationAge(now, id);
        return ToSeconds(age) + load * ToSeconds(settings_.full_server_penalty);
      });
}

const ServerState* ServerDispatcher::LeastLoaded(
    const std::vector<const ServerState*>& servers) {
  return LowestCost(servers, [&](const ServerState& server) {
    return std::optional(LoadOf(server));
  });
}

void ServerDispatcher::RecordHardFailure(Instant now, const BackendId& server) {
  suspected_until_[server] = now + settings_.suspicion_time;
  liveness_.RecordFailure(server);
}

void ServerDispatcher::EndAssignment(const AssignmentId& id,
                                     AssignmentOutcome outcome) {
  const auto found = assignments_.find(id);
  if (found == assignments_.end()) return;
  const Assignment& assignment = found->second;
  if (outcome == AssignmentOutcome::kServed) {
    liveness_.RecordSuccess(assignment.assigned_at, assignment.server);
  } else if (outcome == AssignmentOutcome::kFailed) {
    liveness_.RecordFailure(assignment.server);
  }
  const auto count = in_flight_.find(found->second.server);
  if (--count->second == 0) in_flight_.erase(count);
  assignments_.erase(found);
}

void ServerDispatcher::EndAssignmentsOf(const HostId& host) {
  std::vector<AssignmentId> ended;
  for (auto next = assignments_.lower_bound({host, 0});
       next != assignments_.end() && next->first.first == host; ++next) {
    ended.push_back(next->first);
  }
  for (const AssignmentId& id : ended)
    EndAssignment(id, AssignmentOutcome::kInconclusive);
}

void ServerDispatcher::Tick(Instant now) {
  std::vector<AssignmentId> expired;
  for (const auto& [id, assignment] : assignments_) {
    if (now >= assignment.expires_at) expired.push_back(id);
  }
  for (const AssignmentId& id : expired)
    EndAssignment(id, AssignmentOutcome::kInconclusive);
  liveness_.Tick(now);
  constexpr Duration kWarmUpRetention = std::chrono::seconds(30);
  std::erase_if(warm_ups_, [&](const auto& item) {
    return now - item.second.filled_at > kWarmUpRetention;
  });
}

}  // namespace sapphirebank
