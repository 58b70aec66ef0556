#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "sapphirebank/consensus/control_command.h"

namespace sapphirebank {

// What a control host answers to a command that came over a link.
struct ControlResponse {
  std::uint64_t token = 0;  // Of the request.
  Result<CommandResult> result;
  // The host that leads, when the answering one does not.
  std::optional<HostId> leader;
};

// Returns `reply` as JSON for a link.
nlohmann::json EncodeControlResponse(const ControlResponse& response);

// Reads what EncodeControlResponse() wrote. Fails with kMalformedRequest.
Result<ControlResponse> DecodeControlResponse(const nlohmann::json& json);

}  // namespace sapphirebank
