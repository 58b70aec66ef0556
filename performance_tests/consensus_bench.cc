// Measures the replicated control state: the throughput of three control hosts
// in one process, each with a thread, a data folder and real file syncs; the
// restart time of one host; the memory of claims; and the time to apply a
// change to large declarations. Prints one JSON line for each measurement.

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>

#include "performance_tests/threaded_group.h"
#include "sapphirebank/consensus/control_host.h"
#include "sapphirebank/consensus/posix_file_system.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

// Size of the stored answer of a completed claim.
constexpr std::size_t kAnswerBytes = 200;
constexpr Revision kChangesPerFlush = 100;
constexpr Revision kTimedChanges = 20;

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void PrintResult(const json& line) { std::puts(line.dump().c_str()); }

Claim MakeClaim(std::uint64_t claim_number) {
  const std::string text = std::to_string(claim_number);
  return {{WorkspaceId("workspace-" + std::to_string(claim_number % 8)),
           "0b8f6c1e-7d7e-4b5f-9a55-" + text},
          std::string(64, 'f'),
          {RequestId("request-" + text), HostId("entry-1"), 1}};
}

ApplyChange MakeChange(Revision base, const std::string& path,
                       const json& value) {
  return {base, "change-" + std::to_string(base), "operator-1",
          json::array({{{"op", "add"}, {"path", path}, {"value", value}}})};
}

std::uint64_t FolderBytes(const std::string& folder) {
  std::uint64_t bytes = 0;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.is_regular_file()) bytes += entry.file_size();
  }
  return bytes;
}

// Measures the rate and the cost of commands that three hosts replicate, with
// `max_outstanding` commands outstanding.
template <typename MakeCommand>
void MeasureLoad(const std::string& name, const std::string& folder,
                 std::uint64_t seed, bool batching, std::size_t max_outstanding,
                 double seconds, MakeCommand make_command) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  ThreadedGroup group(folder, seed, batching);
  group.AwaitLeader();
  const auto start = Clock::now();
  const double cpu_before = CpuSeconds();
  const std::uint64_t sent_before = group.bytes_sent();
  const std::uint64_t disk_before = FolderBytes(folder);
  const std::uint64_t accepted =
      group.RunLoad(max_outstanding, seconds, make_command);
  const double elapsed = SecondsSince(start);
  const auto per_accepted = [&](double value) {
    return value / static_cast<double>(std::max<std::uint64_t>(accepted, 1));
  };
  PrintResult(
      {{"measure", name},
       {"hosts", kHosts},
       {"batching", batching},
       {"open", max_outstanding},
       {"accepted", accepted},
       {"refused", group.refused()},
       {"per_second", static_cast<double>(accepted) / elapsed},
       {"mean_ms",
        static_cast<double>(max_outstanding) * 1e3 * elapsed /
            static_cast<double>(std::max<std::uint64_t>(accepted, 1))},
       {"cpu_us_each_all_hosts",
        per_accepted((CpuSeconds() - cpu_before) * 1e6)},
       {"message_bytes_each",
        per_accepted(static_cast<double>(group.bytes_sent() - sent_before))},
       {"disk_bytes_each_all_hosts",
        per_accepted(static_cast<double>(FolderBytes(folder) - disk_before))}});
}

void MeasureThroughput(const std::string& folder, std::uint64_t seed,
                       double seconds) {
  const auto claim = [](std::uint64_t i) {
    return ControlCommand(MakeClaim(i));
  };
  // Even commands make a claim, and the next odd one completes it with an
  // answer.
  const auto claim_and_complete = [](std::uint64_t i) -> ControlCommand {
    const Claim current_claim = MakeClaim(i / 2);
    if (i % 2 == 0) return current_claim;
    return CompleteClaim{current_claim.key, current_claim.holder,
                         ClaimOutcome::kAnswered,
                         std::string(kAnswerBytes, 'a')};
  };
  const auto change = [](std::uint64_t i) {
    return ControlCommand(MakeChange(i, "/rate", i));
  };
  for (const bool batching : {false, true}) {
    for (const std::size_t max_outstanding : {1U, 64U, 1024U}) {
      MeasureLoad("claims", folder, seed, batching, max_outstanding, seconds,
                  claim);
    }
  }
  MeasureLoad("claims_and_ends", folder, seed, true, 1024, seconds,
              claim_and_complete);
  for (const std::size_t max_outstanding : {1U, 64U}) {
    MeasureLoad("changes", folder, seed, true, max_outstanding, seconds,
                change);
  }
}

// Applies `changes` changes on a single host and measures the time from its
// restart until it is leader again.
void MeasureRestart(const std::string& folder, std::uint64_t seed,
                    Revision changes) {
  std::filesystem::remove_all(folder);
  auto files = ValueOrExit(PosixFileSystem::Open(folder));
  Instant now = Now();
  auto host =
      ValueOrExit(ControlHost::Create(MakeSettings(0, 1), *files, now, seed));
  const auto wait_for_leadership = [&](ControlHost& control_host) {
    while (!control_host.IsLeader()) {
      now += kTickInterval;
      control_host.Tick(now, WallClockNow());
      static_cast<void>(control_host.Flush(now));
    }
  };
  wait_for_leadership(host);
  for (Revision i = 0; i < changes; ++i) {
    host.Propose(now, MakeChange(i, "/rate", i), i + 1);
    if (i % kChangesPerFlush == kChangesPerFlush - 1) {
      static_cast<void>(host.Flush(now));
    }
  }
  static_cast<void>(host.Flush(now));
  const Revision before = host.state().declarations().revision();
  const auto start = Clock::now();
  auto restarted = ValueOrExit(
      ControlHost::Create(MakeSettings(0, 1), *files, now, seed + 1));
  wait_for_leadership(restarted);
  PrintResult({{"measure", "restart"},
               {"changes", changes},
               {"revision_before", before},
               {"revision_after", restarted.state().declarations().revision()},
               {"ms", SecondsSince(start) * 1e3},
               {"disk_bytes", FolderBytes(folder)}});
}

// Measures heap and snapshot bytes of completed claims, and the time of a
// snapshot and of its restoration.
void MeasureMemory(std::uint64_t claims) {
  malloc_trim(0);
  const std::size_t before = HeapBytes();
  ControlState state;
  for (std::uint64_t i = 0; i < claims; ++i) {
    const Claim claim = MakeClaim(i);
    static_cast<void>(ValueOrExit(state.Apply(claim)));
    static_cast<void>(ValueOrExit(state.Apply(
        CompleteClaim{claim.key, claim.holder, ClaimOutcome::kAnswered,
                      std::string(kAnswerBytes, 'a')})));
  }
  const std::size_t claim_bytes = HeapBytes() - before;
  const auto start = Clock::now();
  const std::string bytes = state.Snapshot();
  const double snapshot_ms = SecondsSince(start) * 1e3;
  const auto restore_start = Clock::now();
  const auto restored = ValueOrExit(ControlState::Restore(bytes));
  PrintResult({{"measure", "claim_memory"},
               {"claims", claims},
               {"answer_bytes", kAnswerBytes},
               {"heap_bytes_each",
                static_cast<double>(claim_bytes) / static_cast<double>(claims)},
               {"snapshot_bytes_each", static_cast<double>(bytes.size()) /
                                           static_cast<double>(claims)},
               {"snapshot_ms", snapshot_ms},
               {"restore_ms", SecondsSince(restore_start) * 1e3},
               {"restored", restored.claims().size()}});
}

json MakeDeclarations(std::uint64_t workspaces) {
  auto workspace_list = json::array();
  for (std::uint64_t i = 0; i < workspaces; ++i) {
    workspace_list.push_back(
        {{"id", "workspace-" + std::to_string(i)},
         {"rate", 100},
         {"burst", 200},
         {"weight", 1},
         {"services", json::array({"service-1", "service-2"})}});
  }
  return {{"workspaces", std::move(workspace_list)}};
}

// Measures the processor time of a change to declarations with `workspaces`
// workspaces, and the time and size of a snapshot.
void MeasureApply(std::uint64_t workspaces) {
  ControlState state;
  static_cast<void>(ValueOrExit(
      state.Apply(MakeChange(0, "", MakeDeclarations(workspaces)))));
  const double cpu_before = CpuSeconds();
  for (Revision i = 1; i <= kTimedChanges; ++i) {
    const std::string path =
        "/workspaces/" + std::to_string(i * 37 % workspaces) + "/rate";
    static_cast<void>(ValueOrExit(state.Apply(MakeChange(i, path, i))));
  }
  const double apply_ms = (CpuSeconds() - cpu_before) * 1e3 / kTimedChanges;
  const auto start = Clock::now();
  const std::string bytes = state.Snapshot();
  PrintResult({{"measure", "apply"},
               {"workspaces", workspaces},
               {"apply_cpu_ms", apply_ms},
               {"snapshot_bytes", bytes.size()},
               {"snapshot_ms", SecondsSince(start) * 1e3}});
}

int Main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::string folder;
  std::uint64_t seed = 1;
  double seconds = 0;
  options::options_description description("consensus_bench");
  description.add_options()("help", "print this help")(
      "data", options::value(&folder)->required(),
      "folder for the hosts' files; its content is removed")(
      "seed", options::value(&seed)->default_value(1), "seed of the hosts")(
      "seconds", options::value(&seconds)->default_value(3),
      "length of each load, in seconds");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  if (values.contains("help")) {
    std::puts("consensus_bench --data FOLDER [--seed N] [--seconds S]");
    return EXIT_SUCCESS;
  }
  options::notify(values);
  std::filesystem::create_directories(folder);
  for (const std::uint64_t claims : {10'000U, 100'000U}) MeasureMemory(claims);
  for (const std::uint64_t workspaces : {1'000U, 10'000U, 57'000U}) {
    MeasureApply(workspaces);
  }
  for (const Revision changes : {1'000U, 10'000U}) {
    MeasureRestart(folder + "/restart", seed, changes);
  }
  MeasureThroughput(folder + "/group", seed, seconds);
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace sapphirebank

int main(int argc, char** argv) {
  try {
    return sapphirebank::Main(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "consensus_bench: %s\n", e.what());
    return EXIT_FAILURE;
  }
}
