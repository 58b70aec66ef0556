#include <fmt/format.h>
#include <fmt/ostream.h>

#include "programs/sapphirebank/subcommand.h"
#include "sapphirebank/operators/change_commands.h"
#include "sapphirebank/operators/generated_key.h"

namespace sapphirebank {
namespace {

namespace po = boost::program_options;

Result<ExitCode> RunNew(const CommandContext& context) {
  const auto made = GenerateKey(SystemSecureRandom());
  if (!made) return tl::unexpected(made.error());
  const CommandOutput& output = context.output();
  if (output.json) {
    PrintJson(output, {{"key", made->key}, {"sha256", made->sha256}});
  } else {
    fmt::print(output.out, "key     {}\nsha256  {}\n", made->key, made->sha256);
  }
  output.progress << "the key is shown this once; declare its sha256\n";
  return ExitCode::kDone;
}

Result<ExitCode> RunGrant(const CommandContext& context) {
  const KeyDeclaration key{context.Text("KEY-ID"),
                           WorkspaceId(context.Text("workspace")),
                           context.Text("sha256")};
  const auto id = context.ChangeId();
  if (!id) return tl::unexpected(id.error());
  const auto api = context.Api();
  if (!api) return tl::unexpected(api.error());
  return GrantKey(**api, key, *id, context.output());
}

Result<ExitCode> RunWithdraw(const CommandContext& context) {
  const auto id = context.ChangeId();
  if (!id) return tl::unexpected(id.error());
  const auto api = context.Api();
  if (!api) return tl::unexpected(api.error());
  return WithdrawKey(**api, context.Text("KEY-ID"), *id, context.output());
}

}  // namespace

std::vector<Subcommand> KeySubcommands() {
  Subcommand make{
      "key new", "",    "make a key for a caller or an operator and its digest",
      {},        0,     false,
      {},        RunNew};
  Subcommand grant{"key grant", "KEY-ID", "let a key be used for a workspace",
                   {"KEY-ID"},  1,        false,
                   {},          RunGrant};
  grant.options.add_options()("workspace", po::value<std::string>()->required(),
                              "workspace that the key stands for")(
      "sha256", po::value<std::string>()->required(),
      "digest of the key, from key new")("change-id", po::value<std::string>(),
                                         "name of the change");
  Subcommand withdraw{"key withdraw",
                      "KEY-ID",
                      "withdraw a key by its id",
                      {"KEY-ID"},
                      1,
                      false,
                      {},
                      RunWithdraw};
  withdraw.options.add_options()("change-id", po::value<std::string>(),
                                 "name of the change");
  return {make, grant, withdraw};
}

}  // namespace sapphirebank
