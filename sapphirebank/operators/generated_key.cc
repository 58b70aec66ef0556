#include "sapphirebank/operators/generated_key.h"

#include <fmt/format.h>
#include <openssl/rand.h>

#include <array>

#include "sapphirebank/request/route_table.h"

namespace sapphirebank {
namespace {

constexpr std::size_t kKeyBytes = 32;
// Tells people and scanners of repositories what the text is.
constexpr std::string_view kKeyPrefix = "sbk-";

}  // namespace

SecretBytes SystemSecretBytes() {
  return [](std::span<unsigned char> bytes) {
    return RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1;
  };
}

Result<GeneratedKey> GenerateKey(const SecretBytes& secret_bytes) {
  std::array<unsigned char, kKeyBytes> bytes = {};
  if (!secret_bytes(bytes)) {
    return Fail(ErrorKind::kInternal, "there is no randomness for a key");
  }
  GeneratedKey made{std::string(kKeyPrefix), ""};
  for (const unsigned char byte : bytes)
    made.key += fmt::format("{:02x}", byte);
  made.sha256 = Sha256Hex(made.key);
  return made;
}

}  // namespace sapphirebank
