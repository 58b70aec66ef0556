#pragma once

#include <span>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/entry_view.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

struct ServerChooserSettings {
  // Part of its warm-up rate that a cold server is sent on average: the bound
  // holds in every second, and random choices cluster.
  double warm_up_rate_fraction = 0.6;
  // For how long a server's word on its load says something about now.
  Duration max_load_age = std::chrono::milliseconds(400);
};

// What one try of a request asks for.
struct ServerQuery {
  const PlannedService* service = nullptr;
  // The request may run more than once.
  bool repeatable = false;
  // A try after one that reached a server: it takes from the retry budget.
  bool is_retry = false;
  // Servers that had the request already.
  std::span<const KnownServerPtr> tried;
};

// Chooses the backend server for a try: of two random servers in this host's
// zone the one with less to do (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", 2001); servers of other zones when this zone has
// none that will do.
class ServerChooser {
 public:
  ServerChooser(ServerChooserSettings settings, ZoneId zone, Random random)
      : settings_(settings), zone_(std::move(zone)), random_(random) {}

  // Returns a server, or null when the service has none that may be asked.
  KnownServerPtr Choose(Instant now, const EntryView& view,
                        const ServerQuery& query);

 private:
  KnownServerPtr ChooseCold(Instant now, const EntryView& view,
                            const ServerQuery& query);
  KnownServerPtr PickLessLoaded(Instant now,
                                std::vector<KnownServerPtr>& servers);
  double LoadOf(Instant now, const KnownServer& server) const;

  ServerChooserSettings settings_;
  ZoneId zone_;
  Random random_;
};

}  // namespace sapphirebank
