#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/dispatch_query.h"
#include "sapphirebank/fleet/entry_view.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

struct ServerChooserSettings {
  // Fraction of a server's limited rate, as of a cold one, that is sent on
  // average. Below 1 because the limit holds in every second and random choices
  // cluster.
  double limited_rate_fraction = 0.6;
  // Age up to which a server's reported load is used.
  Duration max_load_age = std::chrono::milliseconds(400);
};

// A request's requirements for its next attempt.
struct ServerQuery {
  const PlannedService* service = nullptr;
  // The request may run more than once.
  bool repeatable = false;
  // An attempt after one that reached a server; it is charged to the retry
  // budget.
  bool is_retry = false;
  // Servers already tried for the request.
  std::span<const KnownServerPtr> tried;
  // Cold servers, and those that have named a rate limit, may be used. Not
  // after the hub, which knows what others send to them, has declined.
  bool may_use_rate_limited = true;
  // Workspace for which the hub is to take a rate token; empty for none.
  // Without a token no server is of use, so the hub's answer is awaited for
  // longer.
  WorkspaceId workspace;
  Duration token_wait{};
  // Latency objective of the route, and the deadline of the request.
  Duration latency_objective{};
  Instant deadline;
  // For the hub; see DispatchQuery.
  std::string route;
  std::uint64_t body_bytes = 0;
  RequestRank rank;
  WorkspaceId caller;
  RequestFingerprint fingerprint = 0;
};

// Chooses the backend server for an attempt: the less loaded of two random
// healthy servers in this host's zone (Mitzenmacher, "The Power of Two Choices
// in Randomized Load Balancing", 2001). Falls back to healthy servers of other
// zones, then to unhealthy ones. A version in its trial gets requests from hubs
// only, which know its share.
class ServerChooser {
 public:
  ServerChooser(ServerChooserSettings settings, ZoneId zone, Random random)
      : settings_(settings), zone_(std::move(zone)), random_(random) {}

  // Returns a server, or null when the service has no eligible one.
  KnownServerPtr Choose(Instant now, const EntryView& view,
                        const ServerQuery& query);

 private:
  KnownServerPtr ChooseRateLimited(Instant now, const EntryView& view,
                                   const ServerQuery& query);
  KnownServerPtr PickLessLoaded(Instant now,
                                std::vector<KnownServerPtr>& servers);
  double LoadOf(Instant now, const KnownServer& server) const;

  ServerChooserSettings settings_;
  ZoneId zone_;
  Random random_;
};

}  // namespace sapphirebank
