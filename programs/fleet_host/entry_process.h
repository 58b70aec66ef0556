#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "programs/fleet_host/entry_codec.h"
#include "programs/fleet_host/entry_link.h"
#include "programs/fleet_host/entry_request_handler.h"
#include "programs/fleet_host/entry_state.h"
#include "programs/fleet_host/metrics_server.h"
#include "sapphirebank/fleet/drain_schedule.h"
#include "sapphirebank/fleet/fleet_settings.h"
#include "sapphirebank/transport/http_server.h"

namespace sapphirebank {

// An entry host of a fleet whose configuration and backend servers come from
// its control hosts. One event loop serves callers and applies updates; links
// run on a thread of their own.
class EntryProcess {
 public:
  // Starts listening and the search for a hub. `seeds` returns the seeds
  // currently in the settings. Fails with kInvalidSettings.
  static Result<std::unique_ptr<EntryProcess>> Start(
      boost::asio::io_context& loop, const FleetSettings& settings,
      EntryCodec codec, PlanReader plan_reader,
      std::function<std::vector<Endpoint>()> seeds, LogWriter& log);

  // Shuts down gracefully within the grace time: reports itself as not ready,
  // serves callers for a part of that time since they cache addresses, then
  // finishes the requests in progress, answers those that are still running
  // near its end, and calls `done`.
  void Drain(std::function<void()> done);

 private:
  EntryProcess(boost::asio::io_context& loop, const FleetSettings& settings,
               EntryCodec codec, PlanReader plan_reader, ServerPathMonitor path,
               std::function<std::vector<Endpoint>()> seeds, LogWriter& log,
               std::unique_ptr<MetricsServer> metrics);

  Result<void> Listen();
  void RefreshMetrics();
  EntryReport BuildReport(bool first);
  void ScheduleReport();
  Result<void> ApplyUpdate(std::optional<Instant> asked_at,
                           const FleetUpdate& update);
  bool IsReady() const;
  // Calls `done` when no request is active, at the latest when the schedule
  // ends.
  void AwaitIdle(Instant signal, const DrainSchedule& schedule,
                 std::function<void()> done);

  boost::asio::io_context& loop_;
  FleetSettings settings_;
  LogWriter& log_;
  std::unique_ptr<MetricsServer> metrics_;
  EntryState state_;
  EntryRequestHandler requests_;
  boost::asio::steady_timer timer_;
  std::optional<HttpServer> caller_server_;
  // Requests that other entry hosts send here.
  std::optional<HttpServer> detour_server_;
  std::optional<HttpServer> readiness_server_;
  bool draining_ = false;
  bool report_is_posted_ = false;
  EntryLink link_;
};

}  // namespace sapphirebank
