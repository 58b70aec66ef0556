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

// An entry host's link to its hub, a control host of its zone if there is one:
// finds it from the seeds, reports, takes updates and asks for servers. Used on
// one event loop only.
class EntryLink {
 public:
  struct Hooks {
    // Fills in what is to be reported; `first` asks for all known servers.
    std::function<EntryReport(bool first)> report;
    // Takes an update; `asked_at` is when the report that it answers was sent.
    // Fails when the hub is of no use.
    std::function<Result<void>(std::optional<Instant> asked_at,
                               const FleetUpdate&)>
        update;
    // Takes the hub's choice of a server; empty when it has none.
    std::function<void(std::uint64_t number, const DispatchChoice&)> use;
    // Returns the hubs that were named last.
    std::function<const std::vector<HubHost>&()> hubs;
    // Returns the seeds as the settings name them now.
    std::function<std::vector<Endpoint>()> seeds;
  };

  EntryLink(boost::asio::io_context& loop, const FleetSettings& settings,
            Hooks hooks, LogWriter& log);

  // Starts to look for a hub.
  void Start();

  // Reports at once when a hub is in reach; otherwise the next report says it.
  void ReportNow();

  // Asks for a server near this host. Returns false when no hub is in reach.
  bool Ask(std::uint64_t number, const DispatchQuery& query);

  // Tells that the request that was assigned is over.
  void End(std::uint64_t number, AssignmentOutcome end);

 private:
  using LinkId = FleetLink::LinkId;

  FleetLink::Hooks LinkHooks();
  void Tick();
  void ScheduleTick(Duration delay);
  void ConnectNext();
  void OnUp(LinkId link);
  void OnMessage(LinkId link, const nlohmann::json& message);
  void OnDown(LinkId link);
  void Drop(std::string_view cause);
  void SendReport(bool first);
  void TakeUpdate(const FleetUpdate& update);
  bool ShouldMove(Instant now) const;
  std::vector<std::string> Candidates() const;

  boost::asio::io_context& loop_;
  FleetSettings settings_;
  Hooks hooks_;
  LogWriter& log_;
  Random random_;
  boost::asio::steady_timer timer_;
  std::optional<LinkId> link_;
  std::string link_host_;
  bool is_up_ = false;
  bool hub_answered_ = false;
  Instant next_move_;
  // Hubs that failed lately, with the time until which they are passed over.
  std::map<std::string, Instant> passed_over_;
  Instant connect_started_;
  Instant last_report_;
  std::uint64_t next_report_ = 1;
  // Reports without an answer, with the time at which they were sent.
  std::map<std::uint64_t, Instant> unanswered_;
  FleetLink links_;
};

}  // namespace sapphirebank
