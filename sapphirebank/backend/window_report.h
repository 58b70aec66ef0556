#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirebank/backend/backend_state_machine.h"
#include "sapphirebank/backend/backend_types.h"
#include "sapphirebank/backend/latency_sketch.h"

namespace sapphirebank {

// What an owner saw of one backend server since its last report. Reports hold
// durations only, as the clocks of two hosts must not be compared.
struct ServerWindow {
  BackendId backend;
  std::string process_id;
  BackendState state = BackendState::kCold;
  std::uint32_t slots = 0;
  // Requests that hold a slot now, and those of them that wait far longer than
  // answers usually take, by whether their connection was opened for them.
  std::uint32_t in_flight = 0;
  std::uint32_t overdue_fresh = 0;
  std::uint32_t overdue_old = 0;
  Duration oldest_in_flight = Duration::zero();
  // Ends of requests in the window.
  std::uint32_t successes = 0;
  std::uint32_t http_errors = 0;
  std::uint32_t timeouts_fresh = 0;
  std::uint32_t timeouts_old = 0;
  std::uint32_t refused = 0;
  std::uint32_t lost_connections = 0;
  // Lives of the server that ended in the window while it ran requests. The
  // requests that died with it are not in `died`.
  std::uint32_t crashes = 0;
  std::uint32_t probes_good = 0;
  std::uint32_t probes_bad = 0;
  // Latencies of the whole answers.
  LatencySketch latency;
  // The ejection in force; zero time when there is none.
  Duration ejection_left = Duration::zero();
  std::uint32_t ejection_level = 0;

  friend bool operator==(const ServerWindow&, const ServerWindow&) = default;
};

// Requests that ran on a backend server when it crashed.
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

// What an owner tells the coordinator of a service about one of its keys.
struct WindowReport {
  HostId owner;
  Term term = 0;  // Of the owner's lease for `key`.
  BackendKey key;
  std::uint64_t sequence = 0;  // Grows with each report of the owner's lease.
  Duration window = Duration::zero();
  std::vector<ServerWindow> servers;
  std::vector<CrashReport> crashes;
  // Requests under suspicion that were answered without a crash.
  std::vector<Fingerprint> survived;
  std::vector<Quarantine> quarantined;

  friend bool operator==(const WindowReport&, const WindowReport&) = default;
};

}  // namespace sapphirebank
