#include "sapphirebank/transport/signed_field.h"

#include <fmt/format.h>

#include <string>

#include "sapphirebank/request/route_table.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

std::string SignedText(const HttpRequestHead& head, std::string_view values,
                       std::string_view body) {
  return fmt::format("{} {}\n{}\n{}", head.method, head.target, values,
                     Sha256Hex(body));
}

}  // namespace

void AddSignedField(const FleetSecret& secret, std::string_view purpose,
                    const json& values, HttpRequestHead& head,
                    std::string_view body) {
  const std::string text = values.dump(-1, ' ', true);
  const std::string signature =
      secret.SignHex(purpose, SignedText(head, text, body));
  head.fields.push_back({std::string(kForwardField), text});
  head.fields.push_back({std::string(kSignatureField), signature});
}

Result<json> ReadSignedField(const FleetSecret& secret,
                             std::string_view purpose,
                             const HttpRequestHead& head,
                             std::string_view body) {
  const std::string_view text = FieldValue(head.fields, kForwardField);
  const std::string_view signature = FieldValue(head.fields, kSignatureField);
  if (!secret.VerifyHex(purpose, SignedText(head, text, body), signature)) {
    return Fail(ErrorKind::kPeerRejected,
                "the signature of the forwarded request does not match");
  }
  try {
    return json::parse(text);
  } catch (const json::exception& e) {
    return Fail(ErrorKind::kMalformedRequest,
                fmt::format("{}: {}", kForwardField, e.what()));
  }
}

}  // namespace sapphirebank
