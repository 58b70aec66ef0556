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

// An update about one member.
struct MemberUpdate {
  MemberState state = MemberState::kAlive;
  HostId id;
  Incarnation incarnation = 0;
  // The host that reports the failed probe; only for kSuspect and kFailed.
  HostId reporter;
  // Only for kAlive.
  MemberDetails details;

  friend bool operator==(const MemberUpdate&, const MemberUpdate&) = default;
};

// Probes whether `to` is alive. An empty `to` stands for any host at the
// address.
struct PingMessage {
  std::uint32_t sequence = 0;
  HostId from;
  HostId to;
  std::vector<MemberUpdate> updates;

  friend bool operator==(const PingMessage&, const PingMessage&) = default;
};

// Acknowledges a ping, directly or on behalf of its target.
struct AckMessage {
  std::uint32_t sequence = 0;
  HostId from;
  // The most recently issued stamp that the sender knows.
  std::optional<RevisionStamp> stamp;
  std::vector<MemberUpdate> updates;

  friend bool operator==(const AckMessage&, const AckMessage&) = default;
};

// Requests an indirect probe: a ping of `target` on behalf of the sender.
struct PingRequestMessage {
  std::uint32_t sequence = 0;
  HostId from;
  HostId target;
  std::string target_address;

  friend bool operator==(const PingRequestMessage&,
                         const PingRequestMessage&) = default;
};

// States that the target of a ping request did not respond in time. It shows
// the requester that its own messages are delivered.
struct NackMessage {
  std::uint32_t sequence = 0;
  HostId from;

  friend bool operator==(const NackMessage&, const NackMessage&) = default;
};

// Requests the members in which the receiver's view differs. Views are compared
// by one digest for each bucket of host ids.
struct SyncRequestMessage {
  HostId from;
  std::vector<std::uint32_t> digests;
  std::vector<MemberUpdate> updates;

  friend bool operator==(const SyncRequestMessage&,
                         const SyncRequestMessage&) = default;
};

// One of the replies to a sync request.
struct SyncReplyMessage {
  HostId from;
  // Whether more members differ than all replies to the request can hold.
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

// Returns `message` as a JSON array without field names, for encoding as CBOR.
nlohmann::json MembershipMessageToJson(const MembershipMessage& message);

// Parses the output of MembershipMessageToJson(). Fails with kMalformedRequest.
Result<MembershipMessage> MembershipMessageFromJson(const nlohmann::json& json);

// Encodes `message` as CBOR.
std::vector<std::uint8_t> EncodeMembershipMessage(
    const MembershipMessage& message);

// Decodes a message from CBOR. Fails with kMalformedRequest.
Result<MembershipMessage> DecodeMembershipMessage(
    std::span<const std::uint8_t> bytes);

// Returns an upper bound on the size of `update` in CBOR, in bytes.
std::size_t MaxEncodedBytes(const MemberUpdate& update);

}  // namespace sapphirebank
