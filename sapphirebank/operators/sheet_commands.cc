#include "sapphirebank/operators/sheet_commands.h"

#include "sapphirebank/config/sheet.h"
#include "sapphirebank/operators/change_commands.h"

namespace sapphirebank {

Result<ExitCode> DiffSheet(OperatorApi& api, const SheetSource& sheet,
                           const CommandOutput& output) {
  const auto current = ReadDeclarations(api);
  if (!current) return tl::unexpected(current.error());
  const auto wanted =
      ImportSheet(sheet.text, sheet.file_name, current->declarations);
  if (!wanted) return tl::unexpected(wanted.error());
  const bool different =
      PrintDifference(current->declarations, *wanted, output);
  return different ? ExitCode::kDifferent : ExitCode::kDone;
}

Result<ExitCode> ApplySheet(OperatorApi& api, const SheetSource& sheet,
                            const std::string& change_id,
                            const CommandOutput& output) {
  // A sheet replaces whole sections, so a retry after a conflict could silently
  // overwrite another operator's change. Conflicts are reported instead.
  const auto current = ReadDeclarations(api);
  if (!current) return tl::unexpected(current.error());
  const auto wanted =
      ImportSheet(sheet.text, sheet.file_name, current->declarations);
  if (!wanted) return tl::unexpected(wanted.error());
  const auto change =
      PrepareChange(api, *wanted, current->revision, change_id, output);
  if (!change) return tl::unexpected(change.error());
  if (!*change) return ExitCode::kDone;
  return SendChange(api, **change, output);
}

Result<ExitCode> PrintSheet(OperatorApi& api, std::int32_t utc_offset,
                            const CommandOutput& output) {
  const auto current = ReadDeclarations(api);
  if (!current) return tl::unexpected(current.error());
  output.out << ExportSheet(current->declarations, utc_offset);
  return ExitCode::kDone;
}

}  // namespace sapphirebank
