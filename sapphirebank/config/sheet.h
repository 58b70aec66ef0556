#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "sapphirebank/config/declarations.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

// The sheet of workspaces, keys, rates and zone plans that planners keep in a
// spreadsheet; its columns are described in docs/interfaces/declarations.md.

// Returns `base` with its workspaces and keys replaced by those of the sheet,
// and with the state and the plans of each availability zone that the sheet
// names. Everything else stays. Fails with kInvalidDeclaration, as a whole; the
// detail has a line for each fault with the cell, the cause and what was
// expected.
Result<Declarations> ImportSheet(std::string_view text,
                                 std::string_view file_name,
                                 const Declarations& base);

// Returns the sheet of `declarations` with times at `utc_offset` seconds from
// UTC. Importing it into them changes nothing.
std::string ExportSheet(const Declarations& declarations,
                        std::int32_t utc_offset = 0);

}  // namespace sapphirebank
