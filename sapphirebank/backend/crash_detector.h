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
  void AddDied(Instant now, Fingerprint fingerprint);

  // Notes that the server refused a connection or that another process
  // answers for it, while `running` were still open. Returns the requests that
  // ran when it crashed, or nothing when none did or all belong to the crash
  // that was told before.
  std::optional<std::vector<Fingerprint>> Confirm(
      Instant now, const std::vector<Fingerprint>& running);

  // Notes that a new process serves, so that what dies from here on is another
  // crash.
  void BeginLife() {
    victims_.clear();
    crash_told_ = false;
  }

  // Returns how many deaths can no longer be part of a crash, and forgets
  // them.
  std::uint32_t TakeUnconfirmed(Instant now);

  // Returns whether the present life's end was seen.
  bool crash_told() const { return crash_told_; }

  // Returns whether refused connections follow from a crash just seen.
  bool Restarting(Instant now) const { return now < restart_until_; }

 private:
  struct Death {
    Instant at;
    Fingerprint fingerprint;
  };

  std::vector<Death> deaths_;
  bool crash_told_ = false;           // In this life of the server.
  std::vector<Fingerprint> victims_;  // Of the latest crash, in order.
  Instant restart_until_;
};

}  // namespace sapphirebank
