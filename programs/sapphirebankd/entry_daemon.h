#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <caf/actor_system.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "programs/sapphirebankd/process.h"
#include "sapphirebank/config/configuration_follower.h"
#include "sapphirebank/config/daemon_settings.h"
#include "sapphirebank/entry/control_client.h"
#include "sapphirebank/entry/entry_control.h"
#include "sapphirebank/entry/entry_traffic.h"
#include "sapphirebank/membership/freshness_monitor.h"
#include "sapphirebank/membership/membership.h"
#include "sapphirebank/request/lookup.h"
#include "sapphirebank/telemetry/fleet_metrics.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/datagram_socket.h"
#include "sapphirebank/transport/decision_thread.h"
#include "sapphirebank/transport/fleet_link.h"
#include "sapphirebank/transport/http_server.h"
#include "sapphirebank/transport/request_proxy.h"

namespace sapphirebank {

// Runs an entry host in a daemon process. It uses four threads: the event loop
// for callers, backend servers and datagrams (run by the caller of Start()),
// the links' thread, the control thread (leases, membership, configuration) and
// the traffic thread (dispatch, rates, backend health). Threads communicate by
// posting functions to one another; each member belongs to one thread unless
// its comment says otherwise.
class EntryDaemon {
 public:
  // Opens the ports and starts the threads. Fails with kInvalidSettings.
  static Result<std::unique_ptr<EntryDaemon>> Start(
      caf::actor_system& system, boost::asio::io_context& loop,
      const DaemonSettings& settings, FleetSecret secret, LogWriter& log);

  ~EntryDaemon();

  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  // Begins a graceful shutdown; calls `done` on the event loop once no request
  // is active and this host has released its leases. On the event loop only.
  void Drain(std::function<void()> done);

 private:
  template <typename T>
  using Callback = RequestProxyHooks::Callback<T>;

  EntryDaemon(caf::actor_system& system, boost::asio::io_context& loop,
              const DaemonSettings& settings, EntryControl control,
              EntryTraffic traffic, Membership membership,
              FreshnessMonitor freshness, std::unique_ptr<FleetMetrics> metrics,
              FleetSecret secret, LogWriter& log);

  Result<void> OpenPorts();
  Result<void> Open(std::optional<HttpServer>& server, const Endpoint& local,
                    HttpServer::Hooks hooks);
  HttpServerSettings ServerSettings(const Endpoint& local) const;
  RequestProxyHooks ProxyHooks();
  FleetLink::Hooks LinkHooks();

  // On the event loop.
  Result<std::uint64_t> AcceptCallerHead(const HttpRequestHead& head) const;
  boost::asio::awaitable<HttpAnswer> HandleCaller(HttpRequest request);
  boost::asio::awaitable<HttpAnswer> HandleLookup(std::string service);
  boost::asio::awaitable<HttpAnswer> HandleAnnouncement(HttpRequest request);
  boost::asio::awaitable<HttpAnswer> HandleMetrics(HttpRequest request);
  boost::asio::awaitable<void> Probe(ProbeRequest probe);
  void AwaitIdle(std::function<void()> done);

  // On the control thread.
  void TickControl();
  void OnDatagram(const HostId& from, const std::string& type,
                  const nlohmann::json& body, const Endpoint& sender);
  void ExecuteEffects(MembershipEffects effects);
  void UpdateMembers();
  void TickFreshness();
  void OnWitnessMessage(const HostId& from, const std::string& type,
                        const nlohmann::json& body);
  void OnStamp(const HostId& from, const nlohmann::json& message);
  void PollControl();
  void ReportToControl();
  void OnLinkUp(FleetLink::LinkId link, const HostId& peer);
  void OnLinkMessage(FleetLink::LinkId link, const HostId& from,
                     const nlohmann::json& message);
  void HandleLinkMessage(FleetLink::LinkId link, const HostId& from,
                         const nlohmann::json& message);
  void OnLinkDown(FleetLink::LinkId link, const std::string& reason);
  void OnConfiguration(const nlohmann::json& message);
  void ApplyConfiguration();
  void ConnectToControl();
  void ConnectToPeer();
  void ExecuteEffects(ControlClient::Effects effects);
  void ExecuteEffects(EntryEffects effects);
  void Log(const EntryEffects& effects);

  // On the traffic thread.
  void ExecuteEffects(TrafficEffects effects);

  // Updates the metrics for a finished request. Called on the event loop.
  void Count(const ServiceId& service, const ErrorKind* kind, Duration added);

  boost::asio::io_context& loop_;
  DaemonSettings settings_;
  LogWriter& log_;
  FleetSecret secret_;
  std::unique_ptr<FleetMetrics> metrics_;
  std::shared_ptr<const RouteTable> table_;  // Access by std::atomic_load.
  std::atomic<bool> draining_{false};
  // Guards freshness_, which is read for each request on the event loop and
  // updated on the control thread.
  std::mutex freshness_mutex_;
  FreshnessMonitor freshness_;

  // Used on the control thread.
  EntryControl control_;
  Membership membership_;
  std::uint64_t view_version_ = 0;
  std::map<HostId, Instant> live_since_;
  // The "asked" time of the last stamp from each control host, echoed in the
  // next poll.
  std::map<HostId, std::int64_t> stamp_echo_times_;
  Instant next_poll_;
  Instant next_report_;
  ControlClient control_client_;
  ConfigurationFollower configuration_follower_;
  Configuration configuration_;
  std::optional<WallTime> next_zone_plan_;
  std::map<HostId, FleetLink::LinkId> control_links_;
  std::map<HostId, FleetLink::LinkId> outgoing_links_;
  FleetLink::LinkId peer_link_ = 0;  // To another entry host; 0 if none.
  std::size_t next_peer_ = 0;
  std::map<ControlClient::Token, Callback<Result<ClaimResult>>> pending_claims_;
  ControlClient::Token next_token_ = 1;
  Instant next_connect_;

  // Used on the traffic thread.
  EntryTraffic traffic_;
  std::unordered_map<DispatchId, Callback<DispatchDecision>>
      pending_dispatches_;
  std::unordered_map<RateAdmission::RequestNumber, Callback<Result<void>>>
      pending_admissions_;
  RateAdmission::RequestNumber next_admission_number_ = 1;

  // Used on the event loop.
  std::map<HostId, Endpoint> datagram_addresses_;
  std::vector<LookupHost> lookup_hosts_;
  Random random_{RandomSeed()};
  std::optional<DatagramSocket> datagrams_;
  std::unique_ptr<RequestProxy> proxy_;
  HttpClient probe_client_;
  std::optional<HttpServer> caller_server_;
  std::optional<HttpServer> forward_server_;
  std::optional<HttpServer> announcement_server_;
  std::optional<HttpServer> metrics_server_;

  DecisionThread control_thread_;
  DecisionThread traffic_thread_;
  FleetLink links_;
};

}  // namespace sapphirebank
