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
#include "sapphirebank/fleet/crashing_request_detector.h"
#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/fleet_record.h"
#include "sapphirebank/fleet/plan_history.h"
#include "sapphirebank/fleet/retry_budget_share.h"
#include "sapphirebank/fleet/server_dispatcher.h"
#include "sapphirebank/fleet/server_registry.h"
#include "sapphirebank/fleet/traffic_plan.h"
#include "sapphirebank/fleet/workspace_token_buckets.h"

namespace sapphirebank {

struct FleetHubSettings {
  ServerRegistrySettings registry;
  ServerDispatcherSettings dispatcher;
  CrashingRequestSettings crash_detection;
  // Retries that the whole fleet may make beyond those that requests earn.
  double retry_slack = 0;
  // An entry host that is not heard for this time is no longer named to
  // callers: four reports, and well below the 6 s after which naming it would
  // be wrong.
  Duration entry_report_timeout = std::chrono::milliseconds(2500);
  // Request rates and the number of hosts are told this often.
  Duration shared_state_period = std::chrono::milliseconds(1000);
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
  void BecomeLeader(Instant now);
  void BecomeRelay();

  // Follows a change of the replicated record. `plan` is the one in force, or
  // null when the record has none.
  void ApplyRecord(Instant now, const FleetRecord& record,
                   const std::shared_ptr<const TrafficPlan>& plan);

  // Takes a heartbeat. Returns whether it counts.
  bool ApplyHeartbeat(Instant now, const ServerAnnouncement& announcement,
                      const FleetRecord& record);

  // Takes a report, of an entry host or of a relay, and returns what it is to
  // be told.
  FleetUpdate HandleReport(Instant now, const HostId& host, bool is_relay,
                           const EntryReport& report,
                           const FleetRecord& record);

  // Returns news for a host that has not asked for them.
  FleetUpdate BuildUpdate(Instant now, const HostId& host,
                          const FleetRecord& record);

  // Returns whether there is something that `host` was not told of.
  bool HasPendingUpdate(const HostId& host) const;

  // Returns whether `host` waits for tokens that are there.
  bool HasPendingGrants(const HostId& host) const;

  // Of a relay: returns the report to the leader, which sums up those of the
  // entry hosts. `first` asks for all known servers.
  EntryReport BuildLeaderReport(Instant now, bool first);

  // Returns whether the leader must be told at once.
  bool MustReportToLeader() const { return must_report_to_leader_; }

  // Of a relay: takes the leader's update.
  void ApplyLeaderUpdate(Instant now, const FleetUpdate& update);

  // Assigns a request of an entry host to a server; a retry only when it can
  // be paid for.
  std::optional<DispatchChoice> Assign(Instant now, const AssignmentId& id,
                                       const DispatchQuery& query);
  void EndAssignment(const AssignmentId& id, AssignmentOutcome end) {
    dispatcher_.EndAssignment(id, end);
  }

  // The host's link ended. It is no longer named to callers.
  void RemoveReporter(const HostId& host);

  // Sets the control hosts that entry hosts may report to. The one at the
  // address `leader` comes last: it has other work.
  void SetHubs(std::vector<HubHost> hubs, const std::string& leader);

  // Of the authority: takes over the hosts that an earlier one named, until
  // they are reported or entry_report_timeout has passed.
  void InheritReadyHosts(Instant now, const std::vector<ReadyHost>& ready);

  // Returns the hosts to name to callers: all that report here or to a relay
  // that does.
  std::vector<ReadyHost> ReadyHosts(Instant now) const;

  // Acts on the passage of time.
  void Tick(Instant now);

  const ServerRegistry& registry() const { return registry_; }

  // Returns the judgements of servers since the last call.
  std::vector<ServerHealthChange> TakeHealthChanges() {
    return registry_.TakeHealthChanges();
  }

 private:
  // An entry host or a relay that reports here.
  struct Reporter {
    std::vector<ReadyHost> ready_hosts;
    std::uint32_t entry_hosts = 1;
    // A relay, which has a hub's share of the rates itself.
    bool is_relay = false;
    Instant last_report_at;
    std::uint64_t registry_changes_sent = 0;
    PlanVersion plan_version_sent = 0;
    std::uint64_t shared_state_sent = 0;
    std::map<WorkspaceId, TokenGrant> pending_grants;
  };
  struct InheritedHost {
    ReadyHost host;
    Instant inherited_at;
  };
  // Orders of tokens that a relay passed on.
  struct TokenOrders {
    struct WaitingOrder {
      HostId host;
      std::uint32_t tokens = 0;
    };
    std::deque<WaitingOrder> waiting;
    std::uint32_t unsent = 0;
    std::uint32_t outstanding = 0;
  };

  FleetUpdate FillUpdate(Instant now, Reporter& host,
                         const FleetRecord& record);
  void AggregateReport(Instant now, const EntryReport& report);
  void GrantTokens(Instant now, const HostId& host, bool is_relay,
                   const WorkspaceId& workspace, std::uint32_t wanted);
  void QueueGrant(const HostId& host, const WorkspaceId& workspace,
                  TokenGrant grant);
  void DistributeGrant(const WorkspaceId& workspace, TokenGrant grant);
  void UpdateRequestRates(Instant now, const EntryReport& report);
  std::uint32_t TotalEntryHosts() const;
  std::uint32_t LocalEntryHosts() const;
  void UpdateShares(Instant now);

  FleetHubSettings settings_;
  std::uint64_t id_;
  HubHost self_;
  bool is_leader_ = false;
  ServerRegistry registry_;
  ServerDispatcher dispatcher_;
  // What this hub spends by itself, and what the leader gives out to hubs.
  WorkspaceTokenBuckets hub_buckets_;
  WorkspaceTokenBuckets leader_buckets_;
  double entry_host_fraction_ = 0;
  RetryBudgetShare retries_;
  CrashingRequestDetector crash_detector_;
  PlanHistory plans_;
  std::shared_ptr<const TrafficPlan> plan_;
  std::set<ZoneId> zones_out_;
  std::map<HostId, Reporter> reporters_;
  std::map<std::string, InheritedHost> inherited_ready_;
  std::vector<HubHost> hubs_;
  // Smoothed over about a second and a half.
  std::map<ServiceId, double> request_rates_;
  Instant request_rates_at_;
  std::vector<RequestFingerprint> quarantined_;
  std::uint32_t total_entry_hosts_ = 1;
  // Counts changes of what updates carry in common.
  std::uint64_t shared_state_version_ = 1;
  Instant next_shared_state_at_;

  // Of a relay: what the leader has not been told yet.
  EntryReport pending_report_;
  std::map<WorkspaceId, TokenOrders> token_orders_;
  std::uint64_t leader_registry_id_ = 0;
  std::uint64_t leader_registry_changes_ = 0;
  bool must_report_to_leader_ = false;
};

}  // namespace sapphirebank
