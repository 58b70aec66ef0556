#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace sapphirebank {

// Default width of a table in characters, that of a terminal.
inline constexpr std::size_t kTableWidth = 80;

using TextRow = std::vector<std::string>;

// Formats a table with a header and columns two spaces apart. To keep lines
// within `width` characters, the widest columns are narrowed, and a truncated
// cell ends with '~'. No column is narrowed below 4 characters, so a table with
// many columns can exceed `width`. Every row must have as many cells as the
// header. Cells must be ASCII.
std::string FormatTable(const TextRow& header, const std::vector<TextRow>& rows,
                        std::size_t width = kTableWidth);

}  // namespace sapphirebank
