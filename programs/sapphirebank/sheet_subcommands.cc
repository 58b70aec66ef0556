#include <fmt/format.h>

#include "programs/sapphirebank/subcommand.h"
#include "sapphirebank/config/calendar_time.h"
#include "sapphirebank/operators/sheet_commands.h"

namespace sapphirebank {
namespace {

namespace po = boost::program_options;

Result<ExitCode> RunSheetImport(const CommandContext& context) {
  const std::string name = context.Value("FILE");
  const auto text = ReadFile(name);
  if (!text) return tl::unexpected(text.error());
  const auto id = context.ChangeId();
  if (!id) return tl::unexpected(id.error());
  const auto api = context.CreateApi();
  if (!api) return tl::unexpected(api.error());
  const SheetSource sheet{*text, name};
  if (!context.Has("apply")) return DiffSheet(**api, sheet, context.output());
  return ApplySheet(**api, sheet, *id, context.output());
}

Result<ExitCode> RunSheetExport(const CommandContext& context) {
  std::int32_t utc_offset = 0;
  if (context.Has("utc-offset")) {
    const auto offset = ParseUtcOffset(context.Value("utc-offset"));
    if (!offset) {
      return Fail(ErrorKind::kInvalidSettings,
                  fmt::format("--utc-offset is \"{}\", expected an offset such "
                              "as \"+05:30\"",
                              context.Value("utc-offset")));
    }
    utc_offset = *offset;
  }
  const auto api = context.CreateApi();
  if (!api) return tl::unexpected(api.error());
  return PrintSheet(**api, utc_offset, context.output());
}

}  // namespace

std::vector<Subcommand> SheetSubcommands() {
  Subcommand import_command{
      "sheet import",
      "FILE",
      "show the changes that a sheet would make; with --apply, make them",
      {"FILE"},
      1,
      false,
      {},
      RunSheetImport};
  import_command.options.add_options()("apply", "apply the sheet atomically")(
      "change-id", po::value<std::string>(),
      "unique id of the change; the default is a new random id");
  Subcommand export_command{"sheet export",
                            "",
                            "print the declarations in force as a CSV sheet",
                            {},
                            0,
                            false,
                            {},
                            RunSheetExport};
  export_command.options.add_options()(
      "utc-offset", po::value<std::string>(),
      "print times at this UTC offset, such as +05:30");
  return {import_command, export_command};
}

}  // namespace sapphirebank
