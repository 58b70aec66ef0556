#include <fmt/format.h>
#include <fmt/ostream.h>

#include "programs/sapphirebank/subcommand.h"
#include "sapphirebank/operators/change_commands.h"
#include "sapphirebank/operators/generated_key.h"

namespace sapphirebank {
namespace {

namespace po = boost::program_options;

Result<ExitCode> RunKeyNew(const CommandContext& context) {
  const auto generated = GenerateKey(SystemSecureRandom());
  if (!generated) return tl::unexpected(generated.error());
  const CommandOutput& output = context.output();
  if (output.json) {
    PrintJson(output, {{"key", generated->key}, {"sha256", generated->sha256}});
  } else {
    fmt::print(output.out, "key     {}\nsha256  {}\n", generated->key,
               generated->sha256);
  }
  output.progress
      << "the key is not stored and is shown only once; declare its sha256\n";
  return ExitCode::kDone;
}

Result<ExitCode> RunKeyGrant(const CommandContext& context) {
  const KeyDeclaration key{context.Value("KEY-ID"),
                           WorkspaceId(context.Value("workspace")),
                           context.Value("sha256")};
  const auto id = context.ChangeId();
  if (!id) return tl::unexpected(id.error());
  const auto api = context.CreateApi();
  if (!api) return tl::unexpected(api.error());
  return GrantKey(**api, key, *id, context.output());
}

Result<ExitCode> RunKeyWithdraw(const CommandContext& context) {
  const auto id = context.ChangeId();
  if (!id) return tl::unexpected(id.error());
  const auto api = context.CreateApi();
  if (!api) return tl::unexpected(api.error());
  return WithdrawKey(**api, context.Value("KEY-ID"), *id, context.output());
}

}  // namespace

std::vector<Subcommand> KeySubcommands() {
  Subcommand generate{
      "key new",
      "",
      "generate a key for a caller or an operator, and its digest",
      {},
      0,
      false,
      {},
      RunKeyNew};
  Subcommand grant{"key grant", "KEY-ID",   "grant a key access to a workspace",
                   {"KEY-ID"},  1,          false,
                   {},          RunKeyGrant};
  grant.options.add_options()("workspace", po::value<std::string>()->required(),
                              "workspace that the key gives access to")(
      "sha256", po::value<std::string>()->required(),
      "SHA-256 digest of the key, as printed by key new")(
      "change-id", po::value<std::string>(),
      "unique id of the change; the default is a new random id");
  Subcommand withdraw{"key withdraw",
                      "KEY-ID",
                      "withdraw a key by its id",
                      {"KEY-ID"},
                      1,
                      false,
                      {},
                      RunKeyWithdraw};
  withdraw.options.add_options()(
      "change-id", po::value<std::string>(),
      "unique id of the change; the default is a new random id");
  return {generate, grant, withdraw};
}

}  // namespace sapphirebank
