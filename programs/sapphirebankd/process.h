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

// Returns a number which grows from one start of this process to the next.
Incarnation IncarnationFromClock();

// Opens the log on standard error. Fails with kInvalidSettings.
Result<std::unique_ptr<LogWriter>> OpenLog(const DaemonSettings& settings);

// Reads the fleet's secret from where the settings say; empty without one.
// Fails with kInvalidSettings when its file cannot be read.
Result<FleetSecret> ReadFleetSecret(const DaemonSettings& settings);

// Writes to the log which protections the settings leave off.
void LogDisabledProtections(const DaemonSettings& settings, LogWriter& log);

}  // namespace sapphirebank
