#pragma once

#include <functional>
#include <span>
#include <string>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// A generated key and its SHA-256 digest in hexadecimal. Only the digest is
// stored in the declarations.
struct GeneratedKey {
  std::string key;
  std::string sha256;
};

// Fills `bytes` with cryptographically secure random bytes. Returns false on
// failure.
using SecureRandomSource = std::function<bool(std::span<unsigned char> bytes)>;

// Returns the random number generator of the TLS library.
SecureRandomSource SystemSecureRandom();

// Generates a key with 256 random bits for a caller or an operator. Fails with
// kInternal if no random bytes are available.
Result<GeneratedKey> GenerateKey(const SecureRandomSource& random_source);

}  // namespace sapphirebank
