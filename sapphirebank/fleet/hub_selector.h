#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/hub_assignment.h"

namespace sapphirebank {

struct HubSelectorSettings {
  // Leader update age of this host from which it looks for a hub with a newer
  // update.
  Duration max_update_age = kMaxHubUpdateAge;
  // The same while the hub takes part in an election: other hubs then have no
  // newer update either. Most elections are over within this time.
  Duration max_update_age_in_election = std::chrono::milliseconds(2000);
  // A hub that leaves a report unanswered for longer is lost. A search begins
  // earlier, by the age of this host's update, and the answer may still come:
  // the bodies of a few requests delay it by most of a second on the link of a
  // small host, which would also delay another hub's.
  Duration report_timeout = std::chrono::milliseconds(1500);
  // The same for the first report, whose answer may carry the whole plan and
  // all servers.
  Duration first_report_timeout = std::chrono::milliseconds(2000);
  // Maximum update age of a hub that is chosen.
  Duration max_new_hub_age = kRecentUpdateAge;
  // Time between the starts of two probes of one search.
  Duration probe_interval = std::chrono::milliseconds(50);
  // The same for a host that knows the seeds only, as all others that start
  // then: one of them suffices to learn the rest.
  Duration seed_probe_interval = std::chrono::milliseconds(200);
  // A hub that failed is probed again only after this time.
  Duration failure_backoff = std::chrono::seconds(2);
  // Pause after a search in vain, for a host with a hub, varied by half, and
  // the number of hubs that the next search probes: all hosts search at the
  // same time when no hub has a leader. Neither depends on the size of the
  // fleet, as the hubs grow with the hosts.
  Duration search_pause = std::chrono::milliseconds(1000);
  std::size_t probes_after_search_in_vain = 3;
  // The same for a host without a hub, doubled with each search in vain up to
  // the maximum and varied by half: after a loss of power hundreds of hosts
  // know the seeds only, whose processors are small.
  Duration search_pause_without_hub = std::chrono::milliseconds(100);
  Duration max_search_pause_without_hub = std::chrono::milliseconds(1600);
  // Time for a probed hub to accept the link and send its state: hosts are a
  // few milliseconds apart. Doubled up to the maximum with each search in vain
  // of a host without a hub, as a hub may be slow for all.
  Duration probe_timeout = std::chrono::milliseconds(400);
  Duration max_probe_timeout = std::chrono::milliseconds(1000);
  // Time for a new hub's first update, after which a search may begin again.
  Duration first_update_time = std::chrono::milliseconds(800);
  // A host that is not connected to the hub that it belongs to probes that one
  // with this period.
  Duration switch_period = std::chrono::seconds(3);
  // Hubs are kept as candidates for this time after a hub listed them last.
  Duration retention = std::chrono::seconds(60);
};

// What a hub says about itself when a host connects to it, and in its updates.
struct HubState {
  // Time since a quorum last confirmed the leader that the hub follows.
  Duration update_age{};
  bool is_electing = false;
  // Whether it belongs to the control group; otherwise it is no hub.
  bool is_member = true;
  // The hubs that it knows, and the number of entry hosts or 0; earlier builds
  // say neither.
  std::vector<HubHost> hubs = {};
  std::uint32_t entry_hosts = 0;
};

// Chooses the hub of an entry host. Any hub serves while its leader update is
// recent; one that is partitioned from the leader goes on answering, so its
// hosts have to look for another one by themselves.
//
// A search probes the other hubs, each once and in staggered order as in Happy
// Eyeballs (RFC 8305), until one has a recent update. The host keeps its hub
// meanwhile: when no hub is better off, as during an election, none of them
// loses its hosts. No search begins while the hub knows that no other one is
// better off: hundreds of hosts would search at once. A hub on the wrong side
// of a partition lists only hubs of its own side, so those listed before remain
// candidates.
//
// A host that has just started knows the seeds only. The first hub that answers
// it sends it on to its own zone, so that the seeds do not serve the whole
// fleet at a start.
class HubSelector {
 public:
  // `zone` and `member` are the zone and the id of this entry host. `seeds`
  // returns the addresses of the hubs to begin with, of which the zones are
  // unknown; it is called once for each search.
  HubSelector(HubSelectorSettings settings, ZoneId zone, std::string member,
              std::function<std::vector<std::string>()> seeds, Random random);

  // Sets the hubs that the current one lists, and the number of entry hosts.
  void SetHubs(Instant now, std::span<const HubHost> hubs,
               std::uint32_t entry_hosts);

  // Returns the address of the next hub to probe, if a probe is due.
  // `update_age` is the leader update age of this host.
  std::optional<std::string> NextProbe(Instant now, Duration update_age);

  // Records the state of a probed hub. Returns whether to report to that hub
  // from now on; other probes are then void.
  bool RecordProbe(Instant now, const std::string& address,
                   const HubState& state, Duration update_age);

  // Returns the time after which a probe counts as failed.
  Duration ProbeTimeout() const;

  // Records that a probe failed.
  void RecordProbeFailure(Instant now, const std::string& address);

  // Records what the current hub says: whether it takes part in an election,
  // and whether no other hub has a newer update, so that a search is in vain.
  void RecordHubState(bool is_electing, bool has_newest_update) {
    hub_is_electing_ = is_electing;
    hub_has_newest_update_ = has_newest_update;
  }

  // Returns whether the current hub is lost: the oldest of its unanswered
  // reports was sent at `asked_at`, and it has answered one before or not.
  bool IsHubLost(Instant now, Instant asked_at, bool has_answered) const;

  // Records that the current hub was lost.
  void RecordHubFailure(Instant now);

  // Returns the period of reports to the hub, shorter while the answer may end
  // the need for a search.
  Duration ReportPeriod(Duration update_age) const;

  // Returns the current hub, or an empty address.
  const std::string& hub() const { return hub_; }

  // Returns whether a search is going on.
  bool is_searching() const { return search_.has_value(); }

 private:
  struct KnownHub {
    ZoneId zone;
    Instant listed_at;
  };
  // The hubs that remain to be probed.
  using Search = std::deque<std::string>;

  bool IsBackedOff(Instant now, const std::string& address) const;
  bool IsOutdated(Duration update_age) const;
  std::string AssignedAddress(Instant now) const;
  Search StartSearch(Instant now);
  void EndSearchInVain(Instant now);
  void LearnHubs(Instant now, const HubState& state);
  bool SendOn(Instant now, const std::string& address, const HubState& state);
  void Adopt(Instant now, const std::string& address);
  std::optional<std::string> ProbeAssigned(Instant now);

  HubSelectorSettings settings_;
  ZoneId zone_;
  std::string member_;
  std::function<std::vector<std::string>()> seeds_;
  Random random_;
  std::vector<HubHost> listed_;
  std::map<std::string, KnownHub> known_;
  std::uint32_t entry_hosts_ = 1;
  std::string hub_;
  bool hub_is_electing_ = false;
  bool hub_has_newest_update_ = false;
  std::map<std::string, Instant> backoff_until_;
  std::map<std::string, Instant> probed_at_;
  std::optional<Search> search_;
  std::set<std::string> probing_;
  // The hubs to which this host was sent on, while it is without a hub.
  std::set<std::string> sent_on_to_;
  // The last search found no hub with a recent update.
  bool searched_in_vain_ = false;
  // Searches in vain since this host has no hub.
  int failed_searches_ = 0;
  Instant next_probe_at_;
  Instant next_search_at_;
  Instant next_switch_at_;
};

}  // namespace sapphirebank
