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
  std::string change_id;  // Chosen by the operator, unique per change.
  std::string operator_id;
  // RFC 6902, against the canonical declarations document.
  nlohmann::json patch;

  friend bool operator==(const ApplyChange&, const ApplyChange&) = default;
};

// Restores in a new group the declarations that the hosts of the fleet still
// hold from a group that lost all its data folders. Refused once the new group
// has a revision of its own.
struct RestoreDeclarations {
  Revision revision = 0;
  nlohmann::json document;

  friend bool operator==(const RestoreDeclarations&,
                         const RestoreDeclarations&) = default;
};

// The holder of a claim: one request in one incarnation of one host.
struct ClaimHolder {
  RequestId request;
  HostId host;
  Incarnation incarnation = 0;

  friend bool operator==(const ClaimHolder&, const ClaimHolder&) = default;
};

// Identifies a claim. Idempotency keys are scoped to a workspace.
struct ClaimKey {
  WorkspaceId workspace;
  std::string idempotency_key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

// Requests permission to run the request of an idempotency key. `fingerprint`
// is a digest of everything that two requests must have in common to count as
// the same.
struct Claim {
  ClaimKey key;
  std::string fingerprint;
  ClaimHolder holder;

  friend bool operator==(const Claim&, const Claim&) = default;
};

// How the run of a granted claim ended.
enum class ClaimOutcome : std::uint8_t {
  kAnswered,
  kAnswerTooLarge,  // It ran; its answer is too large to store.
  kNotRun,          // No byte reached a backend server; another may run.
  kUnknown,         // It may have run.
};

// Ends a granted claim. Accepted only from the holder of the claim.
struct CompleteClaim {
  ClaimKey key;
  ClaimHolder holder;
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  std::string answer;  // Set with kAnswered only.

  friend bool operator==(const CompleteClaim&, const CompleteClaim&) = default;
};

// Declares that the incarnations of a host up to and including `through` have
// ended. The outcome of whatever they were still running is unknown.
struct ExpireIncarnations {
  HostId host;
  Incarnation through = 0;

  friend bool operator==(const ExpireIncarnations&,
                         const ExpireIncarnations&) = default;
};

// Advances the clock of the control state. Proposed by the leader only. It
// carries the limits so that all control hosts apply the same ones.
struct AdvanceClock {
  WallTime now;
  // Time from the end of a run to the removal of its claim.
  Duration claim_retention{};
  // Time after which the outcome of a run counts as unknown.
  Duration claim_run_timeout{};

  friend bool operator==(const AdvanceClock&, const AdvanceClock&) = default;
};

using ControlCommand =
    std::variant<ApplyChange, RestoreDeclarations, Claim, CompleteClaim,
                 ExpireIncarnations, AdvanceClock, StorePlan, SetZoneOut,
                 RetireBackend, StartRollout, SetRolloutPhase>;

// Returns `command` as CBOR.
std::string EncodeCommand(const ControlCommand& command);

// Reads what EncodeCommand wrote. Fails with kMalformedRequest.
Result<ControlCommand> DecodeCommand(std::string_view bytes);

void to_json(nlohmann::json& json, const ClaimKey& key);
void from_json(const nlohmann::json& json, ClaimKey& key);
void to_json(nlohmann::json& json, const ClaimHolder& holder);
void from_json(const nlohmann::json& json, ClaimHolder& holder);

// Converts a time to microseconds since the Unix epoch, the form used in
// messages and snapshots.
std::int64_t ToUnixMicroseconds(WallTime time);

// Converts microseconds since the Unix epoch to a time.
WallTime FromUnixMicroseconds(std::int64_t microseconds);

// The change was accepted as `revision`.
struct ChangeResult {
  Revision revision = 0;

  friend bool operator==(const ChangeResult&, const ChangeResult&) = default;
};

// The state in which a claim found its key. Only kGranted permits the request
// to run.
enum class ClaimState : std::uint8_t {
  kGranted,
  kAnswered,
  kAnswerNotKept,  // It ran; the answer was too large to store.
  kRunning,
  kUnknown,  // It may have run; this will not be resolved.
  kFingerprintMismatch,
};

struct ClaimResult {
  ClaimState state = ClaimState::kUnknown;
  std::string answer;  // Set with kAnswered only.

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

// The command was applied and has no result value.
struct Done {
  friend bool operator==(const Done&, const Done&) = default;
};

using CommandResult = std::variant<Done, ChangeResult, ClaimResult>;

}  // namespace sapphirebank
