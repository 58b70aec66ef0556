#include "sapphirebank/rate/rate_codec.h"

#include <fmt/format.h>

#include <exception>
#include <limits>
#include <string_view>

#include "sapphirebank/core/json_read.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr std::string_view kRequestType = "rate_ask";
constexpr std::string_view kResponseType = "rate_answer";
constexpr std::string_view kRecallType = "rate_recall";

std::uint32_t ReadCount32(const json& value) {
  const std::uint64_t count = ReadCount(value);
  if (count > std::numeric_limits<std::uint32_t>::max()) {
    throw std::out_of_range(fmt::format("count {} is too large", count));
  }
  return static_cast<std::uint32_t>(count);
}

json Encode(const TokenRequest& token_request) {
  return {{"type", kRequestType},
          {"life", token_request.incarnation},
          {"sequence", token_request.sequence},
          {"asks", token_request.requests}};
}

json Encode(const TokenResponse& response) {
  return {{"type", kResponseType},
          {"life", response.incarnation},
          {"sequence", response.sequence},
          {"grants", response.grants}};
}

json Encode(const TokenRecall& recall) {
  json names = json::array();
  for (const WorkspaceId& id : recall.workspaces) names.push_back(id.value());
  return {{"type", kRecallType}, {"workspaces", names}};
}

TokenRequest ReadRequest(const json& value) {
  return {
      .incarnation = ReadCount(value.at("life")),
      .sequence = ReadCount(value.at("sequence")),
      .requests = value.at("asks").get<std::vector<WorkspaceTokenRequest>>()};
}

TokenResponse ReadResponse(const json& value) {
  return {.incarnation = ReadCount(value.at("life")),
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

void to_json(json& json, const WorkspaceTokenRequest& token_request) {
  json = nlohmann::json::array({token_request.workspace.value(),
                                token_request.term, token_request.account,
                                token_request.spent, token_request.returned,
                                token_request.needed, token_request.prefetch});
}

void from_json(const json& json, WorkspaceTokenRequest& token_request) {
  token_request.workspace = WorkspaceId(json.at(0).get<std::string>());
  token_request.term = ReadCount(json.at(1));
  token_request.account = ReadCount(json.at(2));
  token_request.spent = ReadCount(json.at(3));
  token_request.returned = ReadCount(json.at(4));
  token_request.needed = ReadCount32(json.at(5));
  token_request.prefetch = ReadCount32(json.at(6));
}

void to_json(json& json, const WorkspaceTokenGrant& grant) {
  json = nlohmann::json::array(
      {grant.workspace.value(), static_cast<unsigned>(grant.status), grant.term,
       grant.account, grant.granted, grant.retry_after.count(), grant.scarce});
}

void from_json(const json& json, WorkspaceTokenGrant& grant) {
  grant.workspace = WorkspaceId(json.at(0).get<std::string>());
  grant.status = ReadEnum(json.at(1), GrantStatus::kUnknownWorkspace);
  grant.term = ReadCount(json.at(2));
  grant.account = ReadCount(json.at(3));
  grant.granted = ReadCount(json.at(4));
  grant.retry_after = ReadDuration(json.at(5));
  grant.scarce = json.at(6).get<bool>();
}

json EncodeRateMessage(const RateMessage& message) {
  return std::visit([](const auto& value) { return Encode(value); }, message);
}

Result<RateMessage> DecodeRateMessage(const json& value) {
  try {
    const auto type = value.at("type").get<std::string>();
    if (type == kRequestType) return ReadRequest(value);
    if (type == kResponseType) return ReadResponse(value);
    if (type == kRecallType) return ReadRecall(value);
    return Fail(ErrorKind::kPeerRejected,
                fmt::format("unknown rate message \"{}\"", type));
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kPeerRejected,
                fmt::format("rate message: {}", error.what()));
  }
}

}  // namespace sapphirebank
