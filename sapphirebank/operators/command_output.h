#pragma once

#include <nlohmann/json.hpp>
#include <ostream>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// The output streams and format of a command.
struct CommandOutput {
  std::ostream& out;       // Results.
  std::ostream& progress;  // Diagnostics and progress messages.
  bool json = false;       // Print results as one JSON document.
};

// Exit codes of the command line. Scripts rely on their values.
enum class ExitCode : int {
  kDone = 0,
  kDifferent = 1,   // A comparison found differences.
  kUsage = 2,       // Unknown command or invalid arguments.
  kInvalid = 3,     // A file, sheet or change is not valid.
  kConflict = 4,    // A conflicting change was applied first; nothing changed.
  kNotAllowed = 5,  // The operator's key is missing or unknown.
  kNoAnswer = 6,    // No control host answered; a change may be in force.
  kNotFound = 7,    // The named object does not exist.
  kFailed = 8,      // Any other error.
};

// Returns the exit code for a command that ended with an error of `kind`.
ExitCode ExitCodeFor(ErrorKind kind);

// Prints `json` as one indented document, followed by a line break.
void PrintJson(const CommandOutput& output, const nlohmann::json& json);

}  // namespace sapphirebank
