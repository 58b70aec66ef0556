#pragma once

#include <atomic>
#include <caf/actor_system.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "sapphirebank/config/daemon_settings.h"
#include "sapphirebank/config/declarations.h"
#include "sapphirebank/consensus/control_host.h"
#include "sapphirebank/consensus/control_response.h"
#include "sapphirebank/consensus/posix_file_system.h"
#include "sapphirebank/membership/in_force_tracker.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/decision_thread.h"
#include "sapphirebank/transport/fleet_link.h"
#include "sapphirebank/transport/operator_messages.h"

namespace sapphirebank {

// A control host as a process: feeds a ControlHost with time, messages of the
// links and operators' requests, and sends what it decides.
class ControlDaemon {
 public:
  using Callback = std::function<void(Completion)>;

  // Opens the data folder and the ports. Fails with kInvalidSettings or
  // kStorageFailed.
  static Result<std::unique_ptr<ControlDaemon>> Start(
      caf::actor_system& system, const DaemonSettings& settings,
      FleetSecret secret, LogWriter& log);

  // Hands the leadership on and ends.
  ~ControlDaemon();

  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  // Proposes a command; `callback` is called on the decision thread. May be
  // called on any thread.
  void Propose(ControlCommand command, Callback callback);

  // Calls `callback` once the state is as current as this call.
  void Read(Callback callback);

  // Runs `step` on the decision thread.
  void Post(std::function<void()> step);

  // Returns the fleet as this host knows it. On the decision thread only.
  FleetStatus Status();

  // Returns the backend servers as their owners last told. On the decision
  // thread only.
  std::vector<BackendStatus> Backends() const;

  // Returns the declarations in force here. On any thread.
  std::shared_ptr<const Declarations> declarations() const {
    return std::atomic_load(&declarations_);
  }

  // Returns the control state. On the decision thread only.
  const ControlState& state() const { return host_.state(); }

 private:
  struct Peer {
    HostId host;
    bool subscribed = false;
    Revision sent = 0;      // Up to which the declarations were sent.
    Revision in_force = 0;  // As the peer says.
    ZoneId zone;
    std::vector<BackendStatus> backends;
    std::vector<LeaseStatus> leases;
  };

  ControlDaemon(caf::actor_system& system, const DaemonSettings& settings,
                std::unique_ptr<FileSystem> files, ControlHost host,
                FleetSecret secret, LogWriter& log);

  FleetLink::Hooks LinkHooks();
  void Tick();
  void FlushSoon();
  void Flush();
  void Send(const std::vector<PeerEnvelope>& messages);
  void ConnectToOthers();
  void OnMessage(FleetLink::LinkId link, const HostId& from,
                 const nlohmann::json& message);
  void OnCommand(FleetLink::LinkId link, const nlohmann::json& message);
  void SendDeclarations(FleetLink::LinkId link, Peer& peer);
  void OnPoll(FleetLink::LinkId link, const nlohmann::json& message);
  void OnReport(FleetLink::LinkId link, const nlohmann::json& message);
  void AdoptDeclarations();

  DaemonSettings settings_;
  LogWriter& log_;
  std::unique_ptr<FileSystem> files_;
  ControlHost host_;
  std::shared_ptr<const Declarations> declarations_;  // By std::atomic_load.
  // Unset when the settings name no lease voters.
  std::optional<InForceTracker> in_force_;
  RequestToken next_token_ = 1;
  std::map<RequestToken, Callback> callbacks_;
  std::map<FleetLink::LinkId, Peer> peers_;
  // Links to other control hosts that this one opened, also while they are not
  // up yet.
  std::map<HostId, FleetLink::LinkId> outgoing_;
  bool flush_is_posted_ = false;
  Instant next_connect_;
  DecisionThread thread_;
  FleetLink links_;
};

}  // namespace sapphirebank
