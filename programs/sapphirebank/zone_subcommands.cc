#include <chrono>

#include "programs/sapphirebank/subcommand.h"
#include "sapphirebank/operators/change_commands.h"

namespace sapphirebank {
namespace {

namespace po = boost::program_options;

Result<ExitCode> RunZoneChange(const CommandContext& context, bool in_service) {
  const auto id = context.ChangeId();
  if (!id) return tl::unexpected(id.error());
  const auto api = context.CreateApi();
  if (!api) return tl::unexpected(api.error());
  const auto now =
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
  return ChangeZoneState(**api, ZoneId(context.Value("ZONE")), in_service, now,
                         *id, context.output());
}

Subcommand ZoneSubcommand(const char* name, const char* summary,
                          bool in_service) {
  Subcommand command{name,
                     "ZONE",
                     summary,
                     {"ZONE"},
                     1,
                     false,
                     {},
                     [in_service](const CommandContext& context) {
                       return RunZoneChange(context, in_service);
                     }};
  command.options.add_options()(
      "change-id", po::value<std::string>(),
      "unique id of the change; the default is a new random id");
  return command;
}

}  // namespace

std::vector<Subcommand> ZoneSubcommands() {
  return {
      ZoneSubcommand(
          "zone out",
          "take an availability zone out of service for new requests", false),
      ZoneSubcommand("zone in", "return an availability zone to service",
                     true)};
}

}  // namespace sapphirebank
