#pragma once

#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirebank {

// Reads one CBOR value from bytes of a peer; nothing when they are malformed.
// The library's own way without exceptions still throws on a length that is
// too large.
template <typename Bytes>
std::optional<nlohmann::json> ParseCbor(const Bytes& bytes) {
  try {
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// Returns `bytes` as a byte string of CBOR.
inline nlohmann::json CborBinary(std::string_view bytes) {
  return nlohmann::json::binary({bytes.begin(), bytes.end()});
}

// Returns the bytes of a byte string. Throws when `value` is none.
inline std::string CborBytes(const nlohmann::json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace sapphirebank
