#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "sapphirebank/core/error.h"
#include "sapphirebank/fleet/fleet_settings.h"
#include "sapphirebank/telemetry/fleet_metrics.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/http_server.h"

namespace sapphirebank {

// Serves the metrics of a host of the fleet on GET /metrics, if the settings
// include an address for it.
class MetricsServer {
 public:
  // Fails with kInvalidSettings when the address cannot be listened on.
  static Result<std::unique_ptr<MetricsServer>> Listen(
      boost::asio::io_context& loop, const FleetSettings& settings,
      const LogWriter& log);

  FleetMetrics& metrics() { return *metrics_; }

  // Sets a callback that updates gauges. It runs on the event loop before each
  // response.
  void set_refresh(std::function<void()> refresh) {
    refresh_ = std::move(refresh);
  }

 private:
  MetricsServer(std::unique_ptr<FleetMetrics> metrics, const LogWriter& log)
      : metrics_(std::move(metrics)), log_(log) {}

  boost::asio::awaitable<HttpAnswer> Answer(HttpRequest request);

  std::unique_ptr<FleetMetrics> metrics_;
  const LogWriter& log_;
  std::function<void()> refresh_;
  std::optional<HttpServer> server_;
};

}  // namespace sapphirebank
