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
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/fleet_link.h"

namespace sapphirebank {

// An entry host's link to the leading control host: finds it from the seeds,
// reports, and takes updates. Used on one event loop only.
class EntryLink {
 public:
  struct Hooks {
    // Fills in what is to be reported; `first` asks for all known servers.
    std::function<EntryReport(bool first)> report;
    // Takes an update; `asked_at` is when the report that it answers was sent.
    std::function<void(std::optional<Instant> asked_at, const FleetUpdate&)>
        update;
    // The leader is out of reach from now on, or within reach again.
    std::function<void(bool)> in_reach;
    // Returns the seeds as the settings name them now.
    std::function<std::vector<Endpoint>()> seeds;
  };

  EntryLink(boost::asio::io_context& loop, const FleetSettings& settings,
            Hooks hooks, LogWriter& log);

  // Starts to look for the leader.
  void Start();

  // Reports at once when the leader is in reach; otherwise the next report
  // says it.
  void ReportNow();

  // Returns whether the leader answers.
  bool in_reach() const { return in_reach_; }

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
  void SetInReach(bool in_reach);
  std::vector<std::string> Candidates() const;

  boost::asio::io_context& loop_;
  FleetSettings settings_;
  Hooks hooks_;
  LogWriter& log_;
  Random random_;
  boost::asio::steady_timer timer_;
  // Control hosts that were named by others.
  std::vector<std::string> learned_;
  // Where the leader is said to be.
  std::optional<std::string> hint_;
  std::optional<LinkId> link_;
  std::string link_host_;
  std::string last_tried_;
  bool is_up_ = false;
  bool in_reach_ = false;
  bool leader_answered_ = false;
  Instant connect_started_;
  Instant last_report_;
  std::uint64_t next_report_ = 1;
  // Reports without an answer, with the time at which they were sent.
  std::map<std::uint64_t, Instant> unanswered_;
  FleetLink links_;
};

}  // namespace sapphirebank
