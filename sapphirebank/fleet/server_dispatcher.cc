#include "sapphirebank/fleet/server_dispatcher.h"

#include <algorithm>
#include <utility>

#include "sapphirebank/fleet/hub_assignment.h"

namespace sapphirebank {

namespace {

// Returns whether another attempt may follow a failed one.
bool MayProbe(const DispatchQuery& query) {
  return query.repeatable && !query.is_retry;
}

}  // namespace

ServerDispatcher::Candidates& ServerDispatcher::Candidates::operator+=(
    const Candidates& more) {
  healthy.insert(healthy.end(), more.healthy.begin(), more.healthy.end());
  overdue.insert(overdue.end(), more.overdue.begin(), more.overdue.end());
  unhealthy.insert(unhealthy.end(), more.unhealthy.begin(),
                   more.unhealthy.end());
  cold.insert(cold.end(), more.cold.begin(), more.cold.end());
  return *this;
}

// Rebuilds the index of servers in use after a change. A request then looks at
// the servers of one service and mostly of one zone, not at all of the fleet.
void ServerDispatcher::RefreshIndex(Instant now,
                                    const ServerRegistry& registry) {
  if (indexed_change_ == registry.urgent_changes()) return;
  indexed_change_ = registry.urgent_changes();
  index_.clear();
  for (const auto& [id, entry] : registry.entries()) {
    if (entry.state.retired) continue;
    const ServerAnnouncement& announcement = entry.state.announcement;
    ServiceServers& servers = index_[announcement.service];
    (IsOwn(announcement) ? servers.own : servers.others[announcement.zone])
        .push_back(&entry.state);
    liveness_.Track(now, id);
  }
}

bool ServerDispatcher::IsOwn(const ServerAnnouncement& server) const {
  return server.zone == zone_ &&
         (zone_hubs_.empty() ||
          AssignedHub(zone_hubs_, server.id.value()) == self_);
}

void ServerDispatcher::SetZoneHubs(std::vector<std::string> hubs,
                                   std::string self) {
  if (hubs == zone_hubs_) return;
  zone_hubs_ = std::move(hubs);
  self_ = std::move(self);
  indexed_change_ = 0;
}

void ServerDispatcher::Classify(Instant now, const DispatchQuery& query,
                                const Servers& servers,
                                Candidates& candidates) {
  for (const ServerState* server : servers) {
    const BackendId& id = server->announcement.id;
    if (query.excluded.contains(id) || HasReachedLimit(now, *server)) continue;
    const bool is_healthy =
        !suspected_until_.contains(id) &&
        (server->health == ServerHealth::kUp ||
         (server->health == ServerHealth::kProbation && MayProbe(query)));
    if (now < server->cold_until) {
      if (is_healthy) candidates.cold.push_back(server);
      continue;
    }
    const Candidate candidate = {server, liveness_.StatusOf(now, id)};
    (!is_healthy                   ? candidates.unhealthy
     : candidate.status.is_overdue ? candidates.overdue
                                   : candidates.healthy)
        .push_back(candidate);
  }
}

// Classifies the servers that only this hub sends requests to. For entry hosts
// of another zone that have lost their hub, these are all servers of that zone.
ServerDispatcher::Candidates ServerDispatcher::ClassifyOwn(
    Instant now, const DispatchQuery& query) {
  if (query.zone != zone_) return ClassifyRestOfZone(now, query);
  Candidates candidates;
  const auto service = index_.find(query.service);
  if (service == index_.end()) return candidates;
  Classify(now, query, service->second.own, candidates);
  return candidates;
}

// Classifies the servers of the query's zone that belong to other hubs.
ServerDispatcher::Candidates ServerDispatcher::ClassifyRestOfZone(
    Instant now, const DispatchQuery& query) {
  Candidates candidates;
  const auto service = index_.find(query.service);
  if (service == index_.end()) return candidates;
  const auto zone = service->second.others.find(query.zone);
  if (zone == service->second.others.end()) return candidates;
  Classify(now, query, zone->second, candidates);
  return candidates;
}

ServerDispatcher::Candidates ServerDispatcher::ClassifyOtherZones(
    Instant now, const DispatchQuery& query,
    const std::set<ZoneId>& zones_out) {
  Candidates candidates;
  const auto service = index_.find(query.service);
  if (service == index_.end()) return candidates;
  if (query.zone != zone_ && !zones_out.contains(zone_)) {
    Classify(now, query, service->second.own, candidates);
  }
  for (const auto& [zone, servers] : service->second.others) {
    if (zone == query.zone || zones_out.contains(zone)) continue;
    Classify(now, query, servers, candidates);
  }
  return candidates;
}

bool ServerDispatcher::IsFull(const Candidate& candidate) const {
  return candidate.status.in_flight >=
         candidate.server->announcement.slots + settings_.max_queued;
}

// Returns the best server that is not cold when none of the zone's healthy ones
// has a free slot, or null without any. Where every server is overdue, the
// cause is load, and the zone's own are as good as others.
const ServerDispatcher::Candidate* ServerDispatcher::ChooseWarm(
    const DispatchQuery& query, const Candidates& same_zone,
    const Candidates& other_zones) {
  const Candidate* best = LeastLoaded(same_zone.healthy);
  if (best != nullptr && !IsFull(*best)) return best;
  const Candidate* other = BestByLiveness(MayProbe(query), other_zones.healthy);
  if (other != nullptr) return other;
  const Candidate* overdue = LeastLoaded(same_zone.overdue);
  if (overdue != nullptr && !IsFull(*overdue)) return overdue;
  for (const auto* servers :
       {&other_zones.healthy, &same_zone.healthy, &same_zone.overdue,
        &other_zones.overdue, &same_zone.unhealthy, &other_zones.unhealthy}) {
    if (best = LeastLoaded(*servers); best != nullptr) return best;
  }
  return nullptr;
}

std::optional<DispatchChoice> ServerDispatcher::Assign(
    Instant now, const AssignmentId& id, const DispatchQuery& query,
    const ServerRegistry& registry, const std::set<ZoneId>& zones_out,
    const TrafficPlan& plan) {
  std::erase_if(suspected_until_,
                [&](const auto& item) { return item.second <= now; });
  const PlannedService* service = plan.FindService(query.service);
  if (service == nullptr) return std::nullopt;
  RefreshIndex(now, registry);
  const bool zone_is_out = zones_out.contains(query.zone);
  Candidates same_zone;
  if (!zone_is_out) same_zone = ClassifyOwn(now, query);
  const ServerState* chosen = ChooseCold(now, same_zone.cold, query, *service);
  if (chosen == nullptr) {
    const Candidate* best = BestByLiveness(MayProbe(query), same_zone.healthy);
    if (best != nullptr) chosen = best->server;
  }
  if (chosen == nullptr && !zone_is_out && query.zone == zone_) {
    same_zone += ClassifyRestOfZone(now, query);
    const Candidate* best = BestByLiveness(MayProbe(query), same_zone.healthy);
    if (best != nullptr) chosen = best->server;
  }
  if (chosen == nullptr) {
    const Candidates other_zones = ClassifyOtherZones(now, query, zones_out);
    const Candidate* best = ChooseWarm(query, same_zone, other_zones);
    if (best != nullptr) chosen = best->server;
  }
  if (chosen == nullptr) return std::nullopt;
  const BackendId server = chosen->announcement.id;
  if (chosen->rate_limit) {
    rate_limits_.TryTake(now, server, NamedLimit(*chosen));
  }
  // Requests that other hubs send to their servers are not counted here.
  const bool load_is_partial = !IsOwn(chosen->announcement);
  const int in_flight = liveness_.StatusOf(now, server).in_flight;
  const bool is_busy =
      static_cast<std::uint32_t>(in_flight) >= chosen->announcement.slots;
  const PendingAssignment pending = {
      now, now + OverdueAge(query, *chosen, in_flight)};
  assignments_[id] = {server,
                      pending,
                      now + query.time_left + settings_.end_report_slack,
                      {query.service, query.latency_objective}};
  liveness_.RecordAssignment(server, pending);
  return DispatchChoice{server, load_is_partial || is_busy};
}

DispatchForecast ServerDispatcher::Forecast(Instant now,
                                            const DispatchQuery& query,
                                            const ServerRegistry& registry,
                                            const std::set<ZoneId>& zones_out) {
  RefreshIndex(now, registry);
  DispatchForecast forecast;
  forecast.work = FromSeconds(ToSeconds(query.latency_objective) *
                              settings_.initial_overdue_fraction);
  forecast.shortest_wait = Duration::max();
  const auto service = index_.find(query.service);
  if (service == index_.end()) return forecast;
  if (!zones_out.contains(zone_)) {
    AddToForecast(now, query, service->second.own, forecast);
  }
  for (const auto& [zone, servers] : service->second.others) {
    if (zones_out.contains(zone)) continue;
    AddToForecast(now, query, servers, forecast);
  }
  return forecast;
}

void ServerDispatcher::AddToForecast(Instant now, const DispatchQuery& query,
                                     const Servers& servers,
                                     DispatchForecast& forecast) {
  for (const ServerState* server : servers) {
    const BackendId& id = server->announcement.id;
    if (server->health == ServerHealth::kDown || server->rate_limit ||
        now < server->cold_until || query.excluded.contains(id)) {
      continue;
    }
    const std::uint32_t slots = std::max(server->announcement.slots, 1U);
    const auto in_flight =
        static_cast<std::uint32_t>(liveness_.StatusOf(now, id).in_flight);
    forecast.slots += slots;
    forecast.busy += std::min(in_flight, slots);
    forecast.shortest_wait =
        std::min(forecast.shortest_wait, forecast.work * (in_flight / slots));
  }
}

// Returns the age from which a request to the server is overdue. Each full set
// of slots ahead of it takes as long again.
Duration ServerDispatcher::OverdueAge(const DispatchQuery& query,
                                      const ServerState& server,
                                      int in_flight) const {
  const auto known = durations_.find({query.service, query.latency_objective});
  const std::optional<Duration> learned =
      known == durations_.end() ? std::nullopt : known->second.OverdueAge();
  const Duration age = learned.value_or(FromSeconds(
      ToSeconds(query.latency_objective) * settings_.initial_overdue_fraction));
  const int slots = std::max(static_cast<int>(server.announcement.slots), 1);
  return age * (1 + in_flight / slots);
}

// Prefers cold servers while their warm-up rate allows it.
const ServerState* ServerDispatcher::ChooseCold(Instant now,
                                                const Servers& servers,
                                                const DispatchQuery& query,
                                                const PlannedService& service) {
  const bool are_own = query.zone == zone_ && !zone_hubs_.empty();
  const double fraction = are_own ? settings_.warm_up_rate_fraction
                                  : settings_.stand_in_rate_fraction;
  for (const ServerState* server : servers) {
    ServerRateLimit limit;
    limit.rate = fraction * service.warm_up_rate;
    limit.capacity = settings_.warm_up_burst;
    limit.initial_fill = 1;
    if (warm_ups_.TryTake(now, server->announcement.id, limit)) return server;
  }
  return nullptr;
}

ServerRateLimit ServerDispatcher::NamedLimit(const ServerState& server) const {
  ServerRateLimit limit;
  limit.rate =
      std::max(server.rate_limit.value_or(0), settings_.min_limited_rate);
  limit.capacity =
      std::max(1.0, limit.rate * settings_.rate_limit_burst_seconds);
  return limit;
}

// Returns whether a server that has named a rate limit gets no request from
// this hub now.
bool ServerDispatcher::HasReachedLimit(Instant now, const ServerState& server) {
  if (!server.rate_limit) return false;
  return !IsOwn(server.announcement) ||
         !rate_limits_.HasToken(now, server.announcement.id,
                                NamedLimit(server));
}

// Returns the server with the lowest cost, with ties broken at random; servers
// without a cost are skipped.
template <typename Cost>
const ServerDispatcher::Candidate* ServerDispatcher::LowestCost(
    const std::vector<Candidate>& servers, const Cost& cost_of) {
  const Candidate* best = nullptr;
  double best_cost = 0;
  std::uint64_t tied = 0;
  for (const Candidate& server : servers) {
    const std::optional<double> cost = cost_of(server);
    if (!cost) continue;
    if (best == nullptr || *cost < best_cost) {
      best = &server;
      best_cost = *cost;
      tied = 1;
    } else if (*cost == best_cost && random_.Below(++tied) == 0) {
      best = &server;
    }
  }
  return best;
}

// Returns the server with a free slot that suits the request best by liveness
// and load, or null when all are full.
const ServerDispatcher::Candidate* ServerDispatcher::BestByLiveness(
    bool may_probe, const std::vector<Candidate>& servers) {
  return LowestCost(
      servers, [&](const Candidate& server) -> std::optional<double> {
        const double load = server.load();
        if (load >= 1) return std::nullopt;
        const bool is_idle = server.status.idle_time >= settings_.max_idle_time;
        const Duration age = may_probe || is_idle
                                 ? -server.status.idle_time
                                 : server.status.confirmation_age;
        return ToSeconds(age) + load * ToSeconds(settings_.full_server_penalty);
      });
}

const ServerDispatcher::Candidate* ServerDispatcher::LeastLoaded(
    const std::vector<Candidate>& servers) {
  return LowestCost(servers, [&](const Candidate& server) {
    return std::optional(server.load());
  });
}

void ServerDispatcher::RecordHardFailure(Instant now, const BackendId& server) {
  suspected_until_[server] = now + settings_.suspicion_time;
  liveness_.RecordFailure(now, server);
}

void ServerDispatcher::EndAssignment(Instant now, const AssignmentId& id,
                                     AssignmentOutcome outcome) {
  const auto found = assignments_.find(id);
  if (found == assignments_.end()) return;
  const Assignment& assignment = found->second;
  liveness_.RecordEnd(now, assignment.server, assignment.pending, outcome);
  if (outcome == AssignmentOutcome::kServed) {
    durations_[assignment.request_class].Record(now -
                                                assignment.pending.assigned_at);
  }
  assignments_.erase(found);
}

void ServerDispatcher::EndAssignmentsOf(const HostId& host) {
  std::vector<AssignmentId> ended;
  for (auto next = assignments_.lower_bound({host, 0});
       next != assignments_.end() && next->first.first == host; ++next) {
    ended.push_back(next->first);
  }
  for (const AssignmentId& id : ended) DiscardAssignment(id);
}

// Removes an assignment whose outcome will not be known.
void ServerDispatcher::DiscardAssignment(const AssignmentId& id) {
  const auto found = assignments_.find(id);
  liveness_.Discard(found->second.server, found->second.pending);
  assignments_.erase(found);
}

void ServerDispatcher::Tick(Instant now) {
  std::vector<AssignmentId> expired;
  for (const auto& [id, assignment] : assignments_) {
    if (now >= assignment.expires_at) expired.push_back(id);
  }
  for (const AssignmentId& id : expired) DiscardAssignment(id);
  liveness_.Tick(now);
  warm_ups_.Tick(now);
  rate_limits_.Tick(now);
}

}  // namespace sapphirebank
