#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/admission_control.h"
#include "sapphirebank/fleet/crashing_request_detector.h"
#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/fleet_record.h"
#include "sapphirebank/fleet/forecast_cache.h"
#include "sapphirebank/fleet/plan_history.h"
#include "sapphirebank/fleet/retry_budget_share.h"
#include "sapphirebank/fleet/rollout_samples.h"
#include "sapphirebank/fleet/rollout_share.h"
#include "sapphirebank/fleet/server_dispatcher.h"
#include "sapphirebank/fleet/server_registry.h"
#include "sapphirebank/fleet/traffic_plan.h"
#include "sapphirebank/fleet/workspace_token_buckets.h"

namespace sapphirebank {

struct FleetHubSettings {
  ServerRegistrySettings registry;
  ServerDispatcherSettings dispatcher;
  AdmissionSettings admission;
  CrashingRequestSettings crash_detection;
  // Retries per window of the whole fleet beyond those added by requests.
  double retry_slack = 0;
  // Fraction of a service's requests that a version in its trial may get, and
  // requests that it may get from the whole fleet beyond that. Without a share
  // no rollouts are configured, and versions tell nothing.
  double rollout_share = 0;
  double rollout_start = 0;
  // An entry host without a report for this time is no longer advertised to
  // callers: four reports, and well below the 6 s after which advertising it
  // would violate the limit.
  Duration entry_report_timeout = std::chrono::milliseconds(2500);
  // Period with which a relay repeats its list of ready hosts to the leader,
  // which loses it when the link between them is replaced. Well below
  // entry_report_timeout.
  Duration ready_hosts_period = std::chrono::milliseconds(1000);
  // A hub that has just started asks one entry host at a time for the servers
  // that it knows, with this period until the first list arrives; after
  // max_incomplete_time all servers have announced themselves again.
  Duration server_request_period = std::chrono::milliseconds(500);
  Duration max_incomplete_time = std::chrono::milliseconds(1600);
  // Maximum time between two reports of a relay to the leader.
  Duration leader_report_period = std::chrono::milliseconds(250);
  // Minimum time between two reports, for each hub. A leader handles about 250
  // reports a second, with their answers, in a part of a small host's
  // processor.
  Duration min_report_interval_per_hub = std::chrono::milliseconds(4);
  // A report that the leader did not answer within this time counts as lost.
  Duration report_answer_timeout = std::chrono::milliseconds(1000);
  // Period of updates of request rates and of the number of hosts.
  Duration shared_state_period = std::chrono::milliseconds(1000);
};

// In-memory state of a control host beside the replicated record, for the entry
// hosts that report to it. On the leader it is the authority on servers, tokens
// and crashes. On other control hosts it is a relay: entry hosts report to a
// hub of their zone, and only aggregates cross zones to the leader.
class FleetHub {
 public:
  // `id` is unique per hub start; `self` is this hub's address and zone.
  FleetHub(FleetHubSettings settings, std::uint64_t id, const HubHost& self,
           Random random);

  // Switches to the role of the authority or of a relay.
  void BecomeLeader(Instant now);
  void BecomeRelay();

  // Applies a change of the replicated record. `plan` is the one in force, or
  // null when the record has none.
  void ApplyRecord(Instant now, const FleetRecord& record,
                   const std::shared_ptr<const TrafficPlan>& plan);

  // Applies a heartbeat. Returns false if it is outdated.
  bool ApplyHeartbeat(Instant now, const ServerAnnouncement& announcement,
                      const FleetRecord& record);

  // Handles a report of an entry host or a relay and returns the update to send
  // back.
  FleetUpdate HandleReport(Instant now, const HostId& host, bool is_relay,
                           const EntryReport& report,
                           const FleetRecord& record);

  // Returns an unsolicited update for a host.
  FleetUpdate BuildUpdate(Instant now, const HostId& host,
                          const FleetRecord& record);

  // Returns whether `host` lacks changes.
  bool HasPendingUpdate(Instant now, const HostId& host) const;

  // Returns whether token grants may be pending for any host, once for each
  // time that some are added.
  bool TakePendingGrantsFlag() {
    return std::exchange(has_pending_grants_, false);
  }

  // Returns whether token grants for `host` are pending.
  bool HasPendingGrants(const HostId& host) const;

  // Relay only: returns the report to the leader, which aggregates those of the
  // entry hosts. `first` includes all known servers.
  EntryReport BuildLeaderReport(Instant now, bool first);

  // Returns whether there is something that the leader should know at once.
  bool MustReportToLeader() const { return must_report_to_leader_; }

  // Relay only: returns whether to report to the leader now: after
  // settings.leader_report_period, or sooner when there is something urgent,
  // but not so often that the leader is busy with the reports of all relays,
  // and not while the last one is unanswered.
  bool LeaderReportIsDue(Instant now) const;

  // Relay only: applies the leader's update. `record` is the one of this host.
  void ApplyLeaderUpdate(Instant now, const FleetUpdate& update,
                         const FleetRecord& record);

  // Records that this hub's record had everything committed before `as_of`.
  void RecordConfirmation(Instant as_of) {
    rollout_share_.RecordConfirmation(as_of);
  }

  // Returns which trials this hub has begun or stopped to grant requests to
  // since the last call.
  std::vector<RolloutShareChange> TakeShareChanges() {
    return rollout_share_.TakeChanges();
  }

  // Assigns a request of an entry host to a server; a retry only within the
  // retry budget. Takes a rate token first if the query names a workspace, and
  // assigns no server without one. Where room or the budget is short, the
  // choice may be a refusal; no token is taken then.
  std::optional<DispatchChoice> Assign(Instant now, const AssignmentId& id,
                                       const DispatchQuery& query);
  // Returns the part that chooses servers.
  const ServerDispatcher& dispatcher() const { return dispatcher_; }

  // Sets an observer of the choices of servers, or none.
  void set_placement_observer(PlacementObserver observer) {
    dispatcher_.set_placement_observer(std::move(observer));
  }

  void EndAssignment(Instant now, const AssignmentId& id,
                     AssignmentOutcome end) {
    dispatcher_.EndAssignment(now, id, end);
  }

  // Removes a host whose link ended. It is no longer advertised to callers.
  void RemoveReporter(const HostId& host);

  // Sets the control hosts that entry hosts may report to. The one at address
  // `leader` is listed last because it has other work.
  void SetHubs(std::vector<HubHost> hubs, const std::string& leader);

  // Authority only: takes over the hosts that the previous leader advertised,
  // until they are reported or entry_report_timeout has passed.
  void InheritReadyHosts(Instant now, const std::vector<ReadyHost>& ready);

  // Returns the hosts to advertise to callers: all that report here or to a
  // relay that does.
  std::vector<ReadyHost> ReadyHosts(Instant now) const;

  // Sets the ready hosts of the whole fleet, as the authority lists them. Entry
  // hosts are told at once when one that they may send requests to has left or
  // lost its path.
  void SetFleetHosts(std::vector<ReadyHost> hosts);

  // Applies timeouts and periodic updates.
  void Tick(Instant now);

  // Returns the number of hubs, including this one.
  std::size_t hub_count() const { return hubs_.size(); }
  const std::vector<HubHost>& hubs() const { return hubs_; }

  const ServerRegistry& registry() const { return registry_; }

  // Returns the bytes kept to send patches from earlier plans.
  std::size_t plan_history_bytes() const { return plans_.bytes(); }

  // Returns the refusals of requests since the last call.
  std::vector<AdmissionTally> TakeAdmissionTallies() {
    return admission_.TakeTallies();
  }

  // Returns the health changes of servers since the last call.
  std::vector<ServerHealthChange> TakeHealthChanges() {
    return registry_.TakeHealthChanges();
  }

  // Authority only: returns what all hosts saw of services with a rollout since
  // the last call.
  std::map<ServiceId, RolloutSamples> TakeRolloutSamples() {
    return std::exchange(rollout_samples_, {});
  }

 private:
  // An entry host or a relay that reports here.
  struct Reporter {
    std::vector<ReadyHost> ready_hosts;
    std::uint32_t entry_hosts = 1;
    // A relay, which grants a hub's share of the rates itself.
    bool is_relay = false;
    // An entry host that has just started and knows no servers yet.
    bool has_no_servers = false;
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
  // Token requests of one workspace that a relay forwards to the leader.
  struct TokenOrders {
    struct WaitingOrder {
      HostId host;
      std::uint32_t tokens = 0;
    };
    std::deque<WaitingOrder> waiting;
    std::uint32_t unsent = 0;
    std::uint32_t outstanding = 0;
  };

  // Returns whether the registry has all servers, so that a host may forget
  // those that are not in it.
  bool RegistryIsComplete(Instant now) const;
  // Returns whether the host must wait for the registry to be complete before
  // it gets any of it, as it knows servers that the registry may lack.
  bool AwaitsRegistry(Instant now, const Reporter& reporter) const;
  FleetUpdate FillUpdate(Instant now, Reporter& host,
                         const FleetRecord& record);
  void AggregateReport(Instant now, const EntryReport& report);
  void AggregateCrashes(Instant now, const EntryReport& report);

  // fleet_hub_rollouts.cc
  bool LimitsVersions(const FleetRecord& record) const;
  void ApplyRollouts(const FleetRecord& record);
  std::optional<DispatchChoice> AssignByVersion(Instant now,
                                                const AssignmentId& id,
                                                const DispatchQuery& query);
  void AggregateSamples(const EntryReport& report);

  void GrantTokens(Instant now, const HostId& host, bool is_relay,
                   const WorkspaceId& workspace, std::uint32_t wanted);
  std::uint32_t TakeLocalTokens(Instant now, const WorkspaceId& workspace,
                                std::uint32_t wanted);
  void QueueGrant(const HostId& host, const WorkspaceId& workspace,
                  TokenGrant grant);
  void DistributeGrant(const WorkspaceId& workspace, TokenGrant grant);
  void UpdateRequestRates(Instant now, const EntryReport& report);
  std::optional<DispatchRefusal> RefuseOrDefer(Instant now,
                                               const DispatchQuery& query);
  std::uint32_t TotalEntryHosts() const;
  std::uint32_t LocalEntryHosts() const;
  void UpdateShares(Instant now);
  void UpdateZoneHubs();

  FleetHubSettings settings_;
  std::uint64_t id_;
  HubHost self_;
  bool is_leader_ = false;
  ServerRegistry registry_;
  ServerDispatcher dispatcher_;
  ForecastCache forecasts_;
  AdmissionControl admission_;
  // Tokens that this hub grants itself, and those that the leader grants to
  // hubs.
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
  std::vector<ReadyHost> fleet_hosts_;
  std::vector<HubHost> hubs_;
  // Requests per second, smoothed over about 1.5 s.
  std::map<ServiceId, double> request_rates_;
  Instant request_rates_at_;
  Instant rates_settled_at_;  // Authority only: from then on they are sent.
  std::uint32_t total_entry_hosts_ = 1;
  // Servers are limited by their versions, as `versions_` says.
  bool limits_versions_ = false;
  VersionRecord versions_;
  RolloutShare rollout_share_;
  // Authority only.
  std::map<ServiceId, RolloutSamples> rollout_samples_;
  // Version of the state that all updates share.
  std::uint64_t shared_state_version_ = 1;
  Instant next_shared_state_at_;

  // Relay only: data not yet reported to the leader.
  EntryReport pending_report_;
  std::map<WorkspaceId, TokenOrders> token_orders_;
  std::uint64_t leader_registry_id_ = 0;
  std::uint64_t leader_registry_changes_ = 0;
  bool must_report_to_leader_ = false;
  Instant last_leader_report_at_;
  std::optional<Instant> unanswered_report_at_;
  std::string leader_;
  // Ready hosts as last sent to the leader, and when they are sent again.
  std::vector<ReadyHost> reported_ready_hosts_;
  Instant next_ready_hosts_at_;

  bool has_pending_grants_ = false;
  // An entry host or the leader has sent the servers that it knows.
  bool has_server_list_ = false;
  Instant next_server_request_;
  std::optional<Instant> first_report_at_;
};

}  // namespace sapphirebank
