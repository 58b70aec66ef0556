#pragma once

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/behavior.hpp>
#include <caf/event_based_actor.hpp>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>

#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Runs posted functions ("steps") one at a time on a dedicated thread. Each
// thread is a detached CAF actor whose messages are the steps. State that only
// these steps access needs no lock.
//
// A due tick goes first, then urgent steps in the order in which they were
// posted, then the other steps.
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

  // Queues a step that does not wait for those queued with Post(). Thread-safe.
  void PostUrgent(Step step);

 private:
  caf::behavior Behavior(caf::event_based_actor* self);
  void RunDueTick();
  void RunNextStep();
  void Queue(std::deque<Step>& queue, Step step);

  caf::actor_system& system_;
  std::mutex mutex_;
  std::deque<Step> urgent_;  // Guarded by mutex_, like normal_.
  std::deque<Step> normal_;

  // Accessed by the thread only.
  Step tick_;
  Duration tick_period_{};
  Instant next_tick_;

  caf::actor actor_;  // Last, as its thread uses the rest.
};

}  // namespace sapphirebank
