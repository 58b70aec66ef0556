#pragma once

#include <cstdint>
#include <vector>

#include "sapphirebank/backend/backend_types.h"

namespace sapphirebank {

// Tracks what occupies the slots of one backend server: running requests,
// abandoned requests on which the server may still be working, probes, and
// requests placed by an earlier owner.
class SlotTracker {
 public:
  // One request or probe that is running on the server.
  struct Running {
    AttemptId attempt = 0;
    Instant since;
    Fingerprint fingerprint = 0;
    bool fresh_connection = false;
    bool probe = false;
  };

  // Numbers of running requests older than a limit, on connections opened for
  // them and on older connections.
  struct Overdue {
    std::uint32_t fresh = 0;
    std::uint32_t old = 0;
  };

  void Start(const Running& running) { running_.push_back(running); }

  // Ends a running request. Its slot stays occupied until `held_until` if that
  // is after `now`. Returns false if the request is not running on this server.
  bool Finish(Instant now, AttemptId attempt, Instant held_until);

  // Ends a running probe. Returns false if there is none.
  bool FinishProbe();

  // Records whether a running request's connection was opened for it.
  void SetFreshConnection(AttemptId attempt, bool fresh);

  // Occupies `count` slots until `until` for requests placed by an earlier
  // owner.
  void Inherit(std::uint32_t count, Instant until);

  // Lowers the number of slots occupied for an earlier owner to at most
  // `count`.
  void LowerInherited(std::uint32_t count);

  // Frees slots whose time is over.
  void Expire(Instant now);

  // Frees all slots, because the process that worked on the requests is gone.
  void Clear();

  // Returns the number of occupied slots.
  std::uint32_t taken() const {
    return static_cast<std::uint32_t>(running_.size() + held_.size()) +
           inherited_;
  }

  // Returns the running requests and probes.
  const std::vector<Running>& running() const { return running_; }

  // Returns the number of slots occupied for an earlier owner.
  std::uint32_t inherited() const { return inherited_; }

  // Counts running requests, excluding probes, that are older than `limit`.
  Overdue CountOverdue(Instant now, Duration limit) const;

  // Returns the age of the oldest running request, excluding probes.
  Duration OldestAge(Instant now) const;

 private:
  std::vector<Running> running_;
  std::vector<Instant> held_;  // Ends of the grace periods.
  std::uint32_t inherited_ = 0;
  Instant inherited_until_;
};

}  // namespace sapphirebank
