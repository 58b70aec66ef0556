#include "sapphirebank/membership/membership_message.h"

#include <fmt/format.h>

#include <stdexcept>
#include <utility>

#include "sapphirebank/membership/array_fields.h"
#include "sapphirebank/membership/freshness_message.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

// A message is an array of the index of its type in MembershipMessage and its
// body.
constexpr std::size_t kMaxUpdates = 128;
constexpr std::size_t kMaxDigests = 256;
constexpr std::size_t kDigestBytes = 4;
// Number of fields of an update about an alive member, and about any other.
constexpr std::size_t kAliveFields = 7;
constexpr std::size_t kOtherFields = 4;
// Sizes in CBOR, in bytes: an update's array header, state and largest
// incarnation; the header of a string; the largest process identifier.
constexpr std::size_t kUpdateHeader = 1 + 1 + 9;
constexpr std::size_t kTextHeader = 2;
constexpr std::size_t kProcessBytes = 5;

std::vector<MemberUpdate> ReadUpdates(const json& value) {
  if (!value.is_array() || value.size() > kMaxUpdates)
    throw std::out_of_range("not an array of at most 128 updates");
  return value.get<std::vector<MemberUpdate>>();
}

json DigestsToJson(std::span<const std::uint32_t> digests) {
  std::vector<std::uint8_t> bytes;
  bytes.reserve(digests.size() * kDigestBytes);
  for (const std::uint32_t digest : digests) {
    for (std::size_t i = 0; i < kDigestBytes; ++i) {
      bytes.push_back(static_cast<std::uint8_t>(digest >> (8 * i)));
    }
  }
  return json::binary(std::move(bytes));
}

std::vector<std::uint32_t> ReadDigests(const json& value) {
  const auto& bytes = value.get_binary();
  if (bytes.size() % kDigestBytes != 0)
    throw std::out_of_range("digests are not a multiple of 4 bytes");
  if (bytes.size() > kMaxDigests * kDigestBytes)
    throw std::out_of_range("more than 256 digests");
  std::vector<std::uint32_t> digests(bytes.size() / kDigestBytes);
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    digests[i / kDigestBytes] |= std::uint32_t{bytes[i]}
                                 << (8 * (i % kDigestBytes));
  }
  return digests;
}

json BodyToJson(const PingMessage& ping) {
  return {ping.sequence, ping.from.value(), ping.to.value(), ping.updates};
}

json BodyToJson(const AckMessage& ack) {
  return {ack.sequence, ack.from.value(), RevisionStampToJson(ack.stamp),
          ack.updates};
}

json BodyToJson(const PingRequestMessage& request) {
  return {request.sequence, request.from.value(), request.target.value(),
          request.target_address};
}

json BodyToJson(const NackMessage& nack) {
  return json::array({nack.sequence, nack.from.value()});
}

json BodyToJson(const SyncRequestMessage& request) {
  return {request.from.value(), DigestsToJson(request.digests),
          request.updates};
}

json BodyToJson(const SyncReplyMessage& reply) {
  return {reply.from.value(), reply.more, reply.updates};
}

void ReadBody(const json& body, PingMessage& ping) {
  ping.sequence = ReadUnsigned<std::uint32_t>(FieldAt(body, 0, 4));
  ping.from = ReadHost(body[1]);
  ping.to = HostId(ReadString(body[2]));
  ping.updates = ReadUpdates(body[3]);
}

void ReadBody(const json& body, AckMessage& ack) {
  ack.sequence = ReadUnsigned<std::uint32_t>(FieldAt(body, 0, 4));
  ack.from = ReadHost(body[1]);
  ack.stamp = RevisionStampFromJson(body[2]);
  ack.updates = ReadUpdates(body[3]);
}

void ReadBody(const json& body, PingRequestMessage& request) {
  request.sequence = ReadUnsigned<std::uint32_t>(FieldAt(body, 0, 4));
  request.from = ReadHost(body[1]);
  request.target = ReadHost(body[2]);
  request.target_address = ReadString(body[3]);
}

void ReadBody(const json& body, NackMessage& nack) {
  nack.sequence = ReadUnsigned<std::uint32_t>(FieldAt(body, 0, 2));
  nack.from = ReadHost(body[1]);
}

void ReadBody(const json& body, SyncRequestMessage& request) {
  request.from = ReadHost(FieldAt(body, 0, 3));
  request.digests = ReadDigests(body[1]);
  request.updates = ReadUpdates(body[2]);
}

void ReadBody(const json& body, SyncReplyMessage& reply) {
  reply.from = ReadHost(FieldAt(body, 0, 3));
  reply.more = body[1].get<bool>();
  reply.updates = ReadUpdates(body[2]);
}

template <std::size_t kIndex>
MembershipMessage ReadAs(const json& body) {
  MembershipMessage message(std::in_place_index<kIndex>);
  ReadBody(body, std::get<kIndex>(message));
  return message;
}

MembershipMessage ReadMessage(std::size_t type, const json& body) {
  switch (type) {
    case 0:
      return ReadAs<0>(body);
    case 1:
      return ReadAs<1>(body);
    case 2:
      return ReadAs<2>(body);
    case 3:
      return ReadAs<3>(body);
    case 4:
      return ReadAs<4>(body);
    case 5:
      return ReadAs<5>(body);
    default:
      throw std::out_of_range("unknown message type");
  }
}

}  // namespace

void to_json(json& json, const MemberUpdate& update) {
  json = json::array({static_cast<std::uint64_t>(update.state),
                      update.id.value(), update.incarnation});
  if (update.state == MemberState::kAlive) {
    json.push_back(update.details.process);
    json.push_back(update.details.zone.value());
    json.push_back(update.details.address);
    json.push_back(update.details.metadata);
  } else {
    json.push_back(update.reporter.value());
  }
}

void from_json(const json& json, MemberUpdate& update) {
  const std::size_t size = json.size();
  const auto state = ReadUnsigned<std::uint8_t>(FieldAt(json, 0, size));
  if (state > static_cast<std::uint8_t>(MemberState::kLeft)) {
    throw std::out_of_range("unknown member state");
  }
  update.state = static_cast<MemberState>(state);
  const bool alive = update.state == MemberState::kAlive;
  if (size != (alive ? kAliveFields : kOtherFields))
    throw std::out_of_range("wrong number of fields in an update");
  update.id = ReadHost(json[1]);
  update.incarnation = ReadUnsigned<Incarnation>(json[2]);
  if (!alive) {
    update.reporter = HostId(ReadString(json[3]));
    return;
  }
  update.details.process = ReadUnsigned<std::uint32_t>(json[3]);
  update.details.zone = ZoneId(ReadString(json[4]));
  update.details.address = ReadString(json[5]);
  update.details.metadata = ReadString(json[6], kMaxMetadataBytes);
}

json MembershipMessageToJson(const MembershipMessage& message) {
  json body =
      std::visit([](const auto& typed) { return BodyToJson(typed); }, message);
  return json::array({message.index(), std::move(body)});
}

Result<MembershipMessage> MembershipMessageFromJson(const json& json) {
  try {
    const auto type = ReadUnsigned<std::size_t>(FieldAt(json, 0, 2));
    return ReadMessage(type, json[1]);
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("membership message: {}", e.what()));
  }
}

std::vector<std::uint8_t> EncodeMembershipMessage(
    const MembershipMessage& message) {
  return json::to_cbor(MembershipMessageToJson(message));
}

Result<MembershipMessage> DecodeMembershipMessage(
    std::span<const std::uint8_t> bytes) {
  try {
    return MembershipMessageFromJson(
        json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const json::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("membership message: {}", e.what()));
  }
}

std::size_t MaxEncodedBytes(const MemberUpdate& update) {
  std::size_t bytes = kUpdateHeader + kTextHeader + update.id.value().size();
  if (update.state != MemberState::kAlive) {
    return bytes + kTextHeader + update.reporter.value().size();
  }
  bytes += kProcessBytes;
  bytes += kTextHeader + update.details.zone.value().size();
  bytes += kTextHeader + update.details.address.size();
  bytes += kTextHeader + update.details.metadata.size();
  return bytes;
}

}  // namespace sapphirebank
