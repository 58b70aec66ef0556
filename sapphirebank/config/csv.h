#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// One line of a table; a quoted line break does not end it.
using CsvRecord = std::vector<std::string>;

// Largest table that ParseCsv reads, in bytes.
inline constexpr std::size_t kMaxCsvBytes = std::size_t{64} << 20U;

// Returns the name that spreadsheets give a cell, such as "C7". `row` and
// `column` count from 0.
std::string CellName(std::size_t row, std::size_t column);

// Reads a table as RFC 4180 says and spreadsheets write it: with or without a
// byte order mark, lines ended by CRLF or LF, cells separated by commas or,
// when its first line has semicolons and no commas, by semicolons. Empty lines
// give records of one empty cell. Fails with kInvalidDeclaration; the detail
// starts with `file_name` and the cell.
Result<std::vector<CsvRecord>> ParseCsv(std::string_view text,
                                        std::string_view file_name);

// Returns a record as a line of CSV: comma, CRLF, quotes where needed.
std::string FormatCsvRecord(std::span<const std::string> record);

}  // namespace sapphirebank
