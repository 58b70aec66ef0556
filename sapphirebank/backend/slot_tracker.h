#pragma once

#include <cstdint>
#include <vector>

#include "sapphirebank/backend/backend_types.h"

namespace sapphirebank {

// Counts what occupies the slots of one backend server: running requests, ones
// that were given up but may still be worked on, probes, and requests of an
// earlier owner.
class SlotTracker {
 public:
  // One request that runs on the server.
  struct Running {
    AttemptId attempt = 0;
    Instant since;
    Fingerprint fingerprint = 0;
    bool fresh_connection = false;
    bool probe = false;
  };

  // How many running requests are older than a limit.
  struct Overdue {
    std::uint32_t fresh = 0;
    std::uint32_t old = 0;
  };

  void Start(const Running& running) { running_.push_back(running); }

  // Ends a running request. Its slot stays taken until `held_until`, if that
  // lies after `now`. Returns false when it does not run on this server.
  bool Finish(Instant now, AttemptId attempt, Instant held_until);

  // Ends a running probe. Returns false when there is none.
  bool FinishProbe();

  // Notes how a running request is connected.
  void SetFreshConnection(AttemptId attempt, bool fresh);

  // Takes `count` slots until `until` for requests of an earlier owner.
  void Inherit(std::uint32_t count, Instant until);

  // Lowers the slots taken for an earlier owner to at most `count`.
  void LowerInherited(std::uint32_t count);

  // Frees slots whose time is over.
  void Expire(Instant now);

  // Frees all slots: the process that worked on them is gone.
  void Clear();

  // Returns the slots that are taken.
  std::uint32_t taken() const {
    return static_cast<std::uint32_t>(running_.size() + held_.size()) +
           inherited_;
  }

  // Returns the running requests and probes.
  const std::vector<Running>& running() const { return running_; }

  // Returns the slots taken for an earlier owner.
  std::uint32_t inherited() const { return inherited_; }

  // Counts running requests, without probes, that are older than `limit`.
  Overdue CountOverdue(Instant now, Duration limit) const;

  // Returns the age of the oldest running request, without probes.
  Duration OldestAge(Instant now) const;

 private:
  std::vector<Running> running_;
  std::vector<Instant> held_;  // Ends of the slots of given up requests.
  std::uint32_t inherited_ = 0;
  Instant inherited_until_;
};

}  // namespace sapphirebank
