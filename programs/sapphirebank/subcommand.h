#pragma once

#include <boost/program_options.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sapphirebank/operators/command_output.h"
#include "sapphirebank/transport/operator_api.h"

namespace sapphirebank {

// The parsed options and the output of a subcommand.
class CommandContext {
 public:
  CommandContext(const boost::program_options::variables_map& values,
                 CommandOutput output)
      : values_(values), output_(output) {}

  const CommandOutput& output() const { return output_; }

  // Returns whether the option, flag or positional argument was given.
  bool Has(const std::string& option) const;

  // Returns the value of the option, or an empty string if it was not given.
  std::string Value(const std::string& option) const;

  // Returns the values of an option that may be repeated.
  std::vector<std::string> Values(const std::string& option) const;

  // Returns the value of --change-id, or a new random id. Fails with kInternal
  // if no random bytes are available.
  Result<std::string> ChangeId() const;

  // Creates a client of the control hosts. Fails with kInvalidSettings if an
  // address is invalid, with kNotFound if the key file cannot be read, and with
  // kOperatorUnknown if no operator's key was given.
  Result<std::unique_ptr<OperatorApi>> CreateApi() const;

 private:
  const boost::program_options::variables_map& values_;
  CommandOutput output_;
};

// A command of the command line.
struct Subcommand {
  std::string name;       // One or two words.
  std::string arguments;  // The positional arguments, as shown by --help.
  std::string summary;
  // Names of the positional arguments in order. If `repeats`, the last one may
  // be given several times.
  std::vector<std::string> positional;
  std::size_t required = 0;  // Number of mandatory ones.
  bool repeats = false;
  boost::program_options::options_description options;
  std::function<Result<ExitCode>(const CommandContext&)> run;
};

// Returns all commands in the order in which --help lists them.
std::vector<Subcommand> AllSubcommands();

// The groups of commands that AllSubcommands returns.
std::vector<Subcommand> FileSubcommands();
std::vector<Subcommand> ZoneSubcommands();
std::vector<Subcommand> KeySubcommands();
std::vector<Subcommand> SheetSubcommands();
std::vector<Subcommand> ReportSubcommands();

// Reads a file, or standard input if `name` is "-". Fails with kNotFound.
Result<std::string> ReadFile(const std::string& name);

// Writes a file and replaces an existing one. Fails with kStorageFailed.
Result<void> WriteFile(const std::string& name, const std::string& bytes);

}  // namespace sapphirebank
