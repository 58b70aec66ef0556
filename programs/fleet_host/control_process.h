#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <caf/actor_system.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "programs/fleet_host/metrics_server.h"
#include "sapphirebank/consensus/control_host.h"
#include "sapphirebank/consensus/file_system.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/call_origin.h"
#include "sapphirebank/fleet/change_gate.h"
#include "sapphirebank/fleet/control_timing.h"
#include "sapphirebank/fleet/departure_start.h"
#include "sapphirebank/fleet/fleet_call.h"
#include "sapphirebank/fleet/fleet_hub.h"
#include "sapphirebank/fleet/fleet_settings.h"
#include "sapphirebank/fleet/plan_proposals.h"
#include "sapphirebank/fleet/rollout_controller.h"
#include "sapphirebank/fleet/update_age.h"
#include "sapphirebank/fleet/zone_order.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/decision_thread.h"
#include "sapphirebank/transport/fleet_link.h"
#include "sapphirebank/transport/http_server.h"

namespace sapphirebank {

// A control host of a fleet. It keeps the replicated record and is the hub of
// the entry hosts of its zone; the leader also decides about backend servers
// and grants rate tokens. Decisions and disk access share one thread, links
// have another, and the calls of operators, backend servers and callers run on
// the event loop, so that a slow disk does not delay address lookups.
class ControlProcess {
 public:
  // Opens the data folder and starts listening. `plan_reader` parses plan
  // documents. Fails with kInvalidSettings or kStorageFailed.
  static Result<std::unique_ptr<ControlProcess>> Start(
      caf::actor_system& system, boost::asio::io_context& loop,
      const FleetSettings& settings, ControlCodec codec, PlanReader plan_reader,
      LogWriter& log);

  // Transfers the leadership if this host leads, then stops.
  ~ControlProcess();

  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

 private:
  // Receives the result of a call: the document of a read, an empty string for
  // other calls, or the error.
  using Callback = std::function<void(Result<std::string>)>;
  using LinkId = FleetLink::LinkId;

  struct Peer {
    HostId host;
    bool is_control = false;
    ZoneId zone;  // Of a control host; empty otherwise.
    Instant heard_at;
    // Of a control host.
    std::optional<ReportedUpdateAge> update_age;
    // A control host that holds back acknowledgements; earlier builds do not.
    bool gates_changes = false;
    // The same for one that serves rollouts.
    bool knows_rollouts = false;
  };

  // Addresses of the ready entry hosts.
  using AddressesByZone = std::map<ZoneId, std::vector<std::string>>;

  // A call that waits for the leader's response.
  struct PendingCall {
    // The command to replicate; nothing for a read.
    std::optional<ControlCommand> command;
    // The service of a read of a rollout; nothing for one of the plan.
    std::optional<ServiceId> rollout_of;
    // Of a departure.
    DepartureKnowledge knowledge;
    CallOrigin origin;
    Callback callback;
    Instant deadline;
    Instant not_before;   // Earliest time of the next attempt.
    std::string failure;  // Of the last attempt.
    // The leader that the call was sent to.
    std::optional<HostId> sent_to;
  };

  // A change that is committed and not acknowledged yet.
  struct HeldAcknowledgement {
    std::string name;        // In logs.
    std::string waited_for;  // The holder that was behind last, in logs.
    std::uint64_t change = 0;
    Duration bound{};
    Instant asked_at;
    Callback callback;
  };

  ControlProcess(caf::actor_system& system, boost::asio::io_context& loop,
                 const FleetSettings& settings, ControlCodec codec,
                 PlanReader plan_reader, std::unique_ptr<FileSystem> files,
                 ControlHost host, LogWriter& log,
                 std::unique_ptr<MetricsServer> metrics);

  Result<void> Listen();

  // control_process.cc
  void Tick();
  void Flush();
  // Flushes behind the steps that are queued already; an urgent flush does not
  // wait for those of entry hosts.
  void FlushSoon(bool is_urgent);
  void ApplyRecord(Instant now);
  void UpdateLeadership(Instant now);
  void ConfirmLeadership(Instant now);
  void PushUpdates(Instant now);
  void ReportToLeader(Instant now);
  void ConfirmToLeader(Instant now);
  // Returns the time since `confirmed_as_of_`, at most one hour.
  Duration StateAge(Instant now) const;
  bool IsElectingLeader(Instant now) const;
  bool MayFindLeader(Instant now) const;
  // Returns the number of voters that were heard lately, with this host.
  std::size_t VotersInContact(Instant now) const;
  bool HasNewestUpdate(Instant now) const;
  void SendUpdate(LinkId link, FleetUpdate update, Instant now);
  void PublishReady(Instant now);
  void LogCompactionOf(const LogCompaction& compaction);
  void LogHealthChanges();
  void LogShareChanges();
  void LogAdmission(Instant now);
  void LogHostsBehind(Instant now);
  void LogLateHandling(const HostId& from, Instant arrived_at);
  void UpdateMetrics(Instant now);
  void UpdateWorkMetrics(Instant now);
  void UpdateMemoryMetrics();
  void LogPlacement(const DispatchQuery& query, const Placement& placement);

  // control_process_links.cc
  FleetLink::Hooks LinkHooks();
  void OnUp(LinkId link, const HostId& host);
  void OnDown(LinkId link, const std::string& reason);
  void OnMessage(LinkId link, const HostId& from,
                 const nlohmann::json& message);
  void OnControlHello(LinkId link, Peer& peer, const nlohmann::json& message);
  void OnReport(LinkId link, const HostId& from, const nlohmann::json& message);
  void OnUpdate(const HostId& from, const nlohmann::json& message);
  bool AllHubsGateChanges() const;
  void OnServerRequest(LinkId link, const HostId& from,
                       const nlohmann::json& message);
  void OnCallDone(const nlohmann::json& message);
  void UpdateMembership(Instant now);
  bool TurnAway(LinkId link, const Peer& peer);
  std::vector<HostId> ControlPeers() const;
  bool IsMemberHost(const HostId& host) const;
  void UpdateHubList();
  void OnPeerCall(LinkId link, const nlohmann::json& message);
  void Send(const std::vector<PeerEnvelope>& messages);
  void SendToControl(const nlohmann::json& message);
  void ConnectToOthers(Instant now);
  std::optional<LinkId> LinkTo(const HostId& host) const;

  // control_process_rollouts.cc
  static bool ConcernsRollouts(const PendingCall& call);
  // Returns whether a failure is the answer to a call of an operator about
  // rollouts; other calls are sent again until their deadline.
  static bool IsRefusal(ErrorKind kind);
  bool AllHubsKnowRollouts() const;
  bool LeaderKnowsRollouts() const;
  void ApplyRollouts(Instant now);
  void DecideRollouts(Instant now);
  RolloutConditions ConditionsOf(Instant now, const Rollout& rollout) const;
  // Returns the versions whose servers get all requests of the service.
  std::set<std::string> VersionsInUse(const ServiceId& service) const;
  void ReadRollout(const ServiceId& service, Callback callback);
  void OrderRollout(const StartRollout& order, Callback callback);
  void CheckAndStartRollout(StartRollout order, const Callback& callback);
  void UpdateRolloutMetrics();

  // control_process_calls.cc
  // Returns the limit of a call's body in bytes. Refuses a longer one before it
  // is read.
  Result<std::uint64_t> AcceptCallHead(const HttpRequestHead& head) const;
  boost::asio::awaitable<HttpAnswer> Serve(HttpRequest request);
  void Execute(FleetCall call, const CallOrigin& origin, Callback callback);
  void EnqueueCall(std::optional<ControlCommand> command,
                   const CallOrigin& origin, Callback callback);
  void EnqueueRolloutRead(const ServiceId& service, Callback callback);
  Callback LogAcknowledgement(const ControlCommand& command, Callback callback);
  void ProcessPendingCalls(Instant now);
  // Returns why a call must not be sent to the leader any more, or nothing.
  std::string_view ReasonNotToSend(Instant now, const PendingCall& call) const;
  void RetryLater(PendingCall& call);
  // Answers a call with the result of an attempt, or sends it again later.
  void EndAttempt(std::uint64_t number, Result<std::string> result);
  // `knowledge` is what the control host that got the call knows of a server
  // that leaves.
  void ExecuteAsLeader(std::optional<ControlCommand> command,
                       const DepartureKnowledge& knowledge,
                       const Callback& callback);
  void Propose(Instant now, const ControlCommand& command,
               const Callback& callback);
  // `change` is the proposed command without a plan's document.
  void EndProposal(const ControlCommand& change, Instant proposed_at,
                   const Completion& completion, const Callback& callback);
  void EndPlanProposal(PlanVersion version, const Completion& completion);
  void OrderZone(const ZoneOrder& order, const Callback& callback);
  void DecideZoneOrder(const ZoneOrder& order, const Callback& callback);
  // Returns the number of the change with which the record contains the effect
  // of `command`, or nothing if it does not.
  std::optional<std::uint64_t> AppliedChange(
      const ControlCommand& command) const;
  // Returns the time from the acknowledgement of the change until no host may
  // act without it.
  Duration BoundFor(const ControlCommand& command) const;
  void AcknowledgeWhenSafe(const ControlCommand& command, Callback callback);
  void ReleaseAcknowledgements(Instant now);
  DepartureKnowledge KnowledgeOf(const BackendId& server);
  void OnServerHeartbeat(const ServerAnnouncement& server);
  std::vector<std::string> AddressesFor(const ZoneId& zone);

  Instant Now() const;

  FleetSettings settings_;
  HostId self_;
  ControlCodec codec_;
  PlanReader plan_reader_;
  LogWriter& log_;
  std::unique_ptr<MetricsServer> metrics_;
  boost::asio::io_context& loop_;

  // Accessed by the decision thread only.
  std::unique_ptr<FileSystem> files_;
  ControlHost host_;
  FleetHub hub_;
  std::shared_ptr<const TrafficPlan> plan_;
  std::map<LinkId, Peer> peers_;
  std::map<std::string, LinkId> connecting_;
  std::map<RequestToken, std::function<void(Completion)>> completions_;
  std::map<std::uint64_t, PendingCall> pending_;
  ChangeGate gate_;
  RolloutController rollouts_;
  Instant next_rollout_check_;
  std::vector<HeldAcknowledgement> held_acknowledgements_;
  LatestStartClock latest_start_;
  SuspensionWatch suspension_{kControlCallTimeout};
  ZoneOrderGate zone_orders_;     // Of the leader.
  PlanProposals plan_proposals_;  // Of the leader.
  // What the leader said of itself and the other control hosts.
  bool leader_gates_changes_ = false;
  std::uint64_t reported_applied_ = 0;
  Instant next_confirmation_;
  Instant next_behind_log_at_;
  Instant next_late_log_at_;
  std::vector<ReadyHost> ready_hosts_;
  std::vector<ReadyHost> listed_hosts_;  // Those in published_addresses_.
  Instant started_at_;
  // The members of the control group as of the last look, and whether this host
  // is one of them.
  GroupMembership known_membership_;
  bool is_member_ = false;
  Instant next_outside_log_at_;
  std::optional<HostId> known_leader_;
  Instant leader_changed_at_;
  RequestToken next_token_ = 1;
  std::uint64_t next_call_ = 1;
  bool is_leader_ = false;
  bool flush_is_posted_ = false;
  bool urgent_flush_is_posted_ = false;
  // The record contains every command accepted before this time. Advanced by
  // this host's own leadership confirmations, or by updates of the leader.
  Instant confirmed_as_of_;
  bool has_newest_update_ = false;
  bool is_confirming_ = false;
  Instant next_confirm_;
  std::optional<Instant> last_tick_at_;
  Instant next_connect_;
  Instant next_ping_;
  Instant next_push_;
  Instant next_ready_check_;
  Instant next_publish_;
  Instant next_metrics_;
  // As last added to the metrics.
  PlacementCounts placement_counts_{};
  Instant next_admission_log_;

  // Send times of the unanswered reports to the leader, by number.
  std::map<std::uint64_t, Instant> unanswered_reports_;
  std::uint64_t next_report_number_ = 1;
  bool is_first_report_ = true;
  // Confirmation from the leader that takes effect once this host has applied
  // `record` changes.
  struct PendingConfirmation {
    std::uint64_t record = 0;
    Instant as_of;
  };
  std::optional<PendingConfirmation> pending_confirmation_;

  // Written by the decision thread and read by the event loop, with atomic
  // accesses.
  std::shared_ptr<const AddressesByZone> published_addresses_;
  Random random_;  // Accessed by the event loop only.

  // Links to peers that introduced themselves as control hosts. Accessed by the
  // links' thread only.
  std::set<LinkId> control_links_;

  DecisionThread thread_;
  FleetLink links_;
  std::optional<HttpServer> control_server_;
  std::optional<HttpServer> directory_server_;
};

}  // namespace sapphirebank
