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

// Runs a ControlHost in a daemon process: passes it the clock, messages from
// the links and operators' requests, and sends the messages that it produces.
class ControlDaemon {
 public:
  using Callback = std::function<void(Completion)>;

  // Opens the data folder and the fleet port and starts the host. Fails with
  // kInvalidSettings or kStorageFailed.
  static Result<std::unique_ptr<ControlDaemon>> Start(
      caf::actor_system& system, const DaemonSettings& settings,
      FleetSecret secret, LogWriter& log);

  // Transfers leadership, if this host leads, and stops.
  ~ControlDaemon();

  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  // Proposes a command; `callback` is called on the decision thread.
  // Thread-safe.
  void Propose(ControlCommand command, Callback callback);

  // Linearizable read: calls `callback` on the decision thread once the local
  // state includes every change that was committed before this call.
  void Read(Callback callback);

  // Runs `step` on the decision thread.
  void Post(std::function<void()> step);

  // Returns the state of the fleet as known to this host. On the decision
  // thread only.
  FleetStatus Status();

  // Returns the backend servers as last reported by their owners. On the
  // decision thread only.
  std::vector<BackendStatus> Backends() const;

  // Returns the declarations in force on this host, or null. Thread-safe.
  std::shared_ptr<const Declarations> declarations() const {
    return std::atomic_load(&declarations_);
  }

  // Returns the control state. On the decision thread only.
  const ControlState& state() const { return host_.state(); }

 private:
  struct Peer {
    HostId host;
    bool subscribed = false;
    Revision sent = 0;      // Latest revision sent to the peer.
    Revision in_force = 0;  // As reported by the peer.
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
  std::unique_ptr<FileSystem> file_system_;
  ControlHost host_;
  std::shared_ptr<const Declarations>
      declarations_;  // Access by std::atomic_load.
  // Not set when the settings name no lease voters.
  std::optional<InForceTracker> in_force_;
  RequestToken next_token_ = 1;
  std::map<RequestToken, Callback> callbacks_;
  std::map<FleetLink::LinkId, Peer> peers_;
  // Links to other control hosts that this one opened, including those that are
  // still connecting.
  std::map<HostId, FleetLink::LinkId> outgoing_;
  bool flush_is_posted_ = false;
  Instant next_connect_;
  DecisionThread thread_;
  FleetLink links_;
};

}  // namespace sapphirebank
