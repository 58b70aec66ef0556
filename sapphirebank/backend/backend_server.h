#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sapphirebank/backend/announcement.h"
#include "sapphirebank/backend/backend_state_machine.h"
#include "sapphirebank/backend/cold_start.h"
#include "sapphirebank/backend/crash_detector.h"
#include "sapphirebank/backend/latency_step.h"
#include "sapphirebank/backend/slot_tracker.h"
#include "sapphirebank/backend/verdict.h"
#include "sapphirebank/backend/window_report.h"

namespace sapphirebank {

// Outcome of probing a backend server's health endpoint on a new connection.
enum class ProbeOutcome { kGood, kBad, kTimedOut, kRefused };

// An owner's state for one backend server.
class BackendServer {
 public:
  // `chart` must outlive the object. The server starts cold.
  BackendServer(const StateChart& chart, const Announcement& announcement,
                Instant now);

  // Processes a further announcement with the same backend id and key. `ttl` is
  // BackendPolicy::announcement_ttl.
  AnnounceDecision Renew(Instant now, Duration ttl,
                         const Announcement& announcement);

  // Takes the server's zone out of service or puts it back into service.
  // Returns whether the server's state changed.
  bool SetZoneInService(bool in_service);

  // Marks the server silent because its announcement has expired.
  void ExpireAnnouncement() { state_machine_.Apply(BackendEvent::kSilence); }

  // Resets the server to cold if it accepts requests.
  void ResetToCold();

  // Makes the server warm, as its previous owner reported it.
  void SkipColdStart(const BackendPolicy& policy);

  // Puts a verdict in force until `until`; EndVerdict ends it early.
  void SetVerdict(Instant now, const Verdict& verdict, Instant until);
  void EndVerdict();

  // Returns the largest number of requests that the server may run
  // concurrently.
  std::uint32_t SlotLimit(const BackendPolicy& policy) const;

  // Returns how many further requests the server may be given now.
  std::uint32_t FreeSlots(const BackendPolicy& policy) const;

  // Returns whether other servers should be preferred while they have free
  // slots: the server's requests fail or are overdue, or a verdict limits it.
  bool IsSuspect(Instant now, Duration overdue_limit) const;

  // Frees slots whose time is over, ends an expired verdict, and adds lost
  // connections that did not turn out to be a crash to the window.
  void Expire(Instant now);

  // Records how a request ended, as evidence of the server's health; does not
  // change its slot. `slow` tells whether a successful answer took too long to
  // count towards opening a slot.
  void RecordOutcome(Instant now, const BackendPolicy& policy,
                     const Outcome& outcome, Fingerprint fingerprint,
                     bool slow);

  // Records the result of a probe.
  void RecordProbe(Instant now, ProbeOutcome outcome);

  // Counts a connection that is about to be opened. Returns false, and counts
  // nothing, when the server's announced maximum is reached.
  bool OpenConnection();
  void CloseConnection();

  // Returns the window up to `now` and starts a new one.
  ServerWindow TakeWindow(Instant now, Duration overdue_limit);

  // Returns the crash detected since the last call, if any.
  std::optional<CrashReport> TakeCrashReport();

  const Announcement& announcement() const { return announcement_; }
  BackendState state() const { return state_machine_.state(); }
  SlotTracker& slot_tracker() { return slot_tracker_; }
  const SlotTracker& slot_tracker() const { return slot_tracker_; }
  const LatencyStep& latency_step() const { return latency_step_; }
  const std::optional<Verdict>& verdict() const { return verdict_; }
  Instant verdict_until() const { return verdict_until_; }
  Instant last_announced() const { return last_announced_; }
  Instant last_answer() const { return last_answer_; }
  // Time at which the server last refused a connection for a request.
  Instant last_refused() const { return last_refused_; }
  Instant last_probe() const { return last_probe_; }
  void set_last_probe(Instant now) { last_probe_ = now; }
  std::uint32_t connections() const { return connections_; }
  std::uint32_t consecutive_bad_probes() const {
    return consecutive_bad_probes_;
  }
  bool needs_fresh_connection() const { return needs_fresh_connection_; }

  // Number of process changes of the server. The outcome of an attempt that
  // started under an earlier process says nothing about the present one.
  std::uint64_t process_count() const { return process_count_; }

 private:
  void ResetForNewProcess(Instant now);
  void ConfirmCrash(Instant now, const std::vector<Fingerprint>& running);
  void ReturnToService();
  void RecordFailure(Instant now, const Outcome& outcome,
                     Fingerprint fingerprint);

  Announcement announcement_;
  std::string previous_process_;
  BackendStateMachine state_machine_;
  ColdStart cold_start_;
  SlotTracker slot_tracker_;
  LatencyStep latency_step_;
  CrashDetector crash_detector_;
  ServerWindow window_;
  std::optional<CrashReport> crash_;
  std::optional<Verdict> verdict_;
  Instant verdict_since_;
  Instant verdict_until_;
  Instant last_announced_;
  Instant last_answer_;
  Instant last_probe_;
  Instant last_refused_;
  std::uint64_t process_count_ = 0;
  std::uint32_t connections_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t consecutive_bad_probes_ = 0;
  std::uint32_t last_unaccounted_running_ = 0;
  bool zone_in_service_ = true;
  bool needs_fresh_connection_ = false;
};

}  // namespace sapphirebank
