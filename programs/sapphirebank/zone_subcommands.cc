#include <chrono>

#include "programs/sapphirebank/subcommand.h"
#include "sapphirebank/operators/change_commands.h"

namespace sapphirebank {
namespace {

namespace po = boost::program_options;

Result<ExitCode> Move(const CommandContext& context, bool in_service) {
  const auto id = context.ChangeId();
  if (!id) return tl::unexpected(id.error());
  const auto api = context.Api();
  if (!api) return tl::unexpected(api.error());
  const auto now =
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
  return ChangeZoneState(**api, ZoneId(context.Text("ZONE")), in_service, now,
                         *id, context.output());
}

Subcommand MoveSubcommand(const char* name, const char* summary,
                          bool in_service) {
  Subcommand command{name,
                     "ZONE",
                     summary,
                     {"ZONE"},
                     1,
                     false,
                     {},
                     [in_service](const CommandContext& context) {
                       return Move(context, in_service);
                     }};
  command.options.add_options()("change-id", po::value<std::string>(),
                                "name of the change; otherwise a new one");
  return command;
}

}  // namespace

std::vector<Subcommand> ZoneSubcommands() {
  return {MoveSubcommand("zone out",
                         "give an availability zone no new work from now on",
                         false),
          MoveSubcommand("zone in", "let an availability zone take work again",
                         true)};
}

}  // namespace sapphirebank
