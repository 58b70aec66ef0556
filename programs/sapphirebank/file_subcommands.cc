#include <fmt/format.h>
#include <fmt/ostream.h>

#include <charconv>

#include "programs/sapphirebank/subcommand.h"
#include "sapphirebank/config/declarations_document.h"
#include "sapphirebank/operators/change_commands.h"

namespace sapphirebank {
namespace {

namespace po = boost::program_options;

Result<Declarations> ReadDeclarationsFile(const std::string& name) {
  const auto text = ReadFile(name);
  if (!text) return tl::unexpected(text.error());
  return ParseDeclarations(*text, name);
}

Result<ExitCode> RunCheck(const CommandContext& context) {
  const std::string name = context.Value("FILE");
  const auto text = ReadFile(name);
  if (!text) return tl::unexpected(text.error());
  return CheckFile(*text, name, context.output());
}

Result<ExitCode> RunDiff(const CommandContext& context) {
  const auto wanted = ReadDeclarationsFile(context.Value("FILE"));
  if (!wanted) return tl::unexpected(wanted.error());
  const auto api = context.CreateApi();
  if (!api) return tl::unexpected(api.error());
  return DiffWithFleet(**api, *wanted, context.output());
}

Result<std::optional<Revision>> BaseRevision(const CommandContext& context) {
  if (!context.Has("base")) return std::nullopt;
  const std::string text = context.Value("base");
  Revision base = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, base);
  if (error == std::errc() && rest == end) return base;
  return Fail(ErrorKind::kInvalidSettings,
              fmt::format("--base is \"{}\", expected a whole number", text));
}

// Sends a change that an earlier run wrote to a file with --keep-change.
Result<ExitCode> Resend(const CommandContext& context,
                        const std::string& name) {
  const auto text = ReadFile(name);
  if (!text) return tl::unexpected(text.error());
  const auto change = ChangeFromBody(*text);
  if (!change) return tl::unexpected(change.error());
  const auto api = context.CreateApi();
  if (!api) return tl::unexpected(api.error());
  return SendChange(**api, *change, context.output());
}

Result<ExitCode> RunApply(const CommandContext& context) {
  if (context.Has("resend")) return Resend(context, context.Value("resend"));
  if (!context.Has("FILE")) {
    return Fail(ErrorKind::kInvalidSettings, "expected FILE or --resend");
  }
  const auto wanted = ReadDeclarationsFile(context.Value("FILE"));
  if (!wanted) return tl::unexpected(wanted.error());
  const auto base = BaseRevision(context);
  if (!base) return tl::unexpected(base.error());
  const auto id = context.ChangeId();
  if (!id) return tl::unexpected(id.error());
  const auto api = context.CreateApi();
  if (!api) return tl::unexpected(api.error());
  const auto change =
      PrepareChange(**api, *wanted, *base, *id, context.output());
  if (!change) return tl::unexpected(change.error());
  if (!*change) return ExitCode::kDone;
  const std::string change_file = context.Value("keep-change");
  if (!change_file.empty()) {
    const auto written =
        WriteFile(change_file, ChangeBody(**change).dump() + "\n");
    if (!written) return tl::unexpected(written.error());
    fmt::print(context.output().progress,
               "wrote the change to {}; --resend {} sends it again\n",
               change_file, change_file);
  }
  return SendChange(**api, **change, context.output());
}

}  // namespace

std::vector<Subcommand> FileSubcommands() {
  Subcommand check{
      "check",
      "FILE",
      "validate a file of declarations without contacting a control host",
      {"FILE"},
      1,
      false,
      {},
      RunCheck};
  Subcommand diff{
      "diff",   "FILE", "show the changes that applying a file would make",
      {"FILE"}, 1,      false,
      {},       RunDiff};
  Subcommand apply{"apply",  "FILE",  "apply a file of declarations",
                   {"FILE"}, 0,       false,
                   {},       RunApply};
  apply.options.add_options()(
      "base", po::value<std::string>(),
      "fail unless this revision is in force; the default is the revision in "
      "force when the file is compared")(
      "change-id", po::value<std::string>(),
      "unique id of the change; the default is a new random id")(
      "keep-change", po::value<std::string>(),
      "write the change to this file before sending it")(
      "resend", po::value<std::string>(),
      "send the change in this file again, unmodified");
  return {check, diff, apply};
}

}  // namespace sapphirebank
