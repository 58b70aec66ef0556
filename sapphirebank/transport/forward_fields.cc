#include "sapphirebank/transport/forward_fields.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr std::string_view kPurpose = "forward";

}  // namespace

void AddForwardFields(const FleetSecret& secret,
                      const ForwardedRequest& forwarded, HttpRequestHead& head,
                      std::string_view body) {
  const json values = {{"id", forwarded.id.value()},
                       {"workspace", forwarded.workspace.value()},
                       {"left_us", forwarded.time_left.count()},
                       {"weight", forwarded.weight}};
  AddSignedField(secret, kPurpose, values, head, body);
}

Result<ForwardedRequest> ReadForwardFields(const FleetSecret& secret,
                                           const HttpRequestHead& head,
                                           std::string_view body) {
  const Result<json> values = ReadSignedField(secret, kPurpose, head, body);
  if (!values) return tl::unexpected(values.error());
  try {
    ForwardedRequest forwarded;
    forwarded.id = RequestId(values->at("id").get<std::string>());
    forwarded.workspace =
        WorkspaceId(values->at("workspace").get<std::string>());
    forwarded.time_left = Duration(values->at("left_us").get<Duration::rep>());
    forwarded.weight = values->at("weight").get<double>();
    return forwarded;
  } catch (const json::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("{}: {}", kForwardField, e.what()));
  }
}

}  // namespace sapphirebank
