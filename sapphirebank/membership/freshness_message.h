#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/membership/revision_stamp.h"

namespace sapphirebank {

// Queries a witness for the revision that it holds.
struct WitnessQuery {
  std::uint32_t round = 0;
  HostId from;

  friend bool operator==(const WitnessQuery&, const WitnessQuery&) = default;
};

// A witness's response: the revision that it holds and the most recently issued
// stamp that it knows.
struct WitnessResponse {
  std::uint32_t round = 0;
  HostId from;
  Revision revision = 0;
  std::optional<RevisionStamp> stamp;

  friend bool operator==(const WitnessResponse&,
                         const WitnessResponse&) = default;
};

// Converts a stamp, or the absence of one, to an array for CBOR.
nlohmann::json RevisionStampToJson(const std::optional<RevisionStamp>& stamp);

// Parses the output of RevisionStampToJson(). Throws std::exception on any
// other input.
std::optional<RevisionStamp> RevisionStampFromJson(const nlohmann::json& json);

// Convert the messages to arrays for CBOR.
nlohmann::json WitnessQueryToJson(const WitnessQuery& query);
nlohmann::json WitnessResponseToJson(const WitnessResponse& response);

// Parse the messages. Fail with kMalformedRequest.
Result<WitnessQuery> WitnessQueryFromJson(const nlohmann::json& json);
Result<WitnessResponse> WitnessResponseFromJson(const nlohmann::json& json);

}  // namespace sapphirebank
