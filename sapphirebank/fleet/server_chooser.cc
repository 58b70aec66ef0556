#include "sapphirebank/fleet/server_chooser.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {
namespace {

bool WasTried(const ServerQuery& query, const KnownServerPtr& server) {
  return std::find(query.tried.begin(), query.tried.end(), server) !=
         query.tried.end();
}

// Returns whether requests may go to the server at all.
bool IsAllowed(const EntryView& view, const ServerQuery& query,
               const KnownServerPtr& server) {
  return !view.IsZoneOut(server->state.announcement.zone) &&
         !WasTried(query, server);
}

// Returns whether the server is expected to serve the request well.
bool IsSound(Instant now, const ServerQuery& query,
             const KnownServerPtr& server) {
  if (now < server->avoid_until) return false;
  switch (server->state.standing) {
    case Standing::kUp:
      return true;
    case Standing::kProbation:
      return query.repeatable && !query.is_retry;
    case Standing::kDown:
      return false;
  }
  return false;
}

}  // namespace

KnownServerPtr ServerChooser::Choose(Instant now, const EntryView& view,
                                     const ServerQuery& query) {
  if (KnownServerPtr cold = ChooseCold(now, view, query)) return cold;
  std::vector<KnownServerPtr> near;
  std::vector<KnownServerPtr> far;
  std::vector<KnownServerPtr> poor;
  for (const KnownServerPtr& server : view.ServersOf(query.service->id)) {
    if (!IsAllowed(view, query, server)) continue;
    if (now < server->state.cold_until) continue;
    if (!IsSound(now, query, server)) {
      poor.push_back(server);
    } else if (server->state.announcement.zone == zone_) {
      near.push_back(server);
    } else {
      far.push_back(server);
    }
  }
  if (!near.empty()) return Pick(now, near);
  if (!far.empty()) return Pick(now, far);
  // A server that fails part of its requests is better than none.
  return Pick(now, poor);
}

// Sends each cold server the part of all requests that it can bear, so that
// all hosts together keep to its rate without asking each other.
KnownServerPtr ServerChooser::ChooseCold(Instant now, const EntryView& view,
                                         const ServerQuery& query) {
  const double all = std::max(view.RequestRate(query.service->id), 1.0);
  const double part =
      settings_.part_of_warm_up_rate * query.service->warm_up_rate / all;
  double draw = random_.Unit();
  for (const KnownServerPtr& server : view.ServersOf(query.service->id)) {
    if (now >= server->state.cold_until) continue;
    if (!IsAllowed(view, query, server) || !IsSound(now, query, server)) {
      continue;
    }
    if (draw < part) return server;
    draw -= part;
  }
  return nullptr;
}

KnownServerPtr ServerChooser::Pick(Instant now,
                                   std::vector<KnownServerPtr>& servers) {
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
  if (now - server.load.at < settings_.load_lifetime) {
    load += server.load.running + server.load.waiting;
  }
  return load / std::max<std::uint32_t>(server.state.announcement.slots, 1);
}

}  // namespace sapphirebank
