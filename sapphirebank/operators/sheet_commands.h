#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "sapphirebank/operators/command_output.h"
#include "sapphirebank/transport/operator_api.h"

namespace sapphirebank {

// The text of a CSV sheet and the name of its file, which error messages
// mention.
struct SheetSource {
  std::string_view text;
  std::string_view file_name;
};

// `sheet import`: prints the changes that the sheet would make.
Result<ExitCode> DiffSheet(OperatorApi& api, const SheetSource& sheet,
                           const CommandOutput& output);

// `sheet import --apply`: prints the changes that the sheet makes and applies
// them atomically: if any row is invalid, nothing is changed.
Result<ExitCode> ApplySheet(OperatorApi& api, const SheetSource& sheet,
                            const std::string& change_id,
                            const CommandOutput& output);

// `sheet export`: prints the declarations in force as a sheet, with times at a
// UTC offset of `utc_offset` seconds.
Result<ExitCode> PrintSheet(OperatorApi& api, std::int32_t utc_offset,
                            const CommandOutput& output);

}  // namespace sapphirebank
