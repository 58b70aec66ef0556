#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "sapphirebank/backend/backend_types.h"
#include "sapphirebank/backend/window_report.h"

namespace sapphirebank {

// Distinguishes crashes of one backend server from connections that were merely
// cut. It reports a crash when connections of requests are lost and the server
// then refuses connections or a new process answers for it.
class CrashDetector {
 public:
  // Records that the connection of a request was lost.
  void AddLostConnection(Instant now, Fingerprint fingerprint);

  // Records that the server refused a connection or that a new process answers
  // for it, while the requests in `running` were unfinished. Returns the
  // requests that were running when it crashed. Returns nothing if there were
  // none; requests already reported for the same crash are left out.
  std::optional<std::vector<Fingerprint>> Confirm(
      Instant now, const std::vector<Fingerprint>& running);

  // Records that a new process answers, so that connections lost from now on
  // belong to another crash.
  void OnNewProcess() {
    reported_requests_.clear();
    crash_reported_ = false;
  }

  // Removes the lost connections that can no longer belong to a crash, and
  // returns their number.
  std::uint32_t TakeUnconfirmed(Instant now);

  // Returns whether a crash of the present process has been reported.
  bool crash_reported() const { return crash_reported_; }

  // Returns whether refused connections are explained by a crash that was just
  // detected.
  bool IsRestarting(Instant now) const { return now < restart_until_; }

 private:
  struct LostConnection {
    Instant at;
    Fingerprint fingerprint;
  };

  std::vector<LostConnection> lost_connections_;
  bool crash_reported_ = false;                 // For the present process.
  std::vector<Fingerprint> reported_requests_;  // Of the latest crash, sorted.
  Instant restart_until_;
};

}  // namespace sapphirebank
