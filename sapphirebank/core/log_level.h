#pragma once

#include <string_view>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// How much a log line matters, from least to most.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Returns the text which stands for `level` in a line.
std::string_view LogLevelName(LogLevel level);

// Returns the level that `name` stands for; kInvalidSettings otherwise.
Result<LogLevel> LogLevelFromName(std::string_view name);

}  // namespace sapphirebank
