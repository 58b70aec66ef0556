#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"

namespace sapphirebank {

// Identifies one formatted data folder. A control host that lost its data
// folder gets a new id, so it cannot be mistaken for the voter that it was
// before.
using NodeId = Id<struct NodeTag>;

// Index of an entry in the replicated log. The first entry has index 1.
using LogIndex = std::uint64_t;

// An index with the term of the entry there. {0, 0} is the position before the
// first entry.
struct LogPosition {
  LogIndex index = 0;
  Term term = 0;

  friend bool operator==(const LogPosition&, const LogPosition&) = default;
};

// The type of the payload of an entry.
enum class EntryKind : std::uint8_t {
  kNoOp,        // Empty. The first entry of every leader.
  kCommand,     // An encoded ControlCommand.
  kMembership,  // An encoded GroupMembership.
};

// One entry of the replicated log.
struct LogEntry {
  LogPosition position;
  EntryKind kind = EntryKind::kNoOp;
  std::string payload;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

// The state of a node that must be durable before it is sent to peers.
struct HardState {
  Term term = 0;
  NodeId vote;  // Empty when no vote was cast in `term`.

  friend bool operator==(const HardState&, const HardState&) = default;
};

void to_json(nlohmann::json& json, const LogPosition& position);
void from_json(const nlohmann::json& json, LogPosition& position);
void to_json(nlohmann::json& json, const LogEntry& entry);
void from_json(const nlohmann::json& json, LogEntry& entry);
void to_json(nlohmann::json& json, const HardState& state);
void from_json(const nlohmann::json& json, HardState& state);

// Converts `bytes` to a JSON value that is encoded as a CBOR byte string.
nlohmann::json BytesToJson(const std::string& bytes);

// Returns the content of a byte string. Throws nlohmann::json::exception when
// `json` is of another type.
std::string BytesFromJson(const nlohmann::json& json);

// Encodes `json` as CBOR.
std::string EncodeCbor(const nlohmann::json& json);

}  // namespace sapphirebank
