#include "sapphirebank/consensus/peer_message.h"

#include <fmt/format.h>

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

#include "sapphirebank/consensus/membership.h"

namespace sapphirebank {

using nlohmann::json;

namespace {

// Throws when the entries are not consecutive or a membership is malformed.
void CheckEntries(const json& in, const AppendRequest& body) {
  LogPosition last = body.previous;
  for (const LogEntry& entry : body.entries) {
    const LogPosition position = entry.position;
    if (position.index != last.index + 1 || position.term < last.term) {
      throw json::out_of_range::create(401, "entries out of order", &in);
    }
    last = position;
    if (entry.kind == EntryKind::kMembership) {
      static_cast<void>(json::from_cbor(entry.payload).get<GroupMembership>());
    }
  }
}

}  // namespace

static void to_json(json& out, const VoteRequest& body) {
  out = {{"pre_vote", body.pre_vote},
         {"transfer", body.transfer},
         {"last", body.last}};
}

static void from_json(const json& in, VoteRequest& body) {
  in.at("pre_vote").get_to(body.pre_vote);
  in.at("transfer").get_to(body.transfer);
  in.at("last").get_to(body.last);
}

static void to_json(json& out, const VoteResponse& body) {
  out = {{"pre_vote", body.pre_vote}, {"granted", body.granted}};
  if (body.leader_silence) out["silence"] = body.leader_silence->count();
}

static void from_json(const json& in, VoteResponse& body) {
  in.at("pre_vote").get_to(body.pre_vote);
  in.at("granted").get_to(body.granted);
  if (const auto silence = in.find("silence"); silence != in.end()) {
    body.leader_silence = Duration(silence->get<Duration::rep>());
  }
}

static void to_json(json& out, const AppendRequest& body) {
  out = {{"previous", body.previous},
         {"entries", body.entries},
         {"commit", body.commit},
         {"round", body.round}};
}

static void from_json(const json& in, AppendRequest& body) {
  in.at("previous").get_to(body.previous);
  in.at("entries").get_to(body.entries);
  in.at("commit").get_to(body.commit);
  in.at("round").get_to(body.round);
  CheckEntries(in, body);
}

static void to_json(json& out, const AppendResponse& body) {
  out = {{"accepted", body.accepted},
         {"match", body.match},
         {"conflict", body.conflict},
         {"round", body.round}};
}

static void from_json(const json& in, AppendResponse& body) {
  in.at("accepted").get_to(body.accepted);
  in.at("match").get_to(body.match);
  in.at("conflict").get_to(body.conflict);
  in.at("round").get_to(body.round);
}

static void to_json(json& out, const SnapshotRequest& body) {
  out = {{"last", body.last},
         {"offset", body.offset},
         {"data", BytesToJson(body.data)},
         {"done", body.done},
         {"round", body.round}};
}

static void from_json(const json& in, SnapshotRequest& body) {
  in.at("last").get_to(body.last);
  in.at("offset").get_to(body.offset);
  body.data = BytesFromJson(in.at("data"));
  in.at("done").get_to(body.done);
  in.at("round").get_to(body.round);
}

static void to_json(json& out, const SnapshotResponse& body) {
  out = {{"last", body.last},
         {"next_offset", body.next_offset},
         {"round", body.round}};
}

static void from_json(const json& in, SnapshotResponse& body) {
  in.at("last").get_to(body.last);
  in.at("next_offset").get_to(body.next_offset);
  in.at("round").get_to(body.round);
}

static void to_json(json& out, const TimeoutNow& /*body*/) {
  out = json::object();
}

static void from_json(const json& /*in*/, TimeoutNow& /*body*/) {}

static void to_json(json& out, const Hello& body) {
  out = {{"empty", body.empty}, {"answer", body.answer}};
  if (body.hosts.empty()) return;
  json& hosts = out["hosts"] = json::array();
  for (const HostId& host : body.hosts) hosts.push_back(host.value());
}

static void from_json(const json& in, Hello& body) {
  in.at("empty").get_to(body.empty);
  in.at("answer").get_to(body.answer);
  const auto hosts = in.find("hosts");
  if (hosts == in.end()) return;
  for (const json& host : *hosts) {
    body.hosts.emplace_back(host.get<std::string>());
  }
}

namespace {

// Encoded names of the alternatives of PeerMessageBody, in the same order.
constexpr auto kBodyNames = std::to_array<std::string_view>(
    {"vote_request", "vote_response", "append_request", "append_response",
     "snapshot_request", "snapshot_response", "timeout_now", "hello"});
static_assert(kBodyNames.size() == std::variant_size_v<PeerMessageBody>);

template <std::size_t kIndex = 0>
PeerMessageBody BodyFromJson(std::string_view name, const json& in) {
  if constexpr (kIndex == kBodyNames.size()) {
    throw json::out_of_range::create(403, "unknown message type", &in);
  } else {
    if (name != kBodyNames[kIndex]) return BodyFromJson<kIndex + 1>(name, in);
    return in.get<std::variant_alternative_t<kIndex, PeerMessageBody>>();
  }
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  json out = {{"type", kBodyNames[message.body.index()]},
              {"from", message.from.value()},
              {"to", message.to.value()},
              {"term", message.term}};
  std::visit([&](const auto& body) { out["body"] = body; }, message.body);
  return EncodeCbor(out);
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  try {
    const json in = json::from_cbor(bytes);
    PeerMessage message;
    message.from = NodeId(in.at("from").get<std::string>());
    message.to = NodeId(in.at("to").get<std::string>());
    in.at("term").get_to(message.term);
    message.body =
        BodyFromJson(in.at("type").get<std::string>(), in.at("body"));
    return message;
  } catch (const json::exception& e) {
    return Fail(
        ErrorKind::kMalformedRequest,
        fmt::format("malformed message of a control host: {}", e.what()));
  }
}

}  // namespace sapphirebank
