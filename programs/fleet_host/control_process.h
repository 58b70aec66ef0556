#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <caf/actor_system.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "programs/fleet_host/metrics_server.h"
#include "sapphirebank/consensus/control_host.h"
#include "sapphirebank/consensus/file_system.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/fleet_call.h"
#include "sapphirebank/fleet/fleet_hub.h"
#include "sapphirebank/fleet/fleet_settings.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/decision_thread.h"
#include "sapphirebank/transport/fleet_link.h"
#include "sapphirebank/transport/http_server.h"

namespace sapphirebank {

// A control host of a fleet that learns everything from its control hosts: it
// keeps the replicated record and is the hub of entry hosts of its zone; while
// it leads it is also the authority on servers and tokens. Decisions and the
// disk have one thread, links another, and the calls of operators, backend
// servers and callers the event loop, so that a slow disk does not keep callers
// from their addresses.
class ControlProcess {
 public:
  // `plan_reader` reads the documents of plans. Fails with kInvalidSettings or
  // kStorageFailed.
  static Result<std::unique_ptr<ControlProcess>> Start(
      caf::actor_system& system, boost::asio::io_context& loop,
      const FleetSettings& settings, ControlCodec dialect,
      PlanReader plan_reader, LogWriter& log);

  // Hands the leadership on and stops.
  ~ControlProcess();

  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

 private:
  // The end of a call: the document that was read, or an empty text.
  using Callback = std::function<void(Result<std::string>)>;
  using LinkId = FleetLink::LinkId;

  struct Peer {
    HostId host;
    bool is_control = false;
    ZoneId zone;  // Of a control host.
    Instant heard_at;
  };

  // A call that waits for the leader.
  struct Pending {
    // What is to be agreed on; a read without one.
    std::optional<ControlCommand> command;
    Callback callback;
    Instant deadline;
    Instant not_before;
    // The leader that it was sent to.
    std::optional<HostId> sent_to;
  };

  ControlProcess(caf::actor_system& system, boost::asio::io_context& loop,
                 const FleetSettings& settings, ControlCodec dialect,
                 PlanReader plan_reader, std::unique_ptr<FileSystem> files,
                 ControlHost host, LogWriter& log,
                 std::unique_ptr<MetricsServer> metrics);

  Result<void> Listen();

  // control_process.cc
  void Tick();
  void Flush();
  void FlushSoon();
  void FollowRecord(Instant now);
  void FollowLeadership(Instant now);
  void ConfirmLeadership(Instant now);
  void PushNews(Instant now);
  void ReportUp(Instant now);
  Duration Age(Instant now) const;
  void SendUpdate(LinkId link, FleetUpdate update, Instant now);
  void PublishReady(Instant now);
  void LogJudgements();
  void UpdateMetrics(Instant now);

  // control_process_links.cc
  FleetLink::Hooks LinkHooks();
  void OnUp(LinkId link, const HostId& host);
  void OnDown(LinkId link, const std::string& reason);
  void OnMessage(LinkId link, const HostId& from,
                 const nlohmann::json& message);
  void OnControl(Peer& peer, const nlohmann::json& message);
  void OnReport(LinkId link, const HostId& from, const nlohmann::json& message);
  void OnUpdate(const HostId& from, const nlohmann::json& message);
  void OnAsk(LinkId link, const HostId& from, const nlohmann::json& message);
  void OnDone(const nlohmann::json& message);
  void TellHubs();
  void OnPeerCall(LinkId link, const nlohmann::json& message);
  void Send(const std::vector<PeerEnvelope>& messages);
  void SendToControl(const nlohmann::json& message);
  void ConnectToOthers(Instant now);
  std::optional<LinkId> LinkTo(const HostId& host) const;

  // control_process_calls.cc
  boost::asio::awaitable<HttpAnswer> Serve(HttpRequest request);
  void Execute(FleetCall call, Callback callback);
  void Ask(std::optional<ControlCommand> command, Callback callback);
  void Advance(Instant now);
  void AskAgainLater(Pending& call);
  void Decide(std::optional<ControlCommand> command, const Callback& callback);
  bool IsDone(const ControlCommand& command) const;
  ControlCommand Complete(ControlCommand command) const;
  void HearServer(const ServerAnnouncement& server);
  std::vector<std::string> AddressesFor(const ZoneId& zone);

  Instant Now() const;

  FleetSettings settings_;
  HostId self_;
  ControlCodec dialect_;
  PlanReader plan_reader_;
  LogWriter& log_;
  std::unique_ptr<MetricsServer> metrics_;
  boost::asio::io_context& loop_;

  // Of the decision thread.
  std::unique_ptr<FileSystem> files_;
  ControlHost host_;
  FleetHub hub_;
  std::shared_ptr<const TrafficPlan> plan_;
  std::map<LinkId, Peer> peers_;
  std::map<std::string, LinkId> connecting_;
  std::map<Token, std::function<void(Completion)>> completions_;
  std::map<std::uint64_t, Pending> pending_;
  std::vector<ReadyHost> ready_;
  std::optional<HostId> known_leader_;
  Token next_token_ = 1;
  std::uint64_t next_call_ = 1;
  bool leads_ = false;
  bool flush_is_posted_ = false;
  // As of when everything that was accepted is in the record: by this host's
  // own proof that it leads, or by the leader's word.
  Instant confirmed_at_;
  bool confirming_ = false;
  Instant next_confirm_;
  Instant next_connect_;
  Instant next_ping_;
  Instant next_push_;
  Instant next_publish_;
  Instant next_metrics_;

  // Reports to the leader without an answer, with the time of sending.
  std::map<std::uint64_t, Instant> reports_up_;
  std::uint64_t next_report_up_ = 1;
  Instant last_report_up_;
  bool first_report_up_ = true;
  // A word of the leader that counts once the record has come as far.
  struct Word {
    std::uint64_t record = 0;
    Instant as_of;
  };
  std::optional<Word> word_;

  // Shared: written by the decision thread, read by the event loop.
  std::shared_ptr<const std::vector<ReadyHost>> published_;
  Random random_;  // Of the event loop.

  DecisionThread thread_;
  FleetLink links_;
  std::optional<HttpServer> control_server_;
  std::optional<HttpServer> directory_server_;
};

}  // namespace sapphirebank
