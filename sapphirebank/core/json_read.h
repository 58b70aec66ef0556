#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Readers of the fields of messages between processes. They throw
// std::out_of_range or nlohmann's exceptions on anything unfit; the codec that
// calls them turns these into an Error.

// Depth of nesting up to which documents of other parties are read. Copying and
// writing such a document takes a stack frame for each level.
inline constexpr int kMaxDocumentDepth = 32;

// Parses a document of another party. Throws nlohmann's parse error, or
// std::out_of_range when it is nested more than kMaxDocumentDepth deep.
nlohmann::json ParseDocument(std::string_view text);

// Does the same, and throws std::out_of_range when a table has two entries of
// one name, of which only the last would be read.
nlohmann::json ParseDocumentWithUniqueNames(std::string_view text);

// Returns whether `value` is a whole number that is not negative. Such a number
// is a signed one in a message that stays in the process and an unsigned one
// after CBOR.
inline bool IsCount(const nlohmann::json& value) {
  return value.is_number_unsigned() ||
         (value.is_number_integer() && value.get<std::int64_t>() >= 0);
}

// Reads a number that is not negative.
inline std::uint64_t ReadCount(const nlohmann::json& value) {
  if (!IsCount(value)) {
    throw std::out_of_range(fmt::format("not a count: {}", value.dump()));
  }
  return value.get<std::uint64_t>();
}

// Reads an enum whose values run from 0 to `last`.
template <typename Enum>
Enum ReadEnum(const nlohmann::json& value, Enum last) {
  const std::uint64_t number = ReadCount(value);
  if (number > static_cast<std::uint64_t>(last)) {
    throw std::out_of_range(fmt::format("unknown value {}", number));
  }
  return static_cast<Enum>(number);
}

inline constexpr Duration kLongestReadDuration = std::chrono::hours(24);

// Reads a duration in microseconds, up to a day.
inline Duration ReadDuration(const nlohmann::json& value) {
  const std::uint64_t count = ReadCount(value);
  if (count > static_cast<std::uint64_t>(kLongestReadDuration.count())) {
    throw std::out_of_range("duration above one day");
  }
  return Duration(static_cast<Duration::rep>(count));
}

}  // namespace sapphirebank
