#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <iostream>

#include "programs/sapphirebank/subcommand.h"

namespace sapphirebank {
namespace {

namespace po = boost::program_options;

constexpr const char* kUsageText =
    "sapphirebank COMMAND [OPTION...] [ARGUMENT...]\n\n"
    "Command line for operators of the fleet. Every command has --help.\n\n";
constexpr const char* kExitCodesText =
    "\nExit codes: 0 done, 1 differences found, 2 usage, 3 not valid,\n"
    "4 another change came first, 5 operator not known, 6 no answer,\n"
    "7 not found, 8 failed.\n";

int ToInt(ExitCode code) { return static_cast<int>(code); }

po::options_description CommonOptions() {
  po::options_description common;
  common.add_options()("help", "print this help")("json",
                                                  "print results as JSON")(
      "control", po::value<std::string>(),
      "control hosts as IP:PORT[,IP:PORT...]; the default is the environment "
      "variable SAPPHIREBANK_CONTROL, then 127.0.0.1:7080")(
      "key-file", po::value<std::string>(),
      "file with the operator's key; the default is the environment variable "
      "SAPPHIREBANK_OPERATOR_KEY");
  return common;
}

void PrintHelp(const std::vector<Subcommand>& commands) {
  std::cout << kUsageText;
  for (const Subcommand& command : commands) {
    fmt::print(std::cout, "  {:<14}{}\n", command.name, command.summary);
  }
  std::cout << kExitCodesText;
}

void PrintHelp(const Subcommand& command) {
  fmt::print(std::cout, "sapphirebank {} {}\n\n{}\n\n", command.name,
             command.arguments, command.summary);
  std::cout << command.options << CommonOptions() << kExitCodesText;
}

// Returns the command that the arguments begin with and removes its words
// from them. Commands of two words are matched first.
const Subcommand* ExtractCommand(const std::vector<Subcommand>& commands,
                                 std::vector<std::string>& arguments) {
  for (std::size_t word_count = 2; word_count >= 1; --word_count) {
    if (arguments.size() < word_count) continue;
    const std::string name =
        word_count == 2 ? arguments[0] + " " + arguments[1] : arguments[0];
    const auto found =
        std::find_if(commands.begin(), commands.end(),
                     [&](const Subcommand& c) { return c.name == name; });
    if (found == commands.end()) continue;
    arguments.erase(
        arguments.begin(),
        arguments.begin() + static_cast<std::ptrdiff_t>(word_count));
    return &*found;
  }
  return nullptr;
}

po::variables_map ParseArguments(const Subcommand& command,
                                 const std::vector<std::string>& arguments) {
  po::options_description options;
  options.add(command.options).add(CommonOptions());
  po::positional_options_description positions;
  for (std::size_t i = 0; i < command.positional.size(); ++i) {
    const std::string& name = command.positional[i];
    const bool repeated = command.repeats && i + 1 == command.positional.size();
    if (repeated) {
      options.add_options()(name.c_str(),
                            po::value<std::vector<std::string>>());
    } else {
      options.add_options()(name.c_str(), po::value<std::string>());
    }
    positions.add(name.c_str(), repeated ? -1 : 1);
  }
  po::variables_map values;
  po::store(po::command_line_parser(arguments)
                .options(options)
                .positional(positions)
                .run(),
            values);
  if (values.count("help") > 0) return values;
  po::notify(values);
  for (std::size_t i = 0; i < command.required; ++i) {
    if (values.count(command.positional[i]) == 0) {
      throw po::error("missing argument " + command.positional[i]);
    }
  }
  return values;
}

int RunCommand(const Subcommand& command,
               const std::vector<std::string>& arguments) {
  po::variables_map values;
  try {
    values = ParseArguments(command, arguments);
  } catch (const po::error& e) {
    fmt::print(std::cerr, "sapphirebank {}: {}; see --help\n", command.name,
               e.what());
    return ToInt(ExitCode::kUsage);
  }
  if (values.count("help") > 0) {
    PrintHelp(command);
    return ToInt(ExitCode::kDone);
  }
  const CommandOutput output{std::cout, std::cerr, values.count("json") > 0};
  const auto code = command.run(CommandContext(values, output));
  if (code) return ToInt(*code);
  const Error& error = code.error();
  fmt::print(std::cerr, "sapphirebank {}: {}: {}\n", command.name,
             AnswerFor(error.kind).name, error.detail);
  return ToInt(ExitCodeFor(error.kind));
}

int Run(std::vector<std::string> arguments) {
  const std::vector<Subcommand> commands = AllSubcommands();
  if (arguments.empty() || arguments[0] == "--help") {
    PrintHelp(commands);
    return ToInt(arguments.empty() ? ExitCode::kUsage : ExitCode::kDone);
  }
  const Subcommand* command = ExtractCommand(commands, arguments);
  if (command != nullptr) return RunCommand(*command, arguments);
  fmt::print(std::cerr, "sapphirebank: unknown command \"{}\"; see --help\n",
             arguments[0]);
  return ToInt(ExitCode::kUsage);
}

}  // namespace

std::vector<Subcommand> AllSubcommands() {
  std::vector<Subcommand> all;
  for (const auto& group :
       {FileSubcommands(), ZoneSubcommands(), KeySubcommands(),
        SheetSubcommands(), ReportSubcommands()}) {
    for (const Subcommand& command : group) all.push_back(command);
  }
  return all;
}

}  // namespace sapphirebank

int main(int argc, char** argv) {
  return sapphirebank::Run(std::vector<std::string>(argv + 1, argv + argc));
}
