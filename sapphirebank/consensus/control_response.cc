#include "sapphirebank/consensus/control_response.h"

#include <string>
#include <utility>
#include <vector>

namespace sapphirebank {
namespace {

using nlohmann::json;

json EncodeResult(const CommandResult& result) {
  if (const auto* change = std::get_if<ChangeResult>(&result)) {
    return {{"revision", change->revision}};
  }
  if (const auto* claim = std::get_if<ClaimResult>(&result)) {
    const std::vector<std::uint8_t> bytes(claim->answer.begin(),
                                          claim->answer.end());
    return {{"state", static_cast<int>(claim->state)},
            {"bytes", json::binary(bytes)}};
  }
  return json::object();
}

Result<CommandResult> DecodeResult(const json& in) {
  if (in.contains("revision")) {
    return ChangeResult{in.at("revision").get<Revision>()};
  }
  if (!in.contains("state")) return Done{};
  const int state = in.at("state").get<int>();
  if (state < 0 || state > static_cast<int>(ClaimState::kFingerprintMismatch)) {
    return Fail(ErrorKind::kMalformedRequest, "unknown state of a claim");
  }
  ClaimResult claim;
  claim.state = static_cast<ClaimState>(state);
  const auto& bytes = in.at("bytes").get_binary();
  claim.answer.assign(bytes.begin(), bytes.end());
  return claim;
}

}  // namespace

json EncodeControlResponse(const ControlResponse& response) {
  json out = {{"token", response.token}};
  if (response.result) {
    out["answer"] = EncodeResult(*response.result);
  } else {
    out["kind"] = AnswerFor(response.result.error().kind).name;
    out["detail"] = response.result.error().detail;
  }
  if (response.leader) out["leader"] = response.leader->value();
  return out;
}

Result<ControlResponse> DecodeControlResponse(const json& in) {
  try {
    ControlResponse response;
    response.token = in.at("token").get<std::uint64_t>();
    if (in.contains("leader")) {
      response.leader = HostId(in.at("leader").get<std::string>());
    }
    if (in.contains("answer")) {
      response.result = DecodeResult(in.at("answer"));
      return response;
    }
    const auto kind = ErrorKindFromName(in.at("kind").get<std::string>());
    response.result = Fail(kind.value_or(ErrorKind::kInternal),
                           in.at("detail").get<std::string>());
    return response;
  } catch (const json::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                std::string("malformed control response: ") + e.what());
  }
}

}  // namespace sapphirebank
