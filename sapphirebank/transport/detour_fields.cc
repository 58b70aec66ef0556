#include "sapphirebank/transport/detour_fields.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "sapphirebank/transport/signed_field.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr std::string_view kPurpose = "detour";

}  // namespace

void AddDetourFields(const FleetSecret& secret, const DetourRequest& detour,
                     HttpRequestHead& head, std::string_view body) {
  const json values = {{"to", detour.to},
                       {"left_us", detour.time_left.count()},
                       {"caller_left_us", detour.caller_time_left.count()},
                       {"plan", detour.plan_version},
                       {"attempts", detour.attempts_received},
                       {"may_have_run", detour.may_have_run},
                       {"retry", detour.is_retry},
                       {"token", detour.has_token}};
  AddSignedField(secret, kPurpose, values, head, body);
}

Result<DetourRequest> ReadDetourFields(const FleetSecret& secret,
                                       std::string_view self,
                                       const HttpRequestHead& head,
                                       std::string_view body) {
  const Result<json> values = ReadSignedField(secret, kPurpose, head, body);
  if (!values) return tl::unexpected(values.error());
  DetourRequest detour;
  try {
    values->at("to").get_to(detour.to);
    detour.time_left = Duration(values->at("left_us").get<Duration::rep>());
    detour.caller_time_left =
        Duration(values->at("caller_left_us").get<Duration::rep>());
    values->at("plan").get_to(detour.plan_version);
    values->at("attempts").get_to(detour.attempts_received);
    values->at("may_have_run").get_to(detour.may_have_run);
    values->at("retry").get_to(detour.is_retry);
    values->at("token").get_to(detour.has_token);
  } catch (const json::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("{}: {}", kForwardField, e.what()));
  }
  if (detour.to != self) {
    return Fail(ErrorKind::kPeerRejected,
                fmt::format("the request was sent to {}", detour.to));
  }
  return detour;
}

}  // namespace sapphirebank
