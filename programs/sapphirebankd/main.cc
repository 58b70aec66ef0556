#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include "programs/sapphirebankd/control_daemon.h"
#include "programs/sapphirebankd/entry_daemon.h"
#include "programs/sapphirebankd/operator_port.h"
#include "programs/sapphirebankd/process.h"
#include "sapphirebank/config/daemon_settings.h"
#include "sapphirebank/config/text_file.h"

namespace sapphirebank {
namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

struct Arguments {
  std::string settings_file;
  std::string check_file;
  std::string role = "entry";
  bool help = false;
};

options::options_description DescribeOptions(Arguments& arguments) {
  options::options_description description(
      "sapphirebankd: an entry host or a control host");
  auto add = description.add_options();
  add("help", options::bool_switch(&arguments.help), "print this help");
  add("settings", options::value(&arguments.settings_file),
      "settings file, JSON with comments");
  add("check", options::value(&arguments.check_file),
      "check a settings file and exit");
  add("role", options::value(&arguments.role),
      "entry or control; uses default settings when no file is given");
  return description;
}

Result<DaemonSettings> ReadSettings(const std::string& path) {
  return ReadTextFile(path).and_then([&](const std::string& text) {
    return DaemonSettings::Parse(text, path);
  });
}

Result<DaemonSettings> SettingsFromArguments(const Arguments& arguments) {
  if (!arguments.check_file.empty()) return ReadSettings(arguments.check_file);
  if (!arguments.settings_file.empty()) {
    return ReadSettings(arguments.settings_file);
  }
  if (arguments.role == "control") {
    return DaemonSettings::Default(HostRole::kControl);
  }
  return DaemonSettings::Default(HostRole::kEntry);
}

int PrintError(const Error& error) {
  fmt::print(stderr, "sapphirebankd: {}\n", error.detail);
  return kExitFailed;
}

int RunControl(caf::actor_system& system, asio::io_context& loop,
               const DaemonSettings& settings, FleetSecret secret,
               LogWriter& log) {
  auto daemon = ControlDaemon::Start(system, settings, std::move(secret), log);
  if (!daemon) return PrintError(daemon.error());
  const auto operators = OpenOperatorPort(settings, **daemon);
  if (!operators) return PrintError(operators.error());
  log.Write(LogLevel::kInfo, "started", {{"role", "control"}});
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { loop.stop(); });
  loop.run();
  return 0;
}

int RunEntry(caf::actor_system& system, asio::io_context& loop,
             const DaemonSettings& settings, FleetSecret secret,
             LogWriter& log) {
  auto daemon =
      EntryDaemon::Start(system, loop, settings, std::move(secret), log);
  if (!daemon) return PrintError(daemon.error());
  log.Write(LogLevel::kInfo, "started", {{"role", "entry"}});
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait(
      [&](const auto&, int) { (*daemon)->Drain([&] { loop.stop(); }); });
  loop.run();
  return 0;
}

int Run(const Arguments& arguments) {
  const auto settings = SettingsFromArguments(arguments);
  if (!settings) return PrintError(settings.error());
  if (!arguments.check_file.empty()) {
    fmt::print("{}: valid\n", arguments.check_file);
    return 0;
  }
  auto secret = ReadFleetSecret(*settings);
  if (!secret) return PrintError(secret.error());
  auto log = OpenLog(*settings);
  if (!log) return PrintError(log.error());
  LogDisabledProtections(*settings, **log);

  caf::actor_system_config config;
  caf::actor_system system(config);
  asio::io_context loop(1);
  if (settings->role == HostRole::kControl) {
    return RunControl(system, loop, *settings, std::move(*secret), **log);
  }
  return RunEntry(system, loop, *settings, std::move(*secret), **log);
}

}  // namespace
}  // namespace sapphirebank

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  sapphirebank::Arguments arguments;
  const auto description = sapphirebank::DescribeOptions(arguments);
  try {
    boost::program_options::variables_map values;
    boost::program_options::store(
        boost::program_options::parse_command_line(argc, argv, description),
        values);
    boost::program_options::notify(values);
  } catch (const boost::program_options::error& e) {
    fmt::print(stderr, "sapphirebankd: {}\n", e.what());
    return sapphirebank::kExitUsage;
  }
  if (arguments.help) {
    std::cout << description;
    return 0;
  }
  try {
    return sapphirebank::Run(arguments);
  } catch (const std::exception& e) {
    fmt::print(stderr, "sapphirebankd: {}\n", e.what());
    return sapphirebank::kExitFailed;
  }
}
