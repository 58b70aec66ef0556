#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/membership/member.h"
#include "sapphirebank/membership/revision_stamp.h"

namespace sapphirebank {

// News about one member.
struct MemberUpdate {
  MemberState state = MemberState::kAlive;
  HostId id;
  Incarnation incarnation = 0;
  // The host whose probe failed; only for kSuspect and kFailed.
  HostId reporter;
  // Only for kAlive.
  MemberDetails details;

  friend bool operator==(const MemberUpdate&, const MemberUpdate&) = default;
};

// Asks whether `to` lives. An empty `to` stands for whoever is there.
struct PingMessage {
  std::uint32_t sequence = 0;
  HostId from;
  HostId to;
  std::vector<MemberUpdate> updates;

  friend bool operator==(const PingMessage&, const PingMessage&) = default;
};

// Answers a ping, or passes such an answer on.
struct AckMessage {
  std::uint32_t sequence = 0;
  HostId from;
  // The youngest stamp that the sender knows.
  std::optional<RevisionStamp> stamp;
  std::vector<MemberUpdate> updates;

  friend bool operator==(const AckMessage&, const AckMessage&) = default;
};

// Asks for a ping of `target` in the sender's place.
struct PingRequestMessage {
  std::uint32_t sequence = 0;
  HostId from;
  HostId target;
  std::string target_address;

  friend bool operator==(const PingRequestMessage&,
                         const PingRequestMessage&) = default;
};

// Says that the target of a ping request did not answer in time, which tells
// the asker that its own messages get through.
struct NackMessage {
  std::uint32_t sequence = 0;
  HostId from;

  friend bool operator==(const NackMessage&, const NackMessage&) = default;
};

// Asks for the members in which the receiver's view differs. Views are
// compared by one digest for each bucket of host ids.
struct SyncRequestMessage {
  HostId from;
  std::vector<std::uint32_t> digests;
  std::vector<MemberUpdate> updates;

  friend bool operator==(const SyncRequestMessage&,
                         const SyncRequestMessage&) = default;
};

// One piece of the answer to a sync request.
struct SyncReplyMessage {
  HostId from;
  // Whether more differs than the pieces of this answer hold.
  bool more = false;
  std::vector<MemberUpdate> updates;

  friend bool operator==(const SyncReplyMessage&,
                         const SyncReplyMessage&) = default;
};

using MembershipMessage =
    std::variant<PingMessage, AckMessage, PingRequestMessage, NackMessage,
                 SyncRequestMessage, SyncReplyMessage>;

void to_json(nlohmann::json& json, const MemberUpdate& update);
void from_json(const nlohmann::json& json, MemberUpdate& update);

// Returns `message` as a JSON array without field names, for CBOR.
nlohmann::json MembershipMessageToJson(const MembershipMessage& message);

// Reads what MembershipMessageToJson wrote. Fails with kMalformedRequest.
Result<MembershipMessage> MembershipMessageFromJson(const nlohmann::json& json);

// Returns the CBOR of `message`.
std::vector<std::uint8_t> EncodeMembershipMessage(
    const MembershipMessage& message);

// Reads the CBOR of a message. Fails with kMalformedRequest.
Result<MembershipMessage> DecodeMembershipMessage(
    std::span<const std::uint8_t> bytes);

// Returns a bound on the CBOR bytes of `update`.
std::size_t MaxEncodedBytes(const MemberUpdate& update);

}  // namespace sapphirebank
