#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_record.h"

namespace sapphirebank {

// Changes the declarations. A resend must carry the same content.
struct ApplyChange {
  Revision base_revision = 0;
  std::string change_id;  // Chosen by the operator, unique for each change.
  std::string operator_id;
  nlohmann::json patch;  // RFC 6902, on the canonical declarations document.

  friend bool operator==(const ApplyChange&, const ApplyChange&) = default;
};

// Gives a new group the declarations that the hosts of the fleet still hold of
// one that was lost with all its data folders. It is refused once the group
// has a revision of its own.
struct RestoreDeclarations {
  Revision revision = 0;
  nlohmann::json document;

  friend bool operator==(const RestoreDeclarations&,
                         const RestoreDeclarations&) = default;
};

// Who runs the request of a claim: one request in one life of one host.
struct ClaimHolder {
  RequestId request;
  HostId host;
  Incarnation incarnation = 0;

  friend bool operator==(const ClaimHolder&, const ClaimHolder&) = default;
};

// What an idempotency key stands for.
struct ClaimKey {
  WorkspaceId workspace;
  std::string idempotency_key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

// Asks to run the request of an idempotency key. `fingerprint` is a digest of
// everything that makes two requests the same.
struct Claim {
  ClaimKey key;
  std::string fingerprint;
  ClaimHolder holder;

  friend bool operator==(const Claim&, const Claim&) = default;
};

// How the run of a granted claim ended.
enum class ClaimOutcome : std::uint8_t {
  kAnswered,
  kAnswerTooLarge,  // It ran; its answer is too large to keep.
  kNotRun,          // No byte reached a backend server: another may run.
  kUnknown,         // It may have run.
};

// Ends a granted claim. Only its holder's end counts.
struct CompleteClaim {
  ClaimKey key;
  ClaimHolder holder;
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  std::string answer;  // With kAnswered only.

  friend bool operator==(const CompleteClaim&, const CompleteClaim&) = default;
};

// Tells that the lives of a host up to `through` have ended: whatever they
// still ran has no known end.
struct ExpireIncarnations {
  HostId host;
  Incarnation through = 0;

  friend bool operator==(const ExpireIncarnations&,
                         const ExpireIncarnations&) = default;
};

// Moves the clock of the control state, which only the leader proposes. The
// limits ride along so that every control host applies the same ones.
struct AdvanceClock {
  WallTime now;
  Duration claim_retention{};    // From the end of a run to its removal.
  Duration claim_run_timeout{};  // After which a run has no known end.

  friend bool operator==(const AdvanceClock&, const AdvanceClock&) = default;
};

using ControlCommand =
    std::variant<ApplyChange, RestoreDeclarations, Claim, CompleteClaim,
                 ExpireIncarnations, AdvanceClock, StorePlan, SetZoneOut,
                 RetireBackend>;

// Returns `command` as CBOR.
std::string EncodeCommand(const ControlCommand& command);

// Reads what EncodeCommand wrote. Fails with kMalformedRequest.
Result<ControlCommand> DecodeCommand(std::string_view bytes);

void to_json(nlohmann::json& json, const ClaimKey& key);
void from_json(const nlohmann::json& json, ClaimKey& key);
void to_json(nlohmann::json& json, const ClaimHolder& holder);
void from_json(const nlohmann::json& json, ClaimHolder& holder);

// Returns the microseconds since 1970, as messages carry a time.
std::int64_t ToUnixMicroseconds(WallTime time);

// Returns the time that `microseconds` after 1970 stands for.
WallTime FromUnixMicroseconds(std::int64_t microseconds);

// The change is in force as `revision`.
struct ChangeResult {
  Revision revision = 0;

  friend bool operator==(const ChangeResult&, const ChangeResult&) = default;
};

// What a claim found. Only kGranted allows the request to run.
enum class ClaimState : std::uint8_t {
  kGranted,
  kAnswered,
  kAnswerNotKept,  // It ran; the answer was too large to keep.
  kRunning,
  kUnknown,  // It may have run, and nobody will learn more.
  kFingerprintMismatch,
};

struct ClaimResult {
  ClaimState state = ClaimState::kUnknown;
  std::string answer;  // With kAnswered.

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

// The command was applied and has nothing to tell.
struct Done {
  friend bool operator==(const Done&, const Done&) = default;
};

using CommandResult = std::variant<Done, ChangeResult, ClaimResult>;

}  // namespace sapphirebank
