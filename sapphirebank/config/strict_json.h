#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// Deepest nesting of objects and arrays that ParseStrictJson accepts.
inline constexpr std::size_t kMaxJsonDepth = 32;

// Reads JSON with comments. Fails with `kind` when the text is not valid, when
// an object has two members of one name, or when it is nested more deeply than
// kMaxJsonDepth; the detail starts with "file:line:column: ". Columns count
// bytes.
Result<nlohmann::json> ParseStrictJson(
    std::string_view text, std::string_view file_name,
    ErrorKind kind = ErrorKind::kInvalidDeclaration);

}  // namespace sapphirebank
