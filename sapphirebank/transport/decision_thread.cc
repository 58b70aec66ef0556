#include "sapphirebank/transport/decision_thread.h"

#include <algorithm>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/behavior.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/exit_reason.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>
#include <caf/type_id.hpp>
#include <utility>

#include "sapphirebank/transport/process_clock.h"

namespace sapphirebank {

// Actor message: run the first step that is queued.
struct StepMessage {};

// Actor message: begin to run `tick` with `period`.
struct StartTicksMessage {
  DecisionThread::Step tick;
  Duration period;
};

// Actor message: the next tick may be due.
struct TickMessage {};

}  // namespace sapphirebank

CAF_BEGIN_TYPE_ID_BLOCK(sapphirebank, first_custom_type_id)
CAF_ADD_TYPE_ID(sapphirebank, (sapphirebank::StepMessage))
CAF_ADD_TYPE_ID(sapphirebank, (sapphirebank::StartTicksMessage))
CAF_ADD_TYPE_ID(sapphirebank, (sapphirebank::TickMessage))
CAF_END_TYPE_ID_BLOCK(sapphirebank)

// These messages never leave the process, so they need no serialization.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sapphirebank::StepMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sapphirebank::StartTicksMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sapphirebank::TickMessage)

namespace sapphirebank {

DecisionThread::DecisionThread(caf::actor_system& system)
    : system_(system),
      actor_(system.spawn<caf::detached>(
          [this](caf::event_based_actor* self) { return Behavior(self); })) {}

caf::behavior DecisionThread::Behavior(caf::event_based_actor* self) {
  const auto await_tick = [this, self] {
    self->delayed_send(
        self, std::max<Duration>(next_tick_ - MonotonicNow(), Duration::zero()),
        TickMessage());
  };
  return {
      [this](StepMessage) {
        RunDueTick();
        RunNextStep();
      },
      [this, await_tick](StartTicksMessage& message) {
        tick_ = std::move(message.tick);
        tick_period_ = message.period;
        RunDueTick();
        await_tick();
      },
      [this, await_tick](TickMessage) {
        RunDueTick();
        await_tick();
      },
  };
}

// Steps check for a due tick too, as the message for it waits behind theirs.
void DecisionThread::RunDueTick() {
  if (!tick_ || MonotonicNow() < next_tick_) return;
  tick_();
  next_tick_ = MonotonicNow() + tick_period_;
}

void DecisionThread::RunNextStep() {
  Step step;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<Step>& queue = urgent_.empty() ? normal_ : urgent_;
    step = std::move(queue.front());
    queue.pop_front();
  }
  step();
}

DecisionThread::~DecisionThread() { Stop(); }

void DecisionThread::Stop() {
  caf::scoped_actor self(system_);
  self->send_exit(actor_, caf::exit_reason::user_shutdown);
  self->wait_for(actor_);
}

void DecisionThread::StartTicks(Duration period, Step tick) {
  caf::anon_send(actor_, StartTicksMessage{std::move(tick), period});
}

void DecisionThread::Post(Step step) { Queue(normal_, std::move(step)); }

void DecisionThread::PostUrgent(Step step) { Queue(urgent_, std::move(step)); }

void DecisionThread::Queue(std::deque<Step>& queue, Step step) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue.push_back(std::move(step));
  }
  caf::anon_send(actor_, StepMessage());
}

}  // namespace sapphirebank
