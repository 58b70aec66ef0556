#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/json_read.h"
#include "sapphirebank/membership/member.h"

namespace sapphirebank {

// Functions that parse messages encoded as arrays without field names. They
// throw std::out_of_range or exceptions of nlohmann::json on invalid input; the
// calling codec converts these to an Error.

// Returns the field at `index` of an array that must have `size` fields.
inline const nlohmann::json& FieldAt(const nlohmann::json& array,
                                     std::size_t index, std::size_t size) {
  const bool fits = array.is_array() && array.size() == size && index < size;
  if (!fits)
    throw std::out_of_range(
        "value is not an array of the expected number of fields");
  return array[index];
}

// Parses a number in the range of `Number`, which must be an unsigned type.
template <typename Number>
Number ReadUnsigned(const nlohmann::json& value) {
  if (!IsCount(value))
    throw std::out_of_range("value is not a non-negative integer");
  const auto number = value.get<std::uint64_t>();
  if (number > std::numeric_limits<Number>::max()) {
    throw std::out_of_range("integer exceeds the range of its field");
  }
  return static_cast<Number>(number);
}

// Parses a string of at most `limit` bytes.
inline std::string ReadString(const nlohmann::json& value,
                              std::size_t limit = kMaxMemberTextBytes) {
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > limit)
    throw std::out_of_range("string exceeds the length limit of its field");
  return text;
}

// Parses a host id, which must not be empty.
inline HostId ReadHost(const nlohmann::json& value) {
  std::string text = ReadString(value);
  if (text.empty()) throw std::out_of_range("host id is empty");
  return HostId(std::move(text));
}

}  // namespace sapphirebank
