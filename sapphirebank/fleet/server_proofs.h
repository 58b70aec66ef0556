#pragma once

#include <map>
#include <optional>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct ServerProofsSettings {
  // A server that breaks requests off does so as they arrive; the host's word
  // of it is here within this time.
  Duration settle = std::chrono::milliseconds(60);
  // A proof that is older says nothing: servers fail in episodes of about a
  // second.
  Duration life = std::chrono::seconds(1);
  // Requests that must succeed after one failed: a server that fails half of
  // its requests passes one such test out of two.
  int successes_after_failure = 2;
};

// When each backend server last proved that it takes requests. A request that
// must run once is lost at a server which has begun to fail unseen, and the
// longer ago a server was proven the more likely that is.
class ServerProofs {
 public:
  explicit ServerProofs(ServerProofsSettings settings) : settings_(settings) {}

  // A request was assigned to the server.
  void Assigned(Instant now, const BackendId& server);

  // A request that was assigned at `assigned_at` was served.
  void Served(Instant assigned_at, const BackendId& server);

  // The server failed a request: it is unproven.
  void Failed(const BackendId& server);

  // Returns how old the server's last proof is, at most settings.life.
  Duration AgeOf(Instant now, const BackendId& server) const;

  // Returns for how long the server was assigned nothing, at most
  // settings.life.
  Duration IdleTime(Instant now, const BackendId& server) const;

  // Forgets servers that were assigned nothing for settings.life.
  void Tick(Instant now);

 private:
  struct Proof {
    // It took a request that was assigned then.
    std::optional<Instant> proven_at;
    // Oldest assignment since that has not settled.
    std::optional<Instant> settling;
    Instant assigned_at;
    int successes_missing = 0;
  };

  ServerProofsSettings settings_;
  std::map<BackendId, Proof> proofs_;
};

}  // namespace sapphirebank
