#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "sapphirebank/consensus/control_command.h"

namespace sapphirebank {

// Response of a control host to a command that arrived over a link.
struct ControlResponse {
  std::uint64_t token = 0;  // Copied from the request.
  Result<CommandResult> result;
  // The current leader, when the responding host is not the leader.
  std::optional<HostId> leader;
};

// Encodes `response` as JSON for a link.
nlohmann::json EncodeControlResponse(const ControlResponse& response);

// Reads what EncodeControlResponse() wrote. Fails with kMalformedRequest.
Result<ControlResponse> DecodeControlResponse(const nlohmann::json& json);

}  // namespace sapphirebank
