#include "sapphirebank/transport/fleet_secret.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace sapphirebank {
namespace {

constexpr std::size_t kDigestSize = 32;  // Bytes of SHA-256.

std::string Hex(std::span<const std::uint8_t> bytes) {
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const std::uint8_t byte : bytes) {
    fmt::format_to(std::back_inserter(hex), "{:02x}", byte);
  }
  return hex;
}

}  // namespace

FleetSecret::FleetSecret(std::string secret) : secret_(std::move(secret)) {}

FleetSecret::Signature FleetSecret::Sign(std::string_view purpose,
                                         std::string_view data) const {
  std::string text;
  text.reserve(purpose.size() + 1 + data.size());
  text.append(purpose).push_back('\0');
  text.append(data);
  std::array<unsigned char, kDigestSize> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  Signature signature{};
  std::copy_n(digest.begin(), signature.size(), signature.begin());
  return signature;
}

std::string FleetSecret::SignHex(std::string_view purpose,
                                 std::string_view data) const {
  return Hex(Sign(purpose, data));
}

bool FleetSecret::Verify(std::string_view purpose, std::string_view data,
                         std::span<const std::uint8_t> signature) const {
  const Signature expected = Sign(purpose, data);
  return signature.size() == expected.size() &&
         CRYPTO_memcmp(signature.data(), expected.data(), expected.size()) == 0;
}

bool FleetSecret::VerifyHex(std::string_view purpose, std::string_view data,
                            std::string_view signature) const {
  const std::string expected = SignHex(purpose, data);
  return signature.size() == expected.size() &&
         CRYPTO_memcmp(signature.data(), expected.data(), expected.size()) == 0;
}

std::string RandomHex(std::size_t count) {
  std::vector<std::uint8_t> bytes(count);
  if (RAND_bytes(bytes.data(), static_cast<int>(count)) != 1) {
    throw std::runtime_error("the random number generator failed");
  }
  return Hex(bytes);
}

}  // namespace sapphirebank
