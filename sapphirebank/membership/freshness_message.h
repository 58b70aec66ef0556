#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/membership/revision_stamp.h"

namespace sapphirebank {

// Asks a witness for the revision that it holds.
struct WitnessQuery {
  std::uint32_t round = 0;
  HostId from;

  friend bool operator==(const WitnessQuery&, const WitnessQuery&) = default;
};

// The revision that a witness holds, and the youngest stamp that it knows.
struct WitnessResponse {
  std::uint32_t round = 0;
  HostId from;
  Revision revision = 0;
  std::optional<RevisionStamp> stamp;

  friend bool operator==(const WitnessResponse&,
                         const WitnessResponse&) = default;
};

// Writes a stamp, or the lack of one, as an array for CBOR.
nlohmann::json RevisionStampToJson(const std::optional<RevisionStamp>& stamp);

// Reads what RevisionStampToJson() wrote. Throws std::exception on anything
// else.
std::optional<RevisionStamp> RevisionStampFromJson(const nlohmann::json& json);

// Writes the messages as arrays for CBOR.
nlohmann::json WitnessQueryToJson(const WitnessQuery& query);
nlohmann::json WitnessResponseToJson(const WitnessResponse& response);

// Read the messages. Fail with kMalformedRequest.
Result<WitnessQuery> WitnessQueryFromJson(const nlohmann::json& json);
Result<WitnessResponse> WitnessResponseFromJson(const nlohmann::json& json);

}  // namespace sapphirebank
