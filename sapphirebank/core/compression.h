#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// Returns `text` in the zlib format (RFC 1950).
std::string Compress(std::string_view text);

// Returns the text that Compress() was given. Fails with kMalformedRequest when
// `compressed` is damaged or the text is longer than `max_bytes`.
Result<std::string> Decompress(std::string_view compressed,
                               std::size_t max_bytes);

}  // namespace sapphirebank
