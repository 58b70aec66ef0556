#include "sapphirebank/consensus/control_response.h"

#include <string>
#include <utility>
#include <vector>

namespace sapphirebank {
namespace {

using nlohmann::json;

json EncodeAnswer(const CommandResult& answer) {
  if (const auto* change = std::get_if<ChangeResult>(&answer)) {
    return {{"revision", change->revision}};
  }
  if (const auto* claim = std::get_if<ClaimResult>(&answer)) {
    const std::vector<std::uint8_t> bytes(claim->answer.begin(),
                                          claim->answer.end());
    return {{"state", static_cast<int>(claim->state)},
            {"bytes", json::binary(bytes)}};
  }
  return json::object();
}

Result<CommandResult> DecodeAnswer(const json& answer) {
  if (answer.contains("revision")) {
    return ChangeResult{answer.at("revision").get<Revision>()};
  }
  if (!answer.contains("state")) return Done{};
  const int state = answer.at("state").get<int>();
  if (state < 0 || state > static_cast<int>(ClaimState::kFingerprintMismatch)) {
    return Fail(ErrorKind::kMalformedRequest, "unknown state of a claim");
  }
  ClaimResult claim;
  claim.state = static_cast<ClaimState>(state);
  const auto& bytes = answer.at("bytes").get_binary();
  claim.answer.assign(bytes.begin(), bytes.end());
  return claim;
}

}  // namespace

json EncodeControlResponse(const ControlResponse& reply) {
  json out = {{"token", reply.token}};
  if (reply.result) {
    out["answer"] = EncodeAnswer(*reply.result);
  } else {
    out["kind"] = AnswerFor(reply.result.error().kind).name;
    out["detail"] = reply.result.error().detail;
  }
  if (reply.leader) out["leader"] = reply.leader->value();
  return out;
}

Result<ControlResponse> DecodeControlResponse(const json& in) {
  try {
    ControlResponse reply;
    reply.token = in.at("token").get<std::uint64_t>();
    if (in.contains("leader")) {
      reply.leader = HostId(in.at("leader").get<std::string>());
    }
    if (in.contains("answer")) {
      reply.result = DecodeAnswer(in.at("answer"));
      return reply;
    }
    const auto kind = ErrorKindFromName(in.at("kind").get<std::string>());
    reply.result = Fail(kind.value_or(ErrorKind::kInternal),
                        in.at("detail").get<std::string>());
    return reply;
  } catch (const json::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                std::string("control reply: ") + e.what());
  }
}

}  // namespace sapphirebank
