#include "sapphirebank/transport/forward_fields.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "sapphirebank/request/route_table.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr std::string_view kPurpose = "forward";

std::string SignedText(const HttpRequestHead& head, std::string_view forward,
                       std::string_view body) {
  return fmt::format("{} {}\n{}\n{}", head.method, head.target, forward,
                     Sha256Hex(body));
}

}  // namespace

void AddForwardFields(const FleetSecret& secret,
                      const ForwardedRequest& forwarded, HttpRequestHead& head,
                      std::string_view body) {
  const json fields = {{"id", forwarded.id.value()},
                       {"workspace", forwarded.workspace.value()},
                       {"left_us", forwarded.time_left.count()},
                       {"weight", forwarded.weight}};
  const std::string forward = fields.dump(-1, ' ', true);
  const std::string signature =
      secret.SignHex(kPurpose, SignedText(head, forward, body));
  head.fields.push_back({std::string(kForwardField), forward});
  head.fields.push_back({std::string(kSignatureField), signature});
}

Result<ForwardedRequest> ReadForwardFields(const FleetSecret& secret,
                                           const HttpRequestHead& head,
                                           std::string_view body) {
  const std::string_view forward = FieldValue(head.fields, kForwardField);
  const std::string_view signature = FieldValue(head.fields, kSignatureField);
  if (!secret.VerifyHex(kPurpose, SignedText(head, forward, body), signature)) {
    return Fail(ErrorKind::kPeerRejected,
                "the signature of the forwarded request does not match");
  }
  try {
    const json fields = json::parse(forward);
    ForwardedRequest forwarded;
    forwarded.id = RequestId(fields.at("id").get<std::string>());
    forwarded.workspace =
        WorkspaceId(fields.at("workspace").get<std::string>());
    forwarded.time_left = Duration(fields.at("left_us").get<Duration::rep>());
    forwarded.weight = fields.at("weight").get<double>();
    return forwarded;
  } catch (const json::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("{}: {}", kForwardField, e.what()));
  }
}

}  // namespace sapphirebank
