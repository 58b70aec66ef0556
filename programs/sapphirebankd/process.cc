#include "programs/sapphirebankd/process.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <string>

namespace sapphirebank {

Incarnation IncarnationFromClock() {
  const auto since_epoch = WallNow().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

Result<std::unique_ptr<LogWriter>> OpenLog(const DaemonSettings& settings) {
  LogWriterSettings log;
  log.host = settings.host_id.value();
  const auto level = LogLevelFromName(settings.log.level);
  if (!level) return tl::unexpected(level.error());
  log.level = *level;
  return LogWriter::Create(log, WallNow);
}

Result<FleetSecret> ReadFleetSecret(const DaemonSettings& settings) {
  if (settings.fleet_secret) return FleetSecret(*settings.fleet_secret);
  if (!settings.fleet_secret_file) return FleetSecret(std::string());
  std::ifstream file(*settings.fleet_secret_file, std::ios::binary);
  std::string secret((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
    secret.pop_back();
  }
  if (secret.empty()) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("fleet_secret_file \"{}\" cannot be read or is "
                            "empty",
                            *settings.fleet_secret_file));
  }
  return FleetSecret(std::move(secret));
}

void LogDisabledProtections(const DaemonSettings& settings, LogWriter& log) {
  if (!settings.fleet_secret && !settings.fleet_secret_file) {
    log.Write(LogLevel::kWarning, "protection_off",
              {{"what", "links between hosts"},
               {"cause",
                "no fleet_secret: any process that can reach the ports "
                "can impersonate a host"}});
  }
  if (settings.role == HostRole::kEntry && !settings.listeners.callers_tls) {
    log.Write(LogLevel::kWarning, "protection_off",
              {{"what", "TLS for callers"}, {"cause", "no callers.tls"}});
  }
}

}  // namespace sapphirebank
