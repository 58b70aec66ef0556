#include "sapphirebank/rate/rate_codec.h"

#include <fmt/format.h>

#include <exception>
#include <limits>
#include <string_view>

#include "sapphirebank/core/json_read.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr std::string_view kAsk = "rate_ask";
constexpr std::string_view kAnswer = "rate_answer";
constexpr std::string_view kRecall = "rate_recall";

std::uint32_t ReadSmallCount(const json& value) {
  const std::uint64_t count = ReadCount(value);
  if (count > std::numeric_limits<std::uint32_t>::max()) {
    throw std::out_of_range(fmt::format("count {} is too large", count));
  }
  return static_cast<std::uint32_t>(count);
}

json Encode(const TokenRequest& ask) {
  return {{"type", kAsk},
          {"life", ask.life},
          {"sequence", ask.sequence},
          {"asks", ask.asks}};
}

json Encode(const TokenResponse& answer) {
  return {{"type", kAnswer},
          {"life", answer.life},
          {"sequence", answer.sequence},
          {"grants", answer.grants}};
}

json Encode(const TokenRecall& recall) {
  json names = json::array();
  for (const WorkspaceId& id : recall.workspaces) names.push_back(id.value());
  return {{"type", kRecall}, {"workspaces", names}};
}

TokenRequest ReadAsk(const json& value) {
  return {.life = ReadCount(value.at("life")),
          .sequence = ReadCount(value.at("sequence")),
          .asks = value.at("asks").get<std::vector<WorkspaceTokenRequest>>()};
}

TokenResponse ReadAnswer(const json& value) {
  return {.life = ReadCount(value.at("life")),
          .sequence = ReadCount(value.at("sequence")),
          .grants = value.at("grants").get<std::vector<WorkspaceTokenGrant>>()};
}

TokenRecall ReadRecall(const json& value) {
  TokenRecall recall;
  for (const json& name : value.at("workspaces")) {
    recall.workspaces.emplace_back(name.get<std::string>());
  }
  return recall;
}

}  // namespace

void to_json(json& json, const WorkspaceTokenRequest& ask) {
  json = nlohmann::json::array({ask.workspace.value(), ask.term, ask.account,
                                ask.spent, ask.returned, ask.need, ask.want});
}

void from_json(const json& json, WorkspaceTokenRequest& ask) {
  ask.workspace = WorkspaceId(json.at(0).get<std::string>());
  ask.term = ReadCount(json.at(1));
  ask.account = ReadCount(json.at(2));
  ask.spent = ReadCount(json.at(3));
  ask.returned = ReadCount(json.at(4));
  ask.need = ReadSmallCount(json.at(5));
  ask.want = ReadSmallCount(json.at(6));
}

void to_json(json& json, const WorkspaceTokenGrant& grant) {
  json = nlohmann::json::array({grant.workspace.value(),
                                static_cast<unsigned>(grant.verdict),
                                grant.term, grant.account, grant.granted,
                                grant.next_in.count(), grant.scarce});
}

void from_json(const json& json, WorkspaceTokenGrant& grant) {
  grant.workspace = WorkspaceId(json.at(0).get<std::string>());
  grant.verdict = ReadEnum(json.at(1), GrantStatus::kUnknownWorkspace);
  grant.term = ReadCount(json.at(2));
  grant.account = ReadCount(json.at(3));
  grant.granted = ReadCount(json.at(4));
  grant.next_in = ReadDuration(json.at(5));
  grant.scarce = json.at(6).get<bool>();
}

json EncodeRateMessage(const RateMessage& message) {
  return std::visit([](const auto& value) { return Encode(value); }, message);
}

Result<RateMessage> DecodeRateMessage(const json& value) {
  try {
    const auto type = value.at("type").get<std::string>();
    if (type == kAsk) return ReadAsk(value);
    if (type == kAnswer) return ReadAnswer(value);
    if (type == kRecall) return ReadRecall(value);
    return Fail(ErrorKind::kPeerRejected,
                fmt::format("unknown rate message \"{}\"", type));
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kPeerRejected,
                fmt::format("rate message: {}", error.what()));
  }
}

}  // namespace sapphirebank
