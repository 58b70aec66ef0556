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

// Readers of messages that are arrays without field names. They throw
// std::out_of_range or nlohmann's exceptions on anything unfit; the codec that
// calls them turns these into an Error.

// Returns one field of an array that must have `size` fields.
inline const nlohmann::json& FieldAt(const nlohmann::json& array,
                                     std::size_t index, std::size_t size) {
  const bool fits = array.is_array() && array.size() == size && index < size;
  if (!fits) throw std::out_of_range("wrong number of fields");
  return array[index];
}

// Reads a number of the range of `Number`, which must be unsigned.
template <typename Number>
Number ReadUnsigned(const nlohmann::json& value) {
  if (!IsCount(value)) throw std::out_of_range("not a count");
  const auto number = value.get<std::uint64_t>();
  if (number > std::numeric_limits<Number>::max()) {
    throw std::out_of_range("number too large");
  }
  return static_cast<Number>(number);
}

// Reads a text of at most `limit` bytes.
inline std::string ReadString(const nlohmann::json& value,
                              std::size_t limit = kMaxMemberTextBytes) {
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > limit) throw std::out_of_range("text too long");
  return text;
}

// Reads a host id, which must not be empty.
inline HostId ReadHost(const nlohmann::json& value) {
  std::string text = ReadString(value);
  if (text.empty()) throw std::out_of_range("host id missing");
  return HostId(std::move(text));
}

}  // namespace sapphirebank
