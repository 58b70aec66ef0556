#pragma once

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <functional>
#include <string>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Runs posted functions ("steps") one at a time on a dedicated thread. Each
// thread is a detached CAF actor whose messages are the steps. State that only
// these steps access needs no lock.
class DecisionThread {
 public:
  using Step = std::function<void()>;

  // Starts the thread.
  explicit DecisionThread(caf::actor_system& system);

  // Calls Stop().
  ~DecisionThread();

  DecisionThread(const DecisionThread&) = delete;
  DecisionThread& operator=(const DecisionThread&) = delete;

  // Runs `tick` now and then again `period` after the end of each run. Must be
  // called at most once.
  void StartTicks(Duration period, Step tick);

  // Waits for the running step and ends the thread. Queued steps, and steps
  // posted later, are dropped.
  void Stop();

  // Queues a step. Thread-safe.
  void Post(Step step);

 private:
  caf::actor_system& system_;
  caf::actor actor_;
};

}  // namespace sapphirebank
