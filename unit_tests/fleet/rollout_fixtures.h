#pragma once

#include <map>
#include <string>

#include "sapphirebank/fleet/rollout.h"
#include "sapphirebank/fleet/version_policy.h"
#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {

inline Rollout MakeRollout(RolloutPhase phase, std::uint64_t order = 7,
                           const std::string& target = "v2") {
  Rollout rollout;
  rollout.service = ServiceId("desk");
  rollout.target_version = target;
  rollout.duration = std::chrono::seconds(12);
  rollout.order = order;
  rollout.phase = phase;
  return rollout;
}

inline VersionRecord MakeVersions(const Rollout& rollout) {
  VersionRecord versions;
  versions.rollouts[rollout.service] = rollout;
  return versions;
}

// A server that started at `start`, where later versions start later.
inline ServerAnnouncement MakeVersionedServer(
    const std::string& id, const std::string& version, Incarnation start,
    const std::string& zone = "kochi") {
  ServerAnnouncement server = MakeServer(id, zone, start);
  server.version = version;
  return server;
}

}  // namespace sapphirebank
