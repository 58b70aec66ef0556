#include "sapphirebank/lease/lease_codec.h"

#include <fmt/format.h>

#include <exception>
#include <string_view>

#include "sapphirebank/core/json_read.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr std::string_view kRequest = "lease_request";
constexpr std::string_view kResponse = "lease_answer";
constexpr std::string_view kEpochNotice = "voter_notice";
constexpr std::string_view kOwners = "owners";

std::vector<HostId> ReadHosts(const json& value) {
  std::vector<HostId> hosts;
  for (const auto& name : value) hosts.emplace_back(name.get<std::string>());
  return hosts;
}

json WriteHosts(const std::vector<HostId>& hosts) {
  json names = json::array();
  for (const HostId& host : hosts) names.push_back(host.value());
  return names;
}

json Encode(const LeaseRequest& request) {
  return {{"type", kRequest},
          {"epoch", request.epoch},
          {"round", request.round},
          {"length", request.length.count()},
          {"items", request.items}};
}

json Encode(const LeaseResponse& response) {
  return {{"type", kResponse},
          {"epoch", response.epoch},
          {"round", response.round},
          {"state", static_cast<unsigned>(response.state)},
          {"replies", response.results}};
}

json Encode(const VoterEpochNotice& notice) {
  return {{"type", kEpochNotice},
          {"epoch", notice.epoch},
          {"wants_answer", notice.wants_response}};
}

json Encode(const OwnerAnnouncement& owners) {
  return {{"type", kOwners},
          {"host", owners.host.value()},
          {"held", owners.held},
          {"released", owners.released}};
}

LeaseRequest ReadRequest(const json& value) {
  LeaseRequest request;
  request.epoch = ReadCount(value.at("epoch"));
  request.round = ReadCount(value.at("round"));
  request.length = ReadDuration(value.at("length"));
  request.items = value.at("items").get<std::vector<LeaseItem>>();
  return request;
}

LeaseResponse ReadResponse(const json& value) {
  LeaseResponse response;
  response.epoch = ReadCount(value.at("epoch"));
  response.round = ReadCount(value.at("round"));
  response.state = ReadEnum(value.at("state"), VoterState::kWrongEpoch);
  response.results = value.at("replies").get<std::vector<LeaseItemResult>>();
  return response;
}

VoterEpochNotice ReadNotice(const json& value) {
  return {.epoch = ReadCount(value.at("epoch")),
          .wants_response = value.at("wants_answer").get<bool>()};
}

OwnerAnnouncement ReadOwners(const json& value) {
  using Keys = std::vector<OwnerAnnouncement::Key>;
  return {.host = HostId(value.at("host").get<std::string>()),
          .held = value.at("held").get<Keys>(),
          .released = value.at("released").get<Keys>()};
}

}  // namespace

void to_json(json& json, const LeaseItem& item) {
  json = nlohmann::json::array(
      {static_cast<unsigned>(item.operation), item.key, item.term});
}

void from_json(const json& json, LeaseItem& item) {
  item.operation = ReadEnum(json.at(0), LeaseOperation::kLookup);
  item.key = json.at(1).get<std::string>();
  item.term = ReadCount(json.at(2));
}

void to_json(json& json, const LeaseItemResult& result) {
  json = nlohmann::json::array(
      {result.item, static_cast<unsigned>(result.verdict), result.known_term,
       result.holder.value(), result.remaining.count()});
}

void from_json(const json& json, LeaseItemResult& result) {
  result.item = json.at(0).get<LeaseItem>();
  result.verdict = ReadEnum(json.at(1), LeaseVerdict::kFree);
  result.known_term = ReadCount(json.at(2));
  result.holder = HostId(json.at(3).get<std::string>());
  result.remaining = ReadDuration(json.at(4));
}

void to_json(json& json, const OwnerAnnouncement::Key& key) {
  json = nlohmann::json::array({key.key, key.term});
}

void from_json(const json& json, OwnerAnnouncement::Key& key) {
  key.key = json.at(0).get<std::string>();
  key.term = ReadCount(json.at(1));
}

void to_json(json& json, const VoterSet& set) {
  json = {{"epoch", set.epoch},
          {"hosts", WriteHosts(set.hosts)},
          {"previous", WriteHosts(set.previous)}};
}

void from_json(const json& json, VoterSet& set) {
  set.epoch = ReadCount(json.at("epoch"));
  set.hosts = ReadHosts(json.at("hosts"));
  set.previous = ReadHosts(json.at("previous"));
}

json EncodeLeaseMessage(const LeaseMessage& message) {
  return std::visit([](const auto& value) { return Encode(value); }, message);
}

Result<LeaseMessage> DecodeLeaseMessage(const json& value) {
  try {
    const auto type = value.at("type").get<std::string>();
    if (type == kRequest) return ReadRequest(value);
    if (type == kResponse) return ReadResponse(value);
    if (type == kEpochNotice) return ReadNotice(value);
    if (type == kOwners) return ReadOwners(value);
    return Fail(ErrorKind::kPeerRejected,
                fmt::format("unknown lease message \"{}\"", type));
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kPeerRejected,
                fmt::format("lease message: {}", error.what()));
  }
}

}  // namespace sapphirebank
