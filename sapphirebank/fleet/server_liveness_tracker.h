#pragma once

#include <map>
#include <optional>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct ServerLivenessSettings {
  // A failing server breaks requests off on arrival, and the host reports it
  // within this time. An assignment that is older without a failure confirms
  // the server.
  Duration confirmation_delay = std::chrono::milliseconds(60);
  // Older confirmations carry no information: servers fail in episodes of about
  // a second.
  Duration max_age = std::chrono::seconds(1);
  // Successes required after a failure. A server that fails half of its
  // requests passes a single one every other time.
  int successes_after_failure = 2;
};

// Tracks when each backend server was last confirmed to accept requests. A
// request that must run once is lost at a server with an undetected failure,
// which is more likely the older the last confirmation is.
class ServerLivenessTracker {
 public:
  explicit ServerLivenessTracker(ServerLivenessSettings settings)
      : settings_(settings) {}

  // Records that a request was assigned to the server.
  void RecordAssignment(Instant now, const BackendId& server);

  // Records that the server completed a request assigned at `assigned_at`.
  void RecordSuccess(Instant assigned_at, const BackendId& server);

  // Records a failed request, which discards the server's confirmation.
  void RecordFailure(const BackendId& server);

  // Returns the age of the last confirmation, at most settings.max_age.
  Duration ConfirmationAge(Instant now, const BackendId& server) const;

  // Returns the time since the last assignment, at most settings.max_age.
  Duration IdleTime(Instant now, const BackendId& server) const;

  // Removes servers without an assignment within settings.max_age.
  void Tick(Instant now);

 private:
  struct Liveness {
    // Assignment time of the last request that confirmed the server.
    std::optional<Instant> confirmed_at;
    // Oldest later assignment that has not confirmed the server yet.
    std::optional<Instant> unconfirmed_since;
    Instant assigned_at;
    int required_successes = 0;
  };

  ServerLivenessSettings settings_;
  std::map<BackendId, Liveness> servers_;
};

}  // namespace sapphirebank
