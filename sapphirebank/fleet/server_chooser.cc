#include "sapphirebank/fleet/server_chooser.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {
namespace {

bool WasTried(const ServerQuery& query, const KnownServerPtr& server) {
  return std::find(query.tried.begin(), query.tried.end(), server) !=
         query.tried.end();
}

// Returns whether the server may be used at all and was not tried yet.
bool IsEligible(Instant now, const EntryView& view, const ServerQuery& query,
                const KnownServerPtr& server) {
  return server->version_use == VersionUse::kOpen &&
         view.MayReceiveRequests(now, *server) && !WasTried(query, server);
}

// Returns whether the server is expected to succeed. Servers on probation only
// get first attempts of repeatable requests.
bool IsHealthy(Instant now, const ServerQuery& query,
               const KnownServerPtr& server) {
  if (now < server->avoid_until) return false;
  switch (server->state.health) {
    case ServerHealth::kUp:
      return true;
    case ServerHealth::kProbation:
      return query.repeatable && !query.is_retry;
    case ServerHealth::kDown:
      return false;
  }
  return false;
}

// Returns whether the server accepts a limited rate of requests: it is cold or
// has named a limit.
bool IsRateLimited(Instant now, const KnownServer& server) {
  return now < server.state.cold_until || server.state.rate_limit.has_value();
}

// Returns the rate that a server with a limited rate accepts.
double AcceptedRate(Instant now, const KnownServer& server,
                    const PlannedService& service) {
  const double named = server.state.rate_limit.value_or(service.warm_up_rate);
  return now < server.state.cold_until ? std::min(named, service.warm_up_rate)
                                       : named;
}

}  // namespace

KnownServerPtr ServerChooser::Choose(Instant now, const EntryView& view,
                                     const ServerQuery& query) {
  if (query.may_use_rate_limited) {
    if (KnownServerPtr limited = ChooseRateLimited(now, view, query)) {
      return limited;
    }
  }
  std::vector<KnownServerPtr> same_zone;
  std::vector<KnownServerPtr> other_zones;
  std::vector<KnownServerPtr> unhealthy;
  for (const KnownServerPtr& server : view.ServersOf(query.service->id)) {
    if (!IsEligible(now, view, query, server)) continue;
    if (IsRateLimited(now, *server)) continue;
    if (!IsHealthy(now, query, server)) {
      unhealthy.push_back(server);
    } else if (server->state.announcement.zone == zone_) {
      same_zone.push_back(server);
    } else {
      other_zones.push_back(server);
    }
  }
  if (!same_zone.empty()) return PickLessLoaded(now, same_zone);
  if (!other_zones.empty()) return PickLessLoaded(now, other_zones);
  // An unhealthy server may still succeed, which is better than no attempt.
  return PickLessLoaded(now, unhealthy);
}

// Sends each server with a limited rate a fraction of it, in proportion to this
// host's part of all requests, so that all hosts together stay within the rate
// without coordination. While the total of requests is unknown, as after a
// restart of the whole fleet, these servers get none.
KnownServerPtr ServerChooser::ChooseRateLimited(Instant now,
                                                const EntryView& view,
                                                const ServerQuery& query) {
  const double known_rate = view.RequestRate(query.service->id);
  if (known_rate <= 0) return nullptr;
  const double total_rate = std::max(known_rate, 1.0);
  double sample = random_.Unit();
  for (const KnownServerPtr& server : view.ServersOf(query.service->id)) {
    if (!IsRateLimited(now, *server)) continue;
    if (!IsEligible(now, view, query, server) ||
        !IsHealthy(now, query, server)) {
      continue;
    }
    const double fraction = settings_.limited_rate_fraction *
                            AcceptedRate(now, *server, *query.service) /
                            total_rate;
    if (sample < fraction) return server;
    sample -= fraction;
  }
  return nullptr;
}

KnownServerPtr ServerChooser::PickLessLoaded(
    Instant now, std::vector<KnownServerPtr>& servers) {
  if (servers.empty()) return nullptr;
  if (servers.size() == 1) return servers.front();
  const auto first = random_.Below(servers.size());
  auto second = random_.Below(servers.size() - 1);
  if (second >= first) ++second;
  const bool second_is_better =
      LoadOf(now, *servers[second]) < LoadOf(now, *servers[first]);
  return servers[second_is_better ? second : first];
}

double ServerChooser::LoadOf(Instant now, const KnownServer& server) const {
  double load = server.in_flight;
  if (now - server.load.at < settings_.max_load_age) {
    load += server.load.running + server.load.waiting;
  }
  return load / std::max<std::uint32_t>(server.state.announcement.slots, 1);
}

}  // namespace sapphirebank
