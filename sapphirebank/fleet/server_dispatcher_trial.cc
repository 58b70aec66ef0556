#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "sapphirebank/fleet/server_dispatcher.h"

// Choice of servers by their versions.
namespace sapphirebank {

void ServerDispatcher::SetVersions(VersionRecord record) {
  versions_.SetRecord(std::move(record));
  indexed_change_ = 0;
}

void ServerDispatcher::RefreshVersions(const ServerRegistry& registry) {
  if (!versions_.IsActive()) return;
  std::vector<const ServerAnnouncement*> in_use;
  in_use.reserve(registry.entries().size());
  for (const auto& [id, entry] : registry.entries()) {
    if (!entry.state.retired) in_use.push_back(&entry.state.announcement);
  }
  versions_.SetServers(in_use);
}

std::optional<DispatchChoice> ServerDispatcher::AssignTrial(
    Instant now, const AssignmentId& id, const DispatchQuery& query,
    const ServerRegistry& registry, const std::set<ZoneId>& zones_out,
    const TrafficPlan& plan) {
  const PlannedService* service = plan.FindService(query.service);
  if (service == nullptr) return std::nullopt;
  RefreshIndex(now, registry);
  const auto found = index_.find(query.service);
  if (found == index_.end()) return std::nullopt;
  Servers servers;
  const bool has_own =
      !found->second.own_trial.empty() && !zones_out.contains(zone_);
  for (const ServerState* server :
       has_own ? found->second.own_trial : found->second.other_trial) {
    if (!zones_out.contains(server->announcement.zone))
      servers.push_back(server);
  }
  const WorkEstimate work = EstimateWork(query);
  // Every request of a trial confirms that its server works.
  DispatchQuery probe = query;
  probe.repeatable = true;
  probe.is_retry = false;
  Candidates candidates;
  Classify(now, query, servers, candidates);
  if (has_own) {
    // Those that have been idle longest first, so that all are tried.
    const auto idle_time = [&](const ServerState* server) {
      return liveness_.StatusOf(now, server->announcement.id).idle_time;
    };
    std::stable_sort(candidates.cold.begin(), candidates.cold.end(),
                     [&](const ServerState* a, const ServerState* b) {
                       return idle_time(a) > idle_time(b);
                     });
    const ServerState* cold = ChooseCold(now, candidates.cold, query, *service);
    if (cold != nullptr) {
      return RecordChoice(now, id, query, work, {cold, PlacementRule::kWarmUp});
    }
  }
  // A version whose servers all fail or hang goes on being tried: what it does
  // decides about the rollout.
  for (const auto* group :
       {&candidates.healthy, &candidates.overdue, &candidates.unhealthy}) {
    const Candidate* best = BestByLiveness(probe, work, *group);
    if (best == nullptr) continue;
    return RecordChoice(now, id, query, work,
                        {best->server, PlacementRule::kFreeSlot});
  }
  return std::nullopt;
}

}  // namespace sapphirebank
