#include "sapphirebank/core/log_level.h"

#include <fmt/format.h>

#include <array>
#include <cstddef>

namespace sapphirebank {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

}  // namespace

std::string_view LogLevelName(LogLevel level) {
  return kLevelNames.at(static_cast<std::size_t>(level));
}

Result<LogLevel> LogLevelFromName(std::string_view name) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames.at(i) == name) return static_cast<LogLevel>(i);
  }
  return Fail(ErrorKind::kInvalidSettings,
              fmt::format("log level \"{}\" is none of {}", name,
                          fmt::join(kLevelNames, ", ")));
}

}  // namespace sapphirebank
