#include "sapphirebank/operators/command_output.h"

namespace sapphirebank {
namespace {

constexpr int kIndent = 2;

}  // namespace

ExitCode ExitCodeFor(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidDeclaration:
    case ErrorKind::kInvalidSettings:
    case ErrorKind::kMalformedRequest:
    case ErrorKind::kBodyTooLarge:
      return ExitCode::kInvalid;
    case ErrorKind::kRevisionConflict:
    case ErrorKind::kIdempotencyKeyReused:
      return ExitCode::kConflict;
    case ErrorKind::kOperatorUnknown:
      return ExitCode::kNotAllowed;
    case ErrorKind::kNoQuorum:
    case ErrorKind::kNotLeader:
      return ExitCode::kNoAnswer;
    case ErrorKind::kNotFound:
      return ExitCode::kNotFound;
    default:
      return ExitCode::kFailed;
  }
}

void PrintJson(const CommandOutput& output, const nlohmann::json& json) {
  output.out << json.dump(kIndent, ' ', false,
                          nlohmann::json::error_handler_t::replace)
             << '\n';
}

}  // namespace sapphirebank
