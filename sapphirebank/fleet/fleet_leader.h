#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/allowance_bank.h"
#include "sapphirebank/fleet/crash_ledger.h"
#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/fleet_record.h"
#include "sapphirebank/fleet/plan_history.h"
#include "sapphirebank/fleet/server_board.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

struct FleetLeaderSettings {
  ServerBoardSettings board;
  CrashLedgerSettings crashes;
  // An entry host that is not heard for this time is no longer named to
  // callers: four reports, and well below the 6 s after which naming it would
  // be wrong.
  Duration entry_silence = std::chrono::milliseconds(2500);
};

// What the leading control host holds in memory beside the replicated record:
// entry hosts, backend servers, tokens and request counts. A new leader builds
// it anew from the first reports and heartbeats.
class FleetLeader {
 public:
  explicit FleetLeader(FleetLeaderSettings settings);

  // Follows a change of the replicated record. `plan` is the one in force, or
  // null when the record has none.
  void Follow(Instant now, const FleetRecord& record,
              const std::shared_ptr<const TrafficPlan>& plan);

  // Takes a heartbeat. Returns whether it counts.
  bool Hear(Instant now, const ServerAnnouncement& announcement,
            const FleetRecord& record);

  // Takes a report of an entry host and returns what it is to be told.
  FleetUpdate Take(Instant now, const HostId& host, const EntryReport& report,
                   const FleetRecord& record);

  // Returns news for a host that has not asked for them.
  FleetUpdate News(Instant now, const HostId& host, const FleetRecord& record);

  // Returns whether something changed that `host` was not told of.
  bool HasNews(const HostId& host) const;

  // The host's link ended. It is no longer named to callers.
  void Lost(const HostId& host);

  // Takes over the addresses that an earlier leader named, until their hosts
  // report or entry_silence has passed.
  void AdoptReady(Instant now, const std::vector<ReadyHost>& ready);

  // Returns the hosts to name to callers.
  std::vector<ReadyHost> Ready(Instant now) const;

  // Acts on the passage of time.
  void Tick(Instant now);

  // Starts a leadership.
  void Begin(Term epoch);

  const ServerBoard& board() const { return board_; }

 private:
  struct EntryHost {
    ReadyHost callers;
    bool ready = false;
    Instant heard_at;
    std::uint64_t board_sent = 0;
    PlanVersion plan_sent = 0;
    std::uint64_t general_sent = 0;
  };

  FleetUpdate Fill(Instant now, EntryHost& host, const FleetRecord& record);
  void CountRequests(Instant now, const EntryReport& report);

  FleetLeaderSettings settings_;
  Term epoch_ = 0;
  ServerBoard board_;
  AllowanceBank bank_;
  CrashLedger crashes_;
  PlanHistory plans_;
  std::shared_ptr<const TrafficPlan> plan_;
  std::set<ZoneId> zones_out_;
  std::map<HostId, EntryHost> hosts_;
  struct AdoptedHost {
    ReadyHost host;
    Instant since;
  };
  std::map<std::string, AdoptedHost> adopted_ready_;
  // Smoothed over about a second and a half.
  std::map<ServiceId, double> request_rates_;
  Instant rates_at_;
  // Counts changes of what every update carries: zones and quarantine.
  std::uint64_t general_ = 1;
};

}  // namespace sapphirebank
