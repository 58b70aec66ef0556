#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirebank/backend/backend_state_machine.h"
#include "sapphirebank/backend/backend_types.h"
#include "sapphirebank/backend/latency_sketch.h"

namespace sapphirebank {

// An owner's observations of one backend server since its last report. Reports
// contain only durations, because the clocks of two hosts cannot be compared.
struct ServerWindow {
  BackendId backend;
  std::string process_id;
  BackendState state = BackendState::kCold;
  std::uint32_t slots = 0;
  // Number of requests that occupy a slot now, and of those that are overdue
  // (far older than the usual latency), by whether their connection was opened
  // for them.
  std::uint32_t in_flight = 0;
  std::uint32_t overdue_fresh = 0;
  std::uint32_t overdue_old = 0;
  Duration oldest_in_flight = Duration::zero();
  // Outcomes of requests that finished in the window.
  std::uint32_t successes = 0;
  std::uint32_t http_errors = 0;
  std::uint32_t timeouts_fresh = 0;
  std::uint32_t timeouts_old = 0;
  std::uint32_t refused = 0;
  std::uint32_t lost_connections = 0;
  // Crashes of the server in the window. Requests that were running during a
  // crash are not counted in `lost_connections`.
  std::uint32_t crashes = 0;
  std::uint32_t probes_good = 0;
  std::uint32_t probes_bad = 0;
  // Latencies of the complete answers.
  LatencySketch latency;
  // Remaining time and level of the ejection in force; zero if there is none.
  Duration ejection_left = Duration::zero();
  std::uint32_t ejection_level = 0;

  friend bool operator==(const ServerWindow&, const ServerWindow&) = default;
};

// Requests that were running on a backend server when it crashed.
struct CrashReport {
  BackendId backend;
  std::vector<Fingerprint> running;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

// A request that is refused everywhere because it crashes backend servers.
struct Quarantine {
  Fingerprint fingerprint = 0;
  Duration left = Duration::zero();

  friend bool operator==(const Quarantine&, const Quarantine&) = default;
};

// An owner's report to the coordinator of a service about one of its keys.
struct WindowReport {
  HostId owner;
  Term term = 0;  // Term of the owner's lease for `key`.
  BackendKey key;
  std::uint64_t sequence = 0;  // Increases with each report under the lease.
  Duration window = Duration::zero();
  std::vector<ServerWindow> servers;
  std::vector<CrashReport> crashes;
  // Suspect requests that were answered without a crash.
  std::vector<Fingerprint> survived;
  std::vector<Quarantine> quarantined;

  friend bool operator==(const WindowReport&, const WindowReport&) = default;
};

}  // namespace sapphirebank
