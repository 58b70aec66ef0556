#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/fleet_settings.h"
#include "sapphirebank/fleet/hub_selector.h"
#include "sapphirebank/fleet/server_dispatcher.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/fleet_link.h"

namespace sapphirebank {

// An entry host's link to its hub, a control host, preferably of the same zone.
// Probes the hubs that HubSelector names and reports to the one that it
// chooses, receives updates and requests servers. Not thread-safe: all calls
// must come from the thread of its event loop.
class EntryLink {
 public:
  struct Hooks {
    // Builds the next report; the `first` one to a hub lists all known servers.
    std::function<EntryReport(bool first)> report;
    // Handles an update; `asked_at` is when the report that it answers was
    // sent. Fails when the update cannot be applied, with kNotLeader when the
    // hub is behind this host.
    std::function<Result<void>(std::optional<Instant> asked_at,
                               const FleetUpdate&)>
        update;
    // Handles the hub's choice of a server, whose id is empty when it has none.
    std::function<void(std::uint64_t number, const DispatchChoice&)>
        server_assigned;
    // Returns the age of this host's last leader update.
    std::function<Duration(Instant now)> leader_update_age;
    // Returns the change of the record up to which this host acts on it.
    std::function<std::uint64_t()> applied_changes;
    // Returns the seeds currently in the settings.
    std::function<std::vector<Endpoint>()> seeds;
  };

  EntryLink(boost::asio::io_context& loop, const FleetSettings& settings,
            Hooks hooks, LogWriter& log);

  // Starts the search for a hub.
  void Start();

  // Sends a report at once if a hub is connected; otherwise the next report
  // carries its content.
  void ReportNow();

  // Requests a server for an attempt from the hub. Returns false when no hub is
  // connected.
  bool RequestServer(std::uint64_t number, const DispatchQuery& query);

  // Returns the address of the hub, or an empty one.
  const std::string& hub() const { return selector_.hub(); }

  // Reports the outcome of an attempt that the hub assigned.
  void EndAssignment(std::uint64_t number, AssignmentOutcome outcome);

 private:
  using LinkId = FleetLink::LinkId;

  // A connection to a hub whose state is not known yet.
  struct Probe {
    std::string address;
    Instant started_at;
  };

  FleetLink::Hooks LinkHooks();
  void Tick();
  void ScheduleTick(Duration delay);
  void StartProbes(Instant now);
  std::vector<std::string> SeedAddresses() const;
  void DropOverdueProbes(Instant now);
  void OnMessage(LinkId link, const nlohmann::json& message);
  void OnHubState(LinkId link, const nlohmann::json& message);
  void OnDown(LinkId link);
  void Adopt(LinkId link, const HubState& state);
  void LoseHub(std::string_view cause);
  void LogProbeFailure(Instant now, const Probe& probe, std::string_view cause);
  void SendReport(bool first);
  void ConfirmChanges(Instant now);
  void ConfirmToFormerHub(std::uint64_t applied);
  void KeepFormerLink(Instant now);
  void CloseFormerLink();
  void ApplyUpdate(const FleetUpdate& update);

  boost::asio::io_context& loop_;
  FleetSettings settings_;
  Hooks hooks_;
  LogWriter& log_;
  HubSelector selector_;
  boost::asio::steady_timer timer_;
  Instant next_tick_at_;
  // The link to the hub; none while there is no hub.
  std::optional<LinkId> link_;
  bool hub_answered_ = false;
  // The link to the hub before. That hub counts on this host until the lease
  // that it gave cannot outlast any bound.
  std::optional<LinkId> former_link_;
  Instant close_former_at_;
  std::map<LinkId, Probe> probes_;
  Instant last_report_at_;
  // The change that the hub was told last to be applied here, and when.
  std::uint64_t confirmed_changes_ = 0;
  Instant last_confirmation_at_;
  std::uint64_t next_report_number_ = 1;
  // Send times of the unanswered reports, by number.
  std::map<std::uint64_t, Instant> unanswered_reports_;
  FleetLink links_;
};

}  // namespace sapphirebank
