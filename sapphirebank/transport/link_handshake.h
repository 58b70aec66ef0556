#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/transport/fleet_secret.h"

namespace sapphirebank {

// Mutual authentication of the two ends of a link by the fleet secret. Both
// ends send Hello() first; each answers the other's with a proof, a signature
// over its role, its host id and both nonces, so that proofs cannot be replayed
// or reflected.
class LinkHandshake {
 public:
  // `nonce` must be unique and unpredictable. `outgoing` is true on the end
  // that opened the connection.
  LinkHandshake(HostId self, FleetSecret secret, std::string nonce,
                bool outgoing);

  // Returns the first message to send.
  nlohmann::json Hello() const;

  // Processes a message of the peer and returns the message to send back, if
  // any. Fails with kPeerRejected when a message is malformed or its proof is
  // wrong.
  Result<std::optional<nlohmann::json>> Receive(const nlohmann::json& message);

  // Returns whether the peer is authenticated.
  bool done() const { return done_; }

  // Returns the host id that the peer claims; authenticated once done() is
  // true.
  const HostId& peer() const { return peer_; }

 private:
  std::string ProofText(bool of_outgoing_end) const;

  HostId self_;
  FleetSecret secret_;
  std::string nonce_;
  bool outgoing_;
  std::string peer_nonce_;
  HostId peer_;
  bool done_ = false;
};

}  // namespace sapphirebank
