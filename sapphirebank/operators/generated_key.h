#pragma once

#include <functional>
#include <span>
#include <string>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// A key and what the declarations hold of it.
struct GeneratedKey {
  std::string key;
  std::string sha256;
};

// Fills the bytes with randomness that nobody can guess; false when it cannot.
using SecretBytes = std::function<bool(std::span<unsigned char> bytes)>;

// Returns the source of secret bytes of the TLS library.
SecretBytes SystemSecretBytes();

// Makes a key of 256 secret bits for a caller or an operator.
Result<GeneratedKey> GenerateKey(const SecretBytes& secret_bytes);

}  // namespace sapphirebank
