#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
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
#include "sapphirebank/fleet/retry_purse.h"
#include "sapphirebank/fleet/server_board.h"
#include "sapphirebank/fleet/server_dispatcher.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

struct FleetHubSettings {
  ServerBoardSettings board;
  ServerDispatcherSettings dispatch;
  CrashLedgerSettings crashes;
  // Retries that the whole fleet may make beyond those that requests earn.
  double retry_slack = 0;
  // An entry host that is not heard for this time is no longer named to
  // callers: four reports, and well below the 6 s after which naming it would
  // be wrong.
  Duration entry_silence = std::chrono::milliseconds(2500);
  // Request rates and the number of hosts are told this often.
  Duration general_period = std::chrono::milliseconds(1000);
};

// What a control host holds in memory beside the replicated record, for the
// entry hosts that report to it. On the leading host it is the authority on
// servers, tokens and crashes; on the others it relays: entry hosts of a zone
// report to a hub of their zone, and only sums cross to the leader.
class FleetHub {
 public:
  // `id` differs from every other start of a hub; `self` names this hub.
  FleetHub(FleetHubSettings settings, std::uint64_t id, const HubHost& self,
           Random random);

  // Becomes the authority, or a relay.
  void Lead(Instant now);
  void Relay();

  // Follows a change of the replicated record. `plan` is the one in force, or
  // null when the record has none.
  void Follow(Instant now, const FleetRecord& record,
              const std::shared_ptr<const TrafficPlan>& plan);

  // Takes a heartbeat. Returns whether it counts.
  bool Hear(Instant now, const ServerAnnouncement& announcement,
            const FleetRecord& record);

  // Takes a report, of an entry host or of a relay, and returns what it is to
  // be told.
  FleetUpdate Take(Instant now, const HostId& host, bool is_relay,
                   const EntryReport& report, const FleetRecord& record);

  // Returns news for a host that has not asked for them.
  FleetUpdate News(Instant now, const HostId& host, const FleetRecord& record);

  // Returns whether there is something that `host` was not told of.
  bool HasNews(const HostId& host) const;

  // Returns whether `host` waits for tokens that are there.
  bool HasGrants(const HostId& host) const;

  // Of a relay: returns the report to the leader, which sums up those of the
  // entry hosts. `first` asks for all known servers.
  EntryReport ReportUp(Instant now, bool first);

  // Returns whether the leader must be told at once.
  bool MustReportUp() const { return must_report_up_; }

  // Of a relay: takes the leader's update.
  void TakeUp(Instant now, const FleetUpdate& update);

  // Assigns a request of an entry host to a server; a retry only when it can
  // be paid for.
  std::optional<DispatchChoice> Assign(Instant now, const AssignmentId& id,
                                       const DispatchQuery& query);
  void EndAssignment(const AssignmentId& id, AssignmentEnd end) {
    dispatcher_.End(id, end);
  }

  // The host's link ended. It is no longer named to callers.
  void Lost(const HostId& host);

  // Sets the control hosts that entry hosts may report to. The one at the
  // address `leader` comes last: it has other work.
  void SetHubs(std::vector<HubHost> hubs, const std::string& leader);

  // Of the authority: takes over the hosts that an earlier one named, until
  // they are reported or entry_silence has passed.
  void AdoptReady(Instant now, const std::vector<ReadyHost>& ready);

  // Returns the hosts to name to callers: all that report here or to a relay
  // that does.
  std::vector<ReadyHost> Ready(Instant now) const;

  // Acts on the passage of time.
  void Tick(Instant now);

  const ServerBoard& board() const { return board_; }

  // Returns the judgements of servers since the last call.
  std::vector<StandingChange> TakeStandingChanges() {
    return board_.TakeStandingChanges();
  }

 private:
  // An entry host or a relay that reports here.
  struct Reporter {
    std::vector<ReadyHost> ready;
    std::uint32_t entry_hosts = 1;
    // A relay, which has a hub's share of the rates itself.
    bool is_relay = false;
    Instant heard_at;
    std::uint64_t board_sent = 0;
    PlanVersion plan_sent = 0;
    std::uint64_t general_sent = 0;
    std::map<WorkspaceId, TokenGrant> grants_due;
  };
  struct AdoptedHost {
    ReadyHost host;
    Instant since;
  };
  // Orders of tokens that a relay passed on.
  struct Account {
    struct Waiting {
      HostId host;
      std::uint32_t tokens = 0;
    };
    std::deque<Waiting> waiting;
    std::uint32_t to_ask = 0;
    std::uint32_t on_order = 0;
  };

  FleetUpdate Fill(Instant now, Reporter& host, const FleetRecord& record);
  void Sum(Instant now, const EntryReport& report);
  void Grant(Instant now, const HostId& host, bool is_relay,
             const WorkspaceId& workspace, std::uint32_t wanted);
  void Settle(const HostId& host, const WorkspaceId& workspace,
              TokenGrant grant);
  void TakeGrant(const WorkspaceId& workspace, TokenGrant grant);
  void CountRequests(Instant now, const EntryReport& report);
  std::uint32_t EntryHosts() const;
  std::uint32_t OwnEntryHosts() const;
  void ShareRates(Instant now);

  FleetHubSettings settings_;
  std::uint64_t id_;
  HubHost self_;
  bool leads_ = false;
  ServerBoard board_;
  ServerDispatcher dispatcher_;
  // What this hub spends by itself, and what the leader gives out to hubs.
  AllowanceBank own_bank_;
  AllowanceBank leaders_bank_;
  double own_part_ = 0;
  RetryPurse retries_;
  CrashLedger crashes_;
  PlanHistory plans_;
  std::shared_ptr<const TrafficPlan> plan_;
  std::set<ZoneId> zones_out_;
  std::map<HostId, Reporter> reporters_;
  std::map<std::string, AdoptedHost> adopted_ready_;
  std::vector<HubHost> hubs_;
  // Smoothed over about a second and a half.
  std::map<ServiceId, double> request_rates_;
  Instant rates_at_;
  std::vector<RequestFingerprint> quarantined_;
  std::uint32_t entry_hosts_told_ = 1;
  // Counts changes of what updates carry in common.
  std::uint64_t general_ = 1;
  Instant next_general_;

  // Of a relay: what the leader has not been told yet.
  EntryReport sum_;
  std::map<WorkspaceId, Account> accounts_;
  std::uint64_t up_board_id_ = 0;
  std::uint64_t up_board_ = 0;
  bool must_report_up_ = false;
};

}  // namespace sapphirebank
