#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <mutex>
#include <thread>
#include <vector>

#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/consensus/control_state.h"
#include "sapphirebank/consensus/log_storage.h"
#include "sapphirebank/consensus/posix_file_system.h"
#include "system_tests/platform/platform_fleet.h"

namespace sapphirebank::system_tests {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
// The memory above which the platform ends a control process.
constexpr std::size_t kMemoryMb = 256;
// As many orders as an operator has in progress at once.
constexpr int kOrders = 8;

json WithRoutes(json plan, int routes) {
  for (int i = 0; i < routes; ++i) {
    plan["routes"][fmt::format("r-{:07}", i)] = {
        {"host", "desk.example"},
        {"pathPrefix", fmt::format("/bulk{:05}/", i)},
        {"kind", "safe"},
        {"timeout", "800ms"},
        {"targetLatency", "400ms"},
        {"priority", 2},
        {"service", "desk"},
        {"maxAttempts", 2},
        {"public", false}};
  }
  return plan;
}

// Sends an order to one control host and returns the status, 0 without one.
int Put(int host, const std::string& body) {
  httplib::Client client(PlatformFleet::ControlHostIp(host), kControlPort);
  client.set_connection_timeout(1);
  client.set_read_timeout(3);
  const auto answer =
      client.Post("/api/rpc?call=config.put", body, "application/json");
  return answer ? answer->status : 0;
}

// Sends versions of `plan` until `changes` are acknowledged, several at a time,
// each to one control host after the other. Returns the newest acknowledged
// version, or 0 if that takes longer than `limit`.
int SendStorm(const json& plan, int first_version, int changes, seconds limit) {
  std::atomic<int> next = first_version;
  std::atomic<int> acknowledged = 0;
  std::atomic<int> newest = 0;
  const auto end = std::chrono::steady_clock::now() + limit;
  std::vector<std::thread> operators;
  for (int i = 0; i < kOrders; ++i) {
    operators.emplace_back([&, host = i]() mutable {
      json own = plan;
      while (acknowledged < changes) {
        const int version = next++;
        own["version"] = fmt::format("r{}", version);
        own["routes"]["lookup"]["timeout"] =
            fmt::format("{}ms", 2000 + version % 100);
        const std::string body = own.dump();
        while (std::chrono::steady_clock::now() < end) {
          if (Put(host++ % PlatformFleet::kControlHosts, body) == 200) break;
          std::this_thread::sleep_for(milliseconds(50));
        }
        if (std::chrono::steady_clock::now() >= end) return;
        ++acknowledged;
        int known = newest;
        while (known < version &&
               !newest.compare_exchange_weak(known, version)) {
        }
      }
    });
  }
  for (auto& thread : operators) thread.join();
  return acknowledged >= changes ? newest.load() : 0;
}

// Returns the value of a gauge of a control host, or -1.
double Gauge(int host, const std::string& label) {
  const std::string text =
      PlatformFleet::FetchMetrics(PlatformFleet::ControlHostIp(host));
  const auto at = text.find(label + "\"} ");
  if (at == std::string::npos) return -1;
  return std::atof(text.c_str() + at + label.size() + 3);
}

int VersionAt(int host) {
  httplib::Client client(PlatformFleet::ControlHostIp(host), kControlPort);
  const auto answer = client.Post("/api/rpc?call=config.get");
  if (!answer || answer->status != 200) return 0;
  const auto version = json::parse(answer->body).at("version");
  return std::atoi(version.get<std::string>().c_str() + 1);
}

std::uintmax_t FolderBytes(const std::string& folder) {
  std::uintmax_t bytes = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    bytes += entry.file_size();
  }
  return bytes;
}

const json kSettings = {
    {"memory_mb", kMemoryMb}, {"acknowledgement", "4s"}, {"plan_change", "2s"}};

// Guards against control hosts that are ended for their memory, all at nearly
// the same time, by many changes of a large plan (review/11).
TEST_CASE("control hosts stay within their memory in a storm of large plans",
          "[platform]") {
  PlatformFleet fleet(kSettings);
  const json plan = WithRoutes(fleet.MakePlan(1), 5600);
  REQUIRE(plan.dump().size() > kMegabyte * 9 / 10);
  REQUIRE(fleet.CallRpc("config.put", fleet.MakePlan(1).dump()) == 200);
  fleet.WaitUntilServing();
  const int before = SendStorm(plan, 10, 40, seconds(120));
  REQUIRE(before > 0);
  // One control host stands still and has to catch up while the storm goes on.
  fleet.control_host(2).SendSignal(SIGSTOP);
  const int meanwhile = SendStorm(plan, 1000, 40, seconds(120));
  fleet.control_host(2).SendSignal(SIGCONT);
  REQUIRE(meanwhile > 0);
  const int newest = SendStorm(plan, 2000, 100, seconds(200));
  REQUIRE(newest > 0);
  WaitUntil("all control hosts have the newest plan", [&] {
    return VersionAt(0) >= newest && VersionAt(1) >= newest &&
           VersionAt(2) >= newest;
  });
  for (int i = 0; i < PlatformFleet::kControlHosts; ++i) {
    CAPTURE(i);
    CHECK(fleet.control_host(i).PeakMemory() < kMemoryMb * kMegabyte);
    // A 16th of the memory behind a snapshot, and what makes one due.
    CHECK(Gauge(i, "part=\"log") >= 0);
    CHECK(Gauge(i, "part=\"log") < (kMemoryMb / 16 + 8) * kMegabyte);
    CHECK(FolderBytes(fleet.DataFolder(i)) < kMemoryMb / 4 * kMegabyte);
  }
  for (int i = 0; i < PlatformFleet::kEntryHosts; ++i) {
    CHECK(fleet.entry_host(i).PeakMemory() <
          PlatformFleet::kEntryMemoryMb * kMegabyte);
  }
}

// Guards against the end of a fleet that grows as large as the pages allow.
TEST_CASE("the largest plan that is accepted fits into a control host",
          "[platform]") {
  PlatformFleet fleet(kSettings);
  REQUIRE(fleet.CallRpc("config.put", fleet.MakePlan(1).dump()) == 200);
  fleet.WaitUntilServing();
  const json plan = WithRoutes(fleet.MakePlan(1), 17500);
  REQUIRE(plan.dump().size() > 3 * kMegabyte);
  const int newest = SendStorm(plan, 10, 24, seconds(240));
  REQUIRE(newest > 0);
  const json larger = WithRoutes(fleet.MakePlan(9000), 24000);
  REQUIRE(larger.dump().size() > kMemoryMb / 64 * kMegabyte);
  CHECK(Put(0, larger.dump()) == 413);
  for (int i = 0; i < PlatformFleet::kControlHosts; ++i) {
    CAPTURE(i);
    CHECK(VersionAt(i) >= newest);
    CHECK(VersionAt(i) < 9000);
    CHECK(fleet.control_host(i).PeakMemory() < kMemoryMb * kMegabyte);
  }
}

// Guards against a roll-out that ends each control host at its start, by a log
// that the build before has left.
TEST_CASE("a control host starts on a folder with a long log of large plans",
          "[platform]") {
  PlatformFleet fleet(kSettings);
  json plan = WithRoutes(fleet.MakePlan(1), 5600);
  REQUIRE(fleet.CallRpc("config.put", plan.dump()) == 200);
  WaitUntil("all control hosts have the plan", [&] {
    return VersionAt(0) == 1 && VersionAt(1) == 1 && VersionAt(2) == 1;
  });
  constexpr int kHost = 1;
  fleet.control_host(kHost).Kill();
  fleet.RemoveControlHost(kHost);
  const std::string folder = fleet.DataFolder(kHost);
  {
    // Writes what a host without the limit leaves: entries that a snapshot
    // covers, up to the size of the platform's disks.
    auto files = PosixFileSystem::Open(folder);
    REQUIRE(files);
    const HostId host(
        fmt::format("{}:{}", PlatformFleet::ControlHostIp(kHost), kFleetPort));
    SegmentLogSettings settings;
    settings.trailing_bytes = 1024 * kMegabyte;
    auto storage = LogStorage::Open(**files, host, NodeId("unused"), settings);
    REQUIRE(storage);
    const RaftState state = storage->TakeRecovered();
    REQUIRE_FALSE(state.entries.empty());
    LogPosition last = state.entries.back().position;
    ControlState control;
    GroupMembership membership = state.snapshot.membership;
    for (const LogEntry& entry : state.entries) {
      if (entry.kind == EntryKind::kMembership) {
        membership = json::from_cbor(entry.payload).get<GroupMembership>();
      } else if (entry.kind == EntryKind::kCommand) {
        const auto command = DecodeCommand(entry.payload);
        REQUIRE(command);
        static_cast<void>(control.Apply(*command));
      }
    }
    REQUIRE(control.fleet().version() == 1);
    for (int i = 2; i <= 200; ++i) {
      plan["version"] = fmt::format("r{}", i);
      const StorePlan command{static_cast<PlanVersion>(i), plan.dump()};
      static_cast<void>(control.Apply(command));
      ++last.index;
      const LogEntry entry{last, EntryKind::kCommand, EncodeCommand(command)};
      REQUIRE(storage->Append({&entry, 1}));
    }
    const Snapshot snapshot{
        last, membership,
        std::make_shared<const std::string>(control.Snapshot())};
    REQUIRE(storage->SaveSnapshot(snapshot, false));
  }
  REQUIRE(FolderBytes(folder) > 180 * kMegabyte);
  fleet.StartControlHost(kHost, false);
  WaitUntil("the host has cut its folder",
            [&] { return FolderBytes(folder) < kMemoryMb / 4 * kMegabyte; });
  WaitUntil("the host answers", [&] { return Gauge(kHost, "anonymous") > 0; });
  CHECK(fleet.control_host(kHost).PeakMemory() < kMemoryMb * kMegabyte);
}

}  // namespace
}  // namespace sapphirebank::system_tests
