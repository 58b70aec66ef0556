#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "sapphirebank/config/daemon_settings.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/telemetry/log_writer.h"
#include "sapphirebank/transport/fleet_secret.h"
#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {

// Returns the calendar time in milliseconds as the incarnation of this process,
// so that each start has a higher one than the last.
Incarnation IncarnationFromClock();

// Opens the log on standard error. Fails with kInvalidSettings.
Result<std::unique_ptr<LogWriter>> OpenLog(const DaemonSettings& settings);

// Returns the fleet secret from the settings or from the file that they name;
// an empty one when neither is set. Fails with kInvalidSettings when the file
// cannot be read or is empty.
Result<FleetSecret> ReadFleetSecret(const DaemonSettings& settings);

// Logs a warning for each protection that the settings leave disabled.
void LogDisabledProtections(const DaemonSettings& settings, LogWriter& log);

}  // namespace sapphirebank
