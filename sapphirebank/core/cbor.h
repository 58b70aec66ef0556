#pragma once

#include <cstddef>
#include <cstdint>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirebank {

// Depth of nesting up to which messages of a peer are read. The library uses a
// stack frame for each level.
inline constexpr std::size_t kMaxCborDepth = 64;

// Returns whether no data item in `bytes` is nested more than `max_depth` deep.
// Bytes that are not CBOR are checked up to the first place that is not.
bool IsCborWithinDepth(std::string_view bytes, std::size_t max_depth);

// Reads one CBOR value from bytes of a peer; nothing when they are malformed or
// nested more than kMaxCborDepth deep.
// The library's own way without exceptions still throws on a length that is
// too large.
template <typename Bytes>
std::optional<nlohmann::json> ParseCbor(const Bytes& bytes) {
  const std::string_view text(reinterpret_cast<const char*>(bytes.data()),
                              bytes.size());
  if (!IsCborWithinDepth(text, kMaxCborDepth)) return std::nullopt;
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
