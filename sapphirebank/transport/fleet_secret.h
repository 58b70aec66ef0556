#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirebank {

// The secret that the processes of one fleet share. Signatures include the
// purpose that they are made for, so that one cannot be reused for another
// purpose.
class FleetSecret {
 public:
  static constexpr std::size_t kSignatureSize = 16;  // Bytes.
  using Signature = std::array<std::uint8_t, kSignatureSize>;

  // With an empty `secret` signatures are computed and verified as usual, but
  // anyone can forge them.
  explicit FleetSecret(std::string secret);

  // Returns whether the secret is not empty.
  bool is_set() const { return !secret_.empty(); }

  // Returns the truncated HMAC-SHA256 (RFC 2104) of `purpose` and `data`.
  Signature Sign(std::string_view purpose, std::string_view data) const;

  // Returns the result of Sign() in hexadecimal.
  std::string SignHex(std::string_view purpose, std::string_view data) const;

  // Returns whether `signature` is that of `purpose` and `data`. Compares in
  // constant time.
  bool Verify(std::string_view purpose, std::string_view data,
              std::span<const std::uint8_t> signature) const;
  bool VerifyHex(std::string_view purpose, std::string_view data,
                 std::string_view signature) const;

 private:
  std::string secret_;
};

// Returns `count` random bytes of a cryptographically secure generator in
// hexadecimal. Throws std::runtime_error when the generator fails.
std::string RandomHex(std::size_t count);

}  // namespace sapphirebank
