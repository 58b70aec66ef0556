#include "sapphirebank/transport/link_handshake.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr std::string_view kPurpose = "link";

tl::unexpected<Error> Rejected(std::string cause) {
  return Fail(ErrorKind::kPeerRejected, std::move(cause));
}

std::string TextField(const json& message, const char* name) {
  if (!message.is_object()) return {};
  const auto found = message.find(name);
  if (found == message.end() || !found->is_string()) return {};
  return found->get<std::string>();
}

}  // namespace

LinkHandshake::LinkHandshake(HostId self, FleetSecret secret, std::string nonce,
                             bool outgoing)
    : self_(std::move(self)),
      secret_(std::move(secret)),
      nonce_(std::move(nonce)),
      outgoing_(outgoing) {}

json LinkHandshake::Hello() const {
  return {{"hello", self_.value()}, {"nonce", nonce_}};
}

Result<std::optional<json>> LinkHandshake::Receive(const json& message) {
  if (peer_nonce_.empty()) {
    peer_ = HostId(TextField(message, "hello"));
    peer_nonce_ = TextField(message, "nonce");
    if (peer_.empty() || peer_nonce_.empty()) {
      return Rejected("the first message of the peer is not a valid hello");
    }
    if (peer_nonce_ == nonce_)
      return Rejected("the peer sent this end's own nonce");
    return json{{"proof", secret_.SignHex(kPurpose, ProofText(outgoing_))}};
  }
  const std::string proof = TextField(message, "proof");
  if (!secret_.VerifyHex(kPurpose, ProofText(!outgoing_), proof)) {
    return Rejected(fmt::format(
        "host \"{}\" sent a wrong proof of the fleet secret", peer_.value()));
  }
  done_ = true;
  return std::optional<json>();
}

std::string LinkHandshake::ProofText(bool of_outgoing_end) const {
  const bool is_own_proof = of_outgoing_end == outgoing_;
  const std::string& host = is_own_proof ? self_.value() : peer_.value();
  const std::string& out_nonce = outgoing_ ? nonce_ : peer_nonce_;
  const std::string& in_nonce = outgoing_ ? peer_nonce_ : nonce_;
  return fmt::format("{} {} {} {}", of_outgoing_end ? "out" : "in", host,
                     out_nonce, in_nonce);
}

}  // namespace sapphirebank
