#include <chrono>
#include <sstream>

#include "programs/sapphirebank/subcommand.h"
#include "sapphirebank/config/calendar_time.h"
#include "sapphirebank/operators/report_commands.h"

namespace sapphirebank {
namespace {

namespace po = boost::program_options;

Result<ExitCode> RunStatus(const CommandContext& context) {
  const auto api = context.CreateApi();
  if (!api) return tl::unexpected(api.error());
  return PrintStatus(**api, context.output());
}

Result<ExitCode> RunBackends(const CommandContext& context) {
  const auto api = context.CreateApi();
  if (!api) return tl::unexpected(api.error());
  return PrintBackends(**api, ServiceId(context.Value("service")),
                       context.output());
}

Result<ExitCode> RunTotals(const CommandContext& context) {
  const auto api = context.CreateApi();
  if (!api) return tl::unexpected(api.error());
  const auto now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  const std::string day =
      context.Has("day") ? context.Value("day") : FormatDay(now, 0);
  return PrintTotals(**api, day, context.Has("csv"), context.output());
}

Result<ExitCode> RunExplain(const CommandContext& context) {
  std::string log;
  auto files = context.Values("FILE");
  if (files.empty()) files = {"-"};
  for (const std::string& file : files) {
    const auto text = ReadFile(file);
    if (!text) return tl::unexpected(text.error());
    log += *text;
    log += '\n';
  }
  std::istringstream lines(log);
  return ExplainRequest(lines, RequestId(context.Value("REQUEST-ID")),
                        context.output());
}

}  // namespace

std::vector<Subcommand> ReportSubcommands() {
  Subcommand status{
      "status", "",       "show hosts, revisions, leader and leases",
      {},       0,        false,
      {},       RunStatus};
  Subcommand backends{"backends", "", "show backend servers", {}, 0, false, {},
                      RunBackends};
  backends.options.add_options()("service", po::value<std::string>(),
                                 "show only backend servers of this service");
  Subcommand totals{"totals", "", "show the totals of a day", {}, 0, false, {},
                    RunTotals};
  totals.options.add_options()("day", po::value<std::string>(),
                               "YYYY-MM-DD; the default is today in UTC")(
      "csv", "print all columns as CSV");
  Subcommand explain{
      "explain",
      "REQUEST-ID [FILE...]",
      "show the log lines of a request, from files or standard input",
      {"REQUEST-ID", "FILE"},
      1,
      true,
      {},
      RunExplain};
  return {status, backends, totals, explain};
}

}  // namespace sapphirebank
