#include <fmt/format.h>
#include <time.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "sapphirebank/config/configuration_follower.h"
#include "sapphirebank/request/route_table.h"

// Measures the resident memory of a configuration on an entry host and the
// processor time of its snapshot and of one change, for a given number of
// workspaces. Prints one JSON line.

namespace {

using nlohmann::json;
using sapphirebank::ConfigurationFollower;
using sapphirebank::RouteTable;

double CpuMilliseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

double ResidentMegabytes() {
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  const auto bytes = static_cast<double>(resident * sysconf(_SC_PAGESIZE));
  return bytes / (1 << 20U);
}

// Returns declarations with services and routes in the proportion of 450
// services and 11000 routes to 57000 workspaces.
json MakeDeclarations(int workspaces) {
  const int services = std::max(1, workspaces * 450 / 57000);
  const int routes = std::max(1, workspaces * 11000 / 57000);
  json document = {{"zones", json::object()}, {"services", json::object()}};
  for (int i = 0; i < 16; ++i) {
    document["zones"][fmt::format("zone-{}", i)] = {{"region", "r"}};
  }
  for (int i = 0; i < services; ++i) {
    document["services"][fmt::format("service-{}", i)] = json::object();
  }
  for (int i = 0; i < routes; ++i) {
    document["routes"][fmt::format("route-{}", i)] = {
        {"path_prefix", fmt::format("/path-{}", i)},
        {"service", fmt::format("service-{}", i % services)}};
  }
  for (int i = 0; i < workspaces; ++i) {
    const std::string id = fmt::format("workspace-{}", i);
    document["workspaces"][id] = {{"rate", "10/s"}, {"burst", 20}};
    document["keys"]["key-of-" + id] = {
        {"workspace", id}, {"sha256", sapphirebank::Sha256Hex(id)}};
  }
  return document;
}

void MeasureConfiguration(int workspaces) {
  json document = MakeDeclarations(workspaces);
  const double resident_mb_before = ResidentMegabytes();
  ConfigurationFollower follower;
  std::shared_ptr<const RouteTable> table;
  const auto apply = [&](const json& message) {
    auto received = follower.Receive(message);
    if (!received || !*received)
      throw std::runtime_error(
          "the configuration follower did not apply a message");
    table = RouteTable::Create((*received)->revision,
                               std::move((*received)->declarations));
  };
  const double snapshot_started = CpuMilliseconds();
  apply({{"t", "snapshot"}, {"revision", 1}, {"document", document}});
  const double snapshot_cpu_ms = CpuMilliseconds() - snapshot_started;
  const double resident_mb = ResidentMegabytes() - resident_mb_before;
  const json patch = {{{"op", "replace"},
                       {"path", "/workspaces/workspace-0/rate"},
                       {"value", "11/s"}}};
  const json change = {
      {"t", "patches"},
      {"patches",
       {{{"revision", 2}, {"patch", json::binary(json::to_cbor(patch))}}}}};
  const double change_started = CpuMilliseconds();
  apply(change);
  const json line = {
      {"bench", "configuration"},
      {"workspaces", workspaces},
      {"document_bytes", document.dump().size()},
      {"snapshot_cpu_ms", snapshot_cpu_ms},
      {"change_cpu_ms", CpuMilliseconds() - change_started},
      {"resident_mb", resident_mb},
      {"resident_after_change_mb", ResidentMegabytes() - resident_mb_before}};
  std::cout << line.dump() << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  // Measure one size per process: memory freed by an earlier size would be
  // reused and hide the memory of the next one.
  const int workspaces = argc > 1 ? std::stoi(argv[1]) : 1000;
  MeasureConfiguration(workspaces);
  return 0;
}
