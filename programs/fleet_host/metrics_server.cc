#include "programs/fleet_host/metrics_server.h"

#include <utility>

namespace sapphirebank {

Result<std::unique_ptr<MetricsServer>> MetricsServer::Listen(
    boost::asio::io_context& loop, const FleetSettings& settings,
    const LogWriter& log) {
  FleetMetricsSettings metrics_settings;
  metrics_settings.host = settings.host;
  metrics_settings.zone = settings.zone;
  auto metrics = FleetMetrics::Create(metrics_settings);
  if (!metrics) return tl::unexpected(metrics.error());
  std::unique_ptr<MetricsServer> metrics_server(
      new MetricsServer(std::move(*metrics), log));
  if (!settings.metrics) return metrics_server;
  HttpServerSettings listener;
  listener.ip = settings.metrics->ip;
  listener.port = settings.metrics->port;
  HttpServer::Hooks hooks;
  hooks.accept_head = [](const HttpRequestHead&) -> Result<std::uint64_t> {
    return 0;
  };
  hooks.handle = [raw = metrics_server.get()](HttpRequest request) {
    return raw->Answer(std::move(request));
  };
  auto server = HttpServer::Listen(loop, listener, std::move(hooks));
  if (!server) return tl::unexpected(server.error());
  metrics_server->server_.emplace(std::move(*server));
  return metrics_server;
}

boost::asio::awaitable<HttpAnswer> MetricsServer::Answer(HttpRequest request) {
  HttpAnswer answer;
  if (request.head.target != "/metrics") {
    constexpr int kNotFound = 404;
    answer.status = kNotFound;
    co_return answer;
  }
  constexpr int kOk = 200;
  answer.status = kOk;
  if (refresh_) refresh_();
  metrics_->SetLogLinesDropped(log_.dropped());
  answer.fields.push_back({"content-type", "text/plain; version=0.0.4"});
  answer.body = metrics_->Serialize();
  co_return answer;
}

}  // namespace sapphirebank
