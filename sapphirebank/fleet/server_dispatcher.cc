#include "sapphirebank/fleet/server_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sapphirebank/fleet/hub_assignment.h"

namespace sapphirebank {

namespace {

// Returns whether another attempt may follow a failed one.
bool MayProbe(const DispatchQuery& query) {
  return query.repeatable && !query.is_retry;
}

// Hosts of earlier builds name no route. Routes of one latency objective then
// count as one.
std::string RouteOf(const DispatchQuery& query) {
  return query.route.empty() ? std::to_string(query.latency_objective.count())
                             : query.route;
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
  RefreshVersions(registry);
  for (const auto& [id, entry] : registry.entries()) {
    if (entry.state.retired) continue;
    const ServerAnnouncement& announcement = entry.state.announcement;
    const VersionUse use = versions_.UseOf(announcement);
    if (use == VersionUse::kNone) continue;
    ServiceServers& servers = index_[announcement.service];
    if (use == VersionUse::kByShare) {
      (IsOwn(announcement) ? servers.own_trial : servers.other_trial)
          .push_back(&entry.state);
      liveness_.Track(now, id);
      continue;
    }
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
    const Candidate candidate = {server, liveness_.StatusOf(now, id),
                                 WorkStatus(now, *server)};
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

// Returns the server's work, or that of an idle one if it is not asked for.
ServerWorkTracker::Status ServerDispatcher::WorkStatus(
    Instant now, const ServerState& server) const {
  if (!settings_.place_by_work) return {};
  return work_tracker_.StatusOf(now, server.announcement.id,
                                server.announcement.slots);
}

// Returns what crossing zones costs the request, in seconds.
double ServerDispatcher::CrossingSeconds(const DispatchQuery& query) const {
  return ToSeconds(settings_.cross_zone_delay) +
         static_cast<double>(query.body_bytes) / settings_.cross_zone_rate;
}

// Returns how much later a request would end at a server than at an idle one of
// usual speed.
double ServerDispatcher::DelaySeconds(const DispatchQuery& query,
                                      const WorkEstimate& work,
                                      const Candidate& candidate) const {
  const double rejection_cost =
      settings_.rejection_cost_fraction * ToSeconds(query.latency_objective);
  return candidate.work.CompletionSeconds(work) - work.mean_seconds +
         candidate.work.rejected * rejection_cost;
}

// Returns the longest delay that is accepted for the sake of a server's other
// merits.
double ServerDispatcher::MaxDelaySeconds(const DispatchQuery& query) const {
  return settings_.max_delay_fraction * ToSeconds(query.latency_objective);
}

// Returns whether a request may queue at a server of its zone before another
// zone is used.
bool ServerDispatcher::HasRoom(const DispatchQuery& query,
                               const WorkEstimate& work,
                               const Candidate& candidate) const {
  const bool is_short =
      candidate.status.in_flight <
      candidate.server->announcement.slots + settings_.max_queued;
  if (!settings_.place_by_work) return is_short;
  const double delay = DelaySeconds(query, work, candidate);
  return delay <= CrossingSeconds(query) ||
         (is_short && delay <= MaxDelaySeconds(query));
}

// Returns the server where a request ends first when none has room. Zones other
// than its own cost the crossing more.
const ServerDispatcher::Candidate* ServerDispatcher::LeastDelay(
    const DispatchQuery& query, const WorkEstimate& work,
    const std::vector<Candidate>& same_zone,
    const std::vector<Candidate>& other_zones) {
  const Candidate* near = LeastDelayed(query, work, same_zone);
  const Candidate* far = LeastDelayed(query, work, other_zones);
  if (near == nullptr || far == nullptr) return near != nullptr ? near : far;
  return DelaySeconds(query, work, *near) <=
                 DelaySeconds(query, work, *far) + CrossingSeconds(query)
             ? near
             : far;
}

// Returns the best server that is not cold when none of the zone's healthy ones
// has a free slot, or null without any. Where every server is overdue, the
// cause is load, and the zone's own are as good as others.
ServerDispatcher::Choice ServerDispatcher::ChooseWarm(
    const DispatchQuery& query, const WorkEstimate& work,
    const Candidates& same_zone, const Candidates& other_zones) {
  const Candidate* best = LeastDelayed(query, work, same_zone.healthy);
  if (best != nullptr && HasRoom(query, work, *best)) {
    return {best->server, PlacementRule::kZoneQueue};
  }
  const Candidate* other = BestByLiveness(query, work, other_zones.healthy);
  if (other != nullptr) return {other->server, PlacementRule::kOtherZone};
  const Candidate* overdue = LeastDelayed(query, work, same_zone.overdue);
  if (overdue != nullptr && HasRoom(query, work, *overdue)) {
    return {overdue->server, PlacementRule::kOverdue};
  }
  if (!settings_.place_by_work) {
    best = LeastDelayed(query, work, other_zones.healthy);
    if (best != nullptr) return {best->server, PlacementRule::kLeastDelay};
  }
  for (const auto servers :
       {&Candidates::healthy, &Candidates::overdue, &Candidates::unhealthy}) {
    best = LeastDelay(query, work, same_zone.*servers, other_zones.*servers);
    if (best != nullptr) return {best->server, PlacementRule::kLeastDelay};
  }
  return {};
}

// Returns the server for a request and the rule that chose it, or null.
ServerDispatcher::Choice ServerDispatcher::Choose(
    Instant now, const DispatchQuery& query, const WorkEstimate& work,
    const std::set<ZoneId>& zones_out, const PlannedService& service) {
  const bool zone_is_out = zones_out.contains(query.zone);
  Candidates same_zone;
  if (!zone_is_out) same_zone = ClassifyOwn(now, query);
  const ServerState* cold = ChooseCold(now, same_zone.cold, query, service);
  if (cold != nullptr) return {cold, PlacementRule::kWarmUp};
  const Candidate* best = BestByLiveness(query, work, same_zone.healthy);
  if (best != nullptr) return {best->server, PlacementRule::kFreeSlot};
  if (!zone_is_out && query.zone == zone_) {
    same_zone += ClassifyRestOfZone(now, query);
    best = BestByLiveness(query, work, same_zone.healthy);
    if (best != nullptr) return {best->server, PlacementRule::kZoneFreeSlot};
  }
  const Candidates other_zones = ClassifyOtherZones(now, query, zones_out);
  return ChooseWarm(query, work, same_zone, other_zones);
}

WorkEstimate ServerDispatcher::EstimateWork(const DispatchQuery& query) const {
  const std::string route = RouteOf(query);
  return work_estimator_.Estimate({query.service, route, query.body_bytes},
                                  query.latency_objective);
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
  const WorkEstimate work = EstimateWork(query);
  const Choice choice = Choose(now, query, work, zones_out, *service);
  if (choice.server == nullptr) return std::nullopt;
  return RecordChoice(now, id, query, work, choice);
}

DispatchChoice ServerDispatcher::RecordChoice(Instant now,
                                              const AssignmentId& id,
                                              const DispatchQuery& query,
                                              const WorkEstimate& work,
                                              const Choice& choice) {
  const ServerAnnouncement& announcement = choice.server->announcement;
  const BackendId server = announcement.id;
  if (choice.server->rate_limit) {
    rate_limits_.TryTake(now, server, NamedLimit(*choice.server));
  }
  const Candidate chosen = {choice.server, liveness_.StatusOf(now, server),
                            WorkStatus(now, *choice.server)};
  ++placement_counts_[static_cast<std::size_t>(choice.rule)];
  if (placement_observer_) {
    placement_observer_(query, {server, choice.rule, work, chosen.work,
                                chosen.status.in_flight});
  }
  // Requests that other hubs send to their servers are not counted here.
  const bool load_is_partial = !IsOwn(announcement);
  const bool is_busy =
      static_cast<std::uint32_t>(chosen.status.in_flight) >= announcement.slots;
  const bool may_be_late =
      settings_.place_by_work && work.confidence >= 0.5 &&
      work.mean_seconds >
          settings_.late_work_fraction * ToSeconds(query.latency_objective);
  const PendingAssignment pending = {now, now + OverdueAge(work, chosen)};
  assignments_[id] = {
      server,
      pending,
      now + query.time_left + settings_.end_report_slack,
      query.service,
      RouteOf(query),
      query.body_bytes,
      work_tracker_.RecordAssignment(now, server, announcement.slots, work)};
  liveness_.RecordAssignment(server, pending);
  return DispatchChoice{server, load_is_partial || is_busy || may_be_late};
}

// Returns the age from which a request to the server is overdue. The wait for a
// slot is as uncertain as the work.
Duration ServerDispatcher::OverdueAge(const WorkEstimate& work,
                                      const Candidate& candidate) const {
  const Duration age = work.UpperBound();
  if (settings_.place_by_work) {
    const double factor =
        work.mean_seconds > 0 ? ToSeconds(age) / work.mean_seconds : 1;
    return age + FromSeconds(candidate.work.wait_seconds * factor);
  }
  const int slots =
      std::max(static_cast<int>(candidate.server->announcement.slots), 1);
  return age * (1 + candidate.status.in_flight / slots);
}

DispatchForecast ServerDispatcher::Forecast(Instant now,
                                            const DispatchQuery& query,
                                            const ServerRegistry& registry,
                                            const std::set<ZoneId>& zones_out) {
  RefreshIndex(now, registry);
  const WorkEstimate work = EstimateWork(query);
  DispatchForecast forecast;
  forecast.shortest_wait = Duration::max();
  forecast.work = FromSeconds(work.mean_seconds);
  forecast.work_deviation = FromSeconds(work.deviation_seconds);
  const auto service = index_.find(query.service);
  if (service == index_.end()) return forecast;
  if (!zones_out.contains(zone_)) {
    AddToForecast(now, query, work, service->second.own, forecast);
  }
  for (const auto& [zone, servers] : service->second.others) {
    if (zones_out.contains(zone)) continue;
    AddToForecast(now, query, work, servers, forecast);
  }
  return forecast;
}

void ServerDispatcher::AddToForecast(Instant now, const DispatchQuery& query,
                                     const WorkEstimate& work,
                                     const Servers& servers,
                                     DispatchForecast& forecast) const {
  for (const ServerState* server : servers) {
    const BackendId& id = server->announcement.id;
    if (server->health == ServerHealth::kDown || server->rate_limit ||
        now < server->cold_until || query.excluded.contains(id) ||
        suspected_until_.contains(id)) {
      continue;
    }
    const std::uint32_t slots = std::max(server->announcement.slots, 1U);
    const ServerWorkTracker::Status status =
        work_tracker_.StatusOf(now, id, slots);
    const auto used_slots =
        static_cast<std::uint32_t>(std::lround(slots * (1 - status.rejected)));
    const auto in_flight =
        static_cast<std::uint32_t>(liveness_.StatusOf(now, id).in_flight);
    forecast.slots += used_slots;
    forecast.busy += std::min(in_flight, used_slots);
    const bool is_first = forecast.shortest_wait == Duration::max();
    const double completion = status.CompletionSeconds(work);
    if (!is_first &&
        completion >= ToSeconds(forecast.shortest_wait + forecast.work)) {
      continue;
    }
    forecast.shortest_wait = FromSeconds(status.wait_seconds);
    forecast.work = FromSeconds(status.slowness * work.mean_seconds);
    forecast.work_deviation =
        FromSeconds(status.slowness * work.deviation_seconds);
  }
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

// Returns whether a server must get the request so that it does not idle for
// too long. A slow one gets only what is likely to end in time.
bool ServerDispatcher::MustGetNext(const DispatchQuery& query,
                                   const WorkEstimate& work,
                                   const Candidate& candidate) const {
  if (candidate.status.idle_time < settings_.max_idle_time) return false;
  return !settings_.place_by_work ||
         candidate.work.slowness < settings_.server_work.corrected_slowness ||
         candidate.work.CompletionSeconds(work) <=
             ToSeconds(query.latency_objective);
}

// Returns the server with a free slot that suits the request best by liveness,
// load and the time for which it will take there, or null when all are full or
// would delay it for long.
const ServerDispatcher::Candidate* ServerDispatcher::BestByLiveness(
    const DispatchQuery& query, const WorkEstimate& work,
    const std::vector<Candidate>& servers) {
  const bool may_probe = MayProbe(query);
  return LowestCost(
      servers, [&](const Candidate& server) -> std::optional<double> {
        const double load = server.load();
        if (load >= 1) return std::nullopt;
        const bool is_idle = MustGetNext(query, work, server);
        const Duration age = may_probe || is_idle
                                 ? -server.status.idle_time
                                 : server.status.confirmation_age;
        const double cost =
            ToSeconds(age) + load * ToSeconds(settings_.full_server_penalty);
        if (!settings_.place_by_work || is_idle) return cost;
        const double delay = DelaySeconds(query, work, server);
        if (delay > MaxDelaySeconds(query)) return std::nullopt;
        return cost + delay;
      });
}

// Returns the server that delays the request least; among those that are equal
// to the caller, the one with the fewest requests.
const ServerDispatcher::Candidate* ServerDispatcher::LeastDelayed(
    const DispatchQuery& query, const WorkEstimate& work,
    const std::vector<Candidate>& servers) {
  if (!settings_.place_by_work) {
    return LowestCost(servers, [](const Candidate& server) {
      return std::optional(server.load());
    });
  }
  // Queues at a server are far shorter than this many requests for each slot.
  constexpr double kMaxLoad = 1000;
  const double step = std::max(
      settings_.equal_delay_fraction * ToSeconds(query.latency_objective),
      1e-3);
  return LowestCost(servers, [&](const Candidate& server) {
    return std::optional(std::floor(DelaySeconds(query, work, server) / step) +
                         server.load() / kMaxLoad);
  });
}

std::map<ServiceId, ServiceWork> ServerDispatcher::Work(Instant now) const {
  std::map<ServiceId, ServiceWork> work;
  for (const auto& [service, servers] : index_) {
    ServiceWork& sum = work[service];
    sum.mean = work_estimator_.MeanOf(service).value_or(Duration::zero());
    for (const ServerState* server : servers.own) {
      const ServerWorkTracker::Status status = work_tracker_.StatusOf(
          now, server->announcement.id, server->announcement.slots);
      sum.left_seconds += status.left_seconds;
      if (status.slowness >= settings_.server_work.corrected_slowness) {
        ++sum.slow_servers;
      }
    }
  }
  return work;
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
  const std::optional<Duration> work = work_tracker_.RecordEnd(
      now, assignment.server, assignment.work_number, outcome);
  if (work) {
    work_estimator_.Record(
        {assignment.service, assignment.route, assignment.body_bytes}, *work);
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
  work_tracker_.Discard(found->second.server, found->second.work_number);
  assignments_.erase(found);
}

void ServerDispatcher::Tick(Instant now) {
  std::vector<AssignmentId> expired;
  for (const auto& [id, assignment] : assignments_) {
    if (now >= assignment.expires_at) expired.push_back(id);
  }
  for (const AssignmentId& id : expired) DiscardAssignment(id);
  liveness_.Tick(now);
  work_tracker_.Tick(now);
  warm_ups_.Tick(now);
  rate_limits_.Tick(now);
}

}  // namespace sapphirebank
