#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/rollout.h"

namespace sapphirebank {

struct RolloutShareSettings {
  // Fraction of a service's requests that a new version may get during its
  // trial; 0 for none.
  double share = 0;
  // Requests that a new version may get from the whole fleet beyond that. They
  // are divided among the hubs, so that each route of a small service is tried
  // early.
  double fleet_start = 0;
  // Requests that may be saved up while the new version has no free server.
  double max_credit = 4;
  // Fraction of the requests of one route that the new version may get where a
  // rare route is preferred.
  double max_route_share = 0.25;
  // A hub whose confirmation by the leader is older grants nothing: the new
  // version may have been rolled back.
  Duration max_confirmation_age = std::chrono::milliseconds(1500);
};

// A hub begins to grant requests to a new version, or stops as its confirmation
// by the leader is too old.
struct RolloutShareChange {
  ServiceId service;
  std::uint64_t order = 0;
  bool is_granting = false;
  Duration confirmation_age{};
};

// One hub's part of the bounded share of requests that new versions may get
// during their trials. Each request that the hub assigns adds a fraction of a
// request, and one that it grants to the new version takes a whole one. So the
// shares of all hubs sum to less than the whole without coordination, also for
// hubs that are cut off, and a hub that has just started begins at zero.
class RolloutShare {
 public:
  explicit RolloutShare(RolloutShareSettings settings) : settings_(settings) {}

  // Takes the last rollout of each service from the record, which `hub_count`
  // hubs follow. Those of the first call may be older than this hub's start and
  // begin at zero.
  void SetRollouts(const std::map<ServiceId, Rollout>& rollouts,
                   std::size_t hub_count);

  // Records that this hub's record had everything committed before `as_of`.
  void RecordConfirmation(Instant as_of);

  // Returns whether a request of the route may be assigned to the new version
  // of the service. Prefers the routes that it has had least of.
  bool CanGrant(Instant now, const ServiceId& service,
                const std::string& route);

  // Counts a request that was assigned, to the new version if `granted`.
  void CountRequest(const ServiceId& service, const std::string& route,
                    bool granted);

  // Returns what has changed since the last call.
  std::vector<RolloutShareChange> TakeChanges() {
    return std::exchange(changes_, {});
  }

 private:
  struct RouteCounts {
    std::uint64_t requests = 0;
    std::uint64_t granted = 0;
  };
  struct Trial {
    std::uint64_t order = 0;
    double credit = 0;
    std::uint64_t granted = 0;
    std::map<std::string, RouteCounts> routes;
    bool is_granting = false;
  };

  RolloutShareSettings settings_;
  bool has_rollouts_ = false;
  Instant confirmed_as_of_;
  std::map<ServiceId, Trial> trials_;
  std::vector<RolloutShareChange> changes_;
};

}  // namespace sapphirebank
