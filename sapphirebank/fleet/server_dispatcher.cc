#include "sapphirebank/fleet/server_dispatcher.h"

#include <algorithm>

namespace sapphirebank {

namespace {

// Returns whether a failure of the next server does no harm: another one can
// be tried after it.
bool MayProbe(const DispatchQuery& query) {
  return query.repeatable && !query.is_retry;
}

}  // namespace

ServerDispatcher::Candidates ServerDispatcher::Sort(
    Instant now, const DispatchQuery& query, const ServerBoard& board,
    const std::set<ZoneId>& zones_out) const {
  Candidates candidates;
  for (const auto& [id, entry] : board.entries()) {
    const ServerState& server = entry.state;
    const ServerAnnouncement& told = server.announcement;
    if (server.retired || told.service != query.service ||
        zones_out.contains(told.zone) || query.excluded.contains(id)) {
      continue;
    }
    const bool is_near = told.zone == query.zone;
    const bool is_sound =
        !suspected_until_.contains(id) &&
        (server.standing == Standing::kUp ||
         (server.standing == Standing::kProbation && MayProbe(query)));
    if (now < server.cold_until) {
      if (is_near && is_sound) candidates.cold.push_back(&server);
    } else if (!is_sound) {
      candidates.poor.push_back(&server);
    } else {
      (is_near ? candidates.near : candidates.far).push_back(&server);
    }
  }
  return candidates;
}

std::optional<DispatchChoice> ServerDispatcher::Assign(
    Instant now, const AssignmentId& id, const DispatchQuery& query,
    const ServerBoard& board, const std::set<ZoneId>& zones_out,
    const TrafficPlan& plan) {
  std::erase_if(suspected_until_,
                [&](const auto& item) { return item.second <= now; });
  const PlannedService* service = plan.FindService(query.service);
  if (service == nullptr) return std::nullopt;
  const Candidates candidates = Sort(now, query, board, zones_out);
  const ServerState* chosen = ChooseCold(now, candidates, query, *service);
  if (chosen == nullptr) {
    chosen = BestProven(now, MayProbe(query), candidates.near);
  }
  if (chosen == nullptr) chosen = LeastLoaded(candidates.near);
  const bool is_full =
      chosen == nullptr ||
      InWork(*chosen) >= chosen->announcement.slots + settings_.most_waiting;
  if (is_full && !candidates.far.empty()) {
    chosen = LeastLoaded(candidates.far);
  }
  if (chosen == nullptr) chosen = LeastLoaded(candidates.poor);
  if (chosen == nullptr) return std::nullopt;
  const BackendId server = chosen->announcement.id;
  // What other hubs send to a server of their zone is not known here.
  const bool is_far = chosen->announcement.zone != zone_ || query.zone != zone_;
  const bool is_busy = InWork(*chosen) >= chosen->announcement.slots;
  assignments_[id] = {server, now, now + settings_.assignment_life};
  proofs_.Assigned(now, server);
  ++in_work_[server];
  return DispatchChoice{server, is_far || is_busy};
}

// Fills cold servers first, but each only at the rate that it bears.
const ServerState* ServerDispatcher::ChooseCold(Instant now,
                                                const Candidates& candidates,
                                                const DispatchQuery& query,
                                                const PlannedService& service) {
  const double own_part = std::min(
      settings_.part_of_warm_up_rate,
      settings_.part_of_several_hubs /
          static_cast<double>(std::max<std::size_t>(hubs_of_zone_, 1)));
  const double part =
      query.zone == zone_ ? own_part : settings_.part_as_stand_in;
  for (const ServerState* server : candidates.cold) {
    const double rate = part * service.warm_up_rate;
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

double ServerDispatcher::InWork(const ServerState& server) const {
  const auto found = in_work_.find(server.announcement.id);
  return found == in_work_.end() ? 0 : found->second;
}

double ServerDispatcher::LoadOf(const ServerState& server) const {
  return InWork(server) / std::max<std::uint32_t>(server.announcement.slots, 1);
}

// Returns the server with the lowest cost, one at random among equals; those
// without a cost are left out.
template <typename Cost>
const ServerState* ServerDispatcher::Cheapest(
    const std::vector<const ServerState*>& among, const Cost& cost_of) {
  const ServerState* best = nullptr;
  double best_cost = 0;
  std::uint64_t equals = 0;
  for (const ServerState* server : among) {
    const std::optional<double> cost = cost_of(*server);
    if (!cost) continue;
    if (best == nullptr || *cost < best_cost) {
      best = server;
      best_cost = *cost;
      equals = 1;
    } else if (*cost == best_cost && random_.Below(++equals) == 0) {
      best = server;
    }
  }
  return best;
}

// Returns the server with a free slot that suits the request best by what was
// proven, or null when all are full.
const ServerState* ServerDispatcher::BestProven(
    Instant now, bool may_probe, const std::vector<const ServerState*>& among) {
  return Cheapest(
      among, [&](const ServerState& server) -> std::optional<double> {
        const double load = LoadOf(server);
        if (load >= 1) return std::nullopt;
        const BackendId& id = server.announcement.id;
        const Duration age =
            may_probe ? -proofs_.IdleTime(now, id) : proofs_.AgeOf(now, id);
        return ToSeconds(age) + load * ToSeconds(settings_.full_server);
      });
}

const ServerState* ServerDispatcher::LeastLoaded(
    const std::vector<const ServerState*>& among) {
  return Cheapest(among, [&](const ServerState& server) {
    return std::optional(LoadOf(server));
  });
}

void ServerDispatcher::Suspect(Instant now, const BackendId& server) {
  suspected_until_[server] = now + settings_.suspicion;
  proofs_.Failed(server);
}

void ServerDispatcher::End(const AssignmentId& id, AssignmentEnd end) {
  const auto found = assignments_.find(id);
  if (found == assignments_.end()) return;
  const Assignment& assignment = found->second;
  if (end == AssignmentEnd::kServed) {
    proofs_.Served(assignment.since, assignment.server);
  } else if (end == AssignmentEnd::kFailed) {
    proofs_.Failed(assignment.server);
  }
  const auto count = in_work_.find(found->second.server);
  if (--count->second == 0) in_work_.erase(count);
  assignments_.erase(found);
}

void ServerDispatcher::EndAll(const HostId& host) {
  std::vector<AssignmentId> ended;
  for (auto next = assignments_.lower_bound({host, 0});
       next != assignments_.end() && next->first.first == host; ++next) {
    ended.push_back(next->first);
  }
  for (const AssignmentId& id : ended) End(id, AssignmentEnd::kUnjudged);
}

void ServerDispatcher::Tick(Instant now) {
  std::vector<AssignmentId> over;
  for (const auto& [id, assignment] : assignments_) {
    if (now >= assignment.until) over.push_back(id);
  }
  for (const AssignmentId& id : over) End(id, AssignmentEnd::kUnjudged);
  proofs_.Tick(now);
  constexpr Duration kForgetWarmUp = std::chrono::seconds(30);
  std::erase_if(warm_ups_, [&](const auto& item) {
    return now - item.second.filled_at > kForgetWarmUp;
  });
}

}  // namespace sapphirebank
