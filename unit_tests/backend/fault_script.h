#pragma once

#include <functional>
#include <span>
#include <string_view>

#include "unit_tests/backend/fake_fleet.h"

namespace sapphirebank::fake {

// One injected fault: what happens to a fleet from `kFaultStart` on.
struct FaultScript {
  std::string_view name;
  // Called at each tick with the time since the fault started.
  std::function<void(Fleet&, Duration)> apply;
  // Called once, before the start.
  std::function<void(Fleet&)> prepare = nullptr;
  // Time to run after the start of the fault.
  Duration length = std::chrono::seconds(120);
};

inline constexpr Duration kFaultStart = std::chrono::seconds(60);
inline constexpr std::size_t kFaultyServer = 5;

// Sets up `fleet` to run `script`.
inline void Install(Fleet& fleet, const FaultScript& script) {
  if (script.prepare) script.prepare(fleet);
  fleet.on_tick = [&script](Fleet& f) {
    if (f.elapsed() >= kFaultStart) script.apply(f, f.elapsed() - kFaultStart);
  };
}

namespace script {

using std::chrono::seconds;

inline Server& FaultyServer(Fleet& fleet) {
  return fleet.servers[kFaultyServer];
}

inline void Slow(Fleet& fleet, double factor) {
  FaultyServer(fleet).slow = factor;
  FaultyServer(fleet).faulty = true;
}

inline void Errors(Fleet& fleet, double share) {
  FaultyServer(fleet).errors = share;
  FaultyServer(fleet).faulty = true;
}

inline void Hang(Fleet& fleet) {
  FaultyServer(fleet).hangs = true;
  FaultyServer(fleet).faulty = true;
}

inline void Flap(Fleet& fleet, Duration since) {
  Errors(fleet, (since / seconds(5)) % 2 == 0 ? 0.6 : 0);
}

// Half of the outcomes that owner 0 observes are time-outs that it causes
// itself.
inline void DistortOwnerOutcomes(Fleet& fleet) {
  fleet.distort_outcome = [](Fleet& f, std::size_t owner, Outcome& outcome) {
    if (owner != 0 || f.elapsed() < kFaultStart) return;
    if (f.random.Chance(0.5)) outcome.kind = OutcomeKind::kTimedOut;
  };
}

inline void SendCrashingRequests(Fleet& fleet) {
  fleet.crashing_request = 77;
  fleet.next_fingerprint = [](Fleet& f) -> Fingerprint {
    if (f.elapsed() < kFaultStart) return 0;
    // About one per second, among 20 other recurring requests.
    if (f.random.Chance(1 / f.settings.requests_per_second))
      return f.crashing_request;
    return 100 + f.random.Below(20);
  };
}

// About two requests per hour on each server, some of which fail.
inline void FewRequests(Fleet& fleet) {
  fleet.settings.requests_per_second = 50.0 / 3600;
  fleet.settings.base_errors = 0.02;
  fleet.settings.tick = std::chrono::seconds(1);
}

inline void FailServers(Fleet& fleet, std::size_t first, std::size_t count) {
  for (std::size_t i = first; i < first + count; ++i) {
    fleet.servers[i].errors = 0.6;
    fleet.servers[i].faulty = true;
  }
}

inline void ZoneOut(Fleet& fleet, Duration since) {
  if (since == Duration::zero()) fleet.SetZoneInService(0, false);
  if (since < seconds(10)) return;
  for (std::size_t i : {1U, 2U, 3U, 5U, 6U}) {
    fleet.servers[i].errors = 0.6;
    fleet.servers[i].faulty = true;
  }
}

inline void LoseCoordinator(Fleet& fleet, Duration since) {
  Slow(fleet, 30);
  if (!fleet.settings.with_coordinator) return;
  if (since == seconds(20)) fleet.StopCoordinator();
  if (since == seconds(22)) fleet.StartCoordinator();
}

}  // namespace script

// Returns the faults, in the order of the fault table test.
inline std::span<const FaultScript> FaultScripts() {
  using script::FaultyServer;
  static const FaultScript scripts[] = {
      {"none", [](Fleet&, Duration) {}},
      {"slow_3x", [](Fleet& f, Duration) { script::Slow(f, 3); }},
      {"slow_30x", [](Fleet& f, Duration) { script::Slow(f, 30); }},
      {"errors_20", [](Fleet& f, Duration) { script::Errors(f, 0.2); }},
      {"hang", [](Fleet& f, Duration) { script::Hang(f); }},
      {"health_good",
       [](Fleet& f, Duration) {
         script::Errors(f, 0.5);
         FaultyServer(f).health = true;
       }},
      {"health_bad",
       [](Fleet& f, Duration) { FaultyServer(f).health = false; }},
      {"flapping", script::Flap},
      {"one_way_cut",
       [](Fleet& f, Duration) {
         script::Hang(f);
         FaultyServer(f).silent = true;
       }},
      {"service_slow",
       [](Fleet& f, Duration) {
         for (Server& server : f.servers) server.slow = 4;
       }},
      {"owner_is_cause", [](Fleet&, Duration) {}, script::DistortOwnerOutcomes},
      {"cold_again",
       [](Fleet& f, Duration since) {
         if (since == Duration::zero()) FaultyServer(f).cold_answers = 40;
       }},
      {"crashing_request", [](Fleet&, Duration) {},
       script::SendCrashingRequests},
      {"old_connections_silent",
       [](Fleet& f, Duration since) {
         FaultyServer(f).hangs_on_old_connections =
             since < std::chrono::seconds(30);
       }},
      {"many_bad", [](Fleet& f, Duration) { script::FailServers(f, 0, 12); }},
      {"zone_out", script::ZoneOut},
      {"coordinator_lost", script::LoseCoordinator},
      {"few_requests", [](Fleet&, Duration) {}, script::FewRequests,
       std::chrono::hours(3)},
      {"few_requests_hang", [](Fleet& f, Duration) { script::Hang(f); },
       script::FewRequests, std::chrono::hours(3)},
      {"few_requests_refused",
       [](Fleet& f, Duration) {
         FaultyServer(f).refuses = true;
         FaultyServer(f).faulty = true;
       },
       script::FewRequests, std::chrono::hours(3)},
  };
  return scripts;
}

}  // namespace sapphirebank::fake
