#pragma once

#include <map>
#include <optional>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct ServerLivenessSettings {
  // A server that breaks requests off does so as they arrive; the host's word
  // of it is here within this time.
  Duration confirmation_delay = std::chrono::milliseconds(60);
  // A proof that is older says nothing: servers fail in episodes of about a
  // second.
  Duration max_age = std::chrono::seconds(1);
  // Requests that must succeed after one failed: a server that fails half of
  // its requests passes one such test out of two.
  int successes_after_failure = 2;
};

// When each backend server last proved that it takes requests. A request that
// must run once is lost at a server which has begun to fail unseen, and the
// longer ago a server was proven the more likely that is.
class ServerLivenessTracker {
 public:
  explicit ServerLivenessTracker(ServerLivenessSettings settings)
      : settings_(settings) {}

  // A request was assigned to the server.
  void RecordAssignment(Instant now, const BackendId& server);

  // A request that was assigned at `assigned_at` was served.
  void RecordSuccess(Instant assigned_at, const BackendId& server);

  // The server failed a request: it is unproven.
  void RecordFailure(const BackendId& server);

  // Returns how old the server's last proof is, at most settings.max_age.
  Duration ConfirmationAge(Instant now, const BackendId& server) const;

  // Returns for how long the server was assigned nothing, at most
  // settings.max_age.
  Duration IdleTime(Instant now, const BackendId& server) const;

  // Forgets servers that were assigned nothing for settings.max_age.
  void Tick(Instant now);

 private:
  struct Liveness {
    // It took a request that was assigned then.
    std::optional<Instant> confirmed_at;
    // Oldest assignment since that has not settled.
    std::optional<Instant> unconfirmed_since;
    Instant assigned_at;
    int required_successes = 0;
  };

  ServerLivenessSettings settings_;
  std::map<BackendId, Liveness> servers_;
};

}  // namespace sapphirebank
