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

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/fleet_messages.h"
#include "sapphirebank/fleet/fleet_settings.h"
#include "sapphirebank/fleet/server_dispatcher.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/fleet_link.h"

namespace sapphirebank {

// An entry host's link to its hub, a control host, preferably of the same zone.
// Finds the hub from the seeds, sends reports, receives updates and requests
// servers. Not thread-safe: all calls must come from the thread of its event
// loop.
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
    // Returns the hubs listed in the latest update.
    std::function<const std::vector<HubHost>&()> hubs;
    // Returns the number of entry hosts of all zones.
    std::function<std::uint32_t()> entry_hosts;
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

  // Reports the outcome of an attempt that the hub assigned.
  void EndAssignment(std::uint64_t number, AssignmentOutcome outcome);

 private:
  using LinkId = FleetLink::LinkId;

  FleetLink::Hooks LinkHooks();
  void Tick();
  void ScheduleTick(Duration delay);
  void ConnectNext();
  void OnUp(LinkId link);
  void OnMessage(LinkId link, const nlohmann::json& message);
  void OnDown(LinkId link);
  void CloseLink(std::string_view cause);
  void SendReport(bool first);
  void ApplyUpdate(const FleetUpdate& update);
  bool IsBackedOff(const std::string& address, Instant now) const;
  std::string AssignedHubAddress(Instant now) const;
  bool ShouldSwitchHub(Instant now) const;
  std::vector<std::string> Candidates() const;

  boost::asio::io_context& loop_;
  FleetSettings settings_;
  Hooks hooks_;
  LogWriter& log_;
  Random random_;
  boost::asio::steady_timer timer_;
  std::optional<LinkId> link_;
  std::string hub_address_;
  bool is_connected_ = false;
  bool hub_answered_ = false;
  Instant next_switch_;
  // Hubs that failed recently, with the time until which they are avoided.
  std::map<std::string, Instant> backoff_until_;
  Instant connect_started_;
  Instant last_report_at_;
  std::uint64_t next_report_number_ = 1;
  // Send times of the unanswered reports, by number.
  std::map<std::uint64_t, Instant> unanswered_reports_;
  FleetLink links_;
};

}  // namespace sapphirebank
