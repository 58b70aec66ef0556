#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "sapphirebank/backend/backend_types.h"
#include "sapphirebank/backend/window_report.h"

namespace sapphirebank {

// Tells a crash of one backend server from connections that were merely cut:
// requests died on it, and then it refused connections or began a new life.
class CrashDetector {
 public:
  // Notes that a request's connection died.
  void AddLostConnection(Instant now, Fingerprint fingerprint);

  // Notes that the server refused a connection or that another process
  // answers for it, while `running` were still open. Returns the requests that
  // ran when it crashed, or nothing when none did or all belong to the crash
  // that was told before.
  std::optional<std::vector<Fingerprint>> Confirm(
      Instant now, const std::vector<Fingerprint>& running);

  // Notes that a new process serves, so that what dies from here on is another
  // crash.
  void OnNewProcess() {
    reported_requests_.clear();
    crash_reported_ = false;
  }

  // Returns how many deaths can no longer be part of a crash, and forgets
  // them.
  std::uint32_t TakeUnconfirmed(Instant now);

  // Returns whether the present life's end was seen.
  bool crash_reported() const { return crash_reported_; }

  // Returns whether refused connections follow from a crash just seen.
  bool IsRestarting(Instant now) const { return now < restart_until_; }

 private:
  struct LostConnection {
    Instant at;
    Fingerprint fingerprint;
  };

  std::vector<LostConnection> lost_connections_;
  bool crash_reported_ = false;  // In this life of the server.
  std::vector<Fingerprint>
      reported_requests_;  // Of the latest crash, in order.
  Instant restart_until_;
};

}  // namespace sapphirebank
