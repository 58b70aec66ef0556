#include "sapphirebank/operators/generated_key.h"

#include <fmt/format.h>
#include <openssl/rand.h>

#include <array>

#include "sapphirebank/request/route_table.h"

namespace sapphirebank {
namespace {

constexpr std::size_t kKeyBytes = 32;
// Lets people and secret scanners recognize a key.
constexpr std::string_view kKeyPrefix = "sbk-";

}  // namespace

SecureRandomSource SystemSecureRandom() {
  return [](std::span<unsigned char> bytes) {
    return RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1;
  };
}

Result<GeneratedKey> GenerateKey(const SecureRandomSource& random_source) {
  std::array<unsigned char, kKeyBytes> bytes = {};
  if (!random_source(bytes)) {
    return Fail(ErrorKind::kInternal,
                "cannot generate a key: the system has no random bytes");
  }
  GeneratedKey generated{std::string(kKeyPrefix), ""};
  for (const unsigned char byte : bytes)
    generated.key += fmt::format("{:02x}", byte);
  generated.sha256 = Sha256Hex(generated.key);
  return generated;
}

}  // namespace sapphirebank
