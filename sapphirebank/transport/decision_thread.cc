#include "sapphirebank/transport/decision_thread.h"

#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/behavior.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/exit_reason.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>
#include <caf/type_id.hpp>
#include <utility>

namespace sapphirebank {

// Actor message: run `step` once.
struct StepMessage {
  DecisionThread::Step step;
};

// Actor message: run `step` and send itself again after `period`.
struct TickMessage {
  DecisionThread::Step step;
  Duration period;
};

}  // namespace sapphirebank

CAF_BEGIN_TYPE_ID_BLOCK(sapphirebank, first_custom_type_id)
CAF_ADD_TYPE_ID(sapphirebank, (sapphirebank::StepMessage))
CAF_ADD_TYPE_ID(sapphirebank, (sapphirebank::TickMessage))
CAF_END_TYPE_ID_BLOCK(sapphirebank)

// These messages never leave the process, so they need no serialization.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sapphirebank::StepMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sapphirebank::TickMessage)

namespace sapphirebank {
namespace {

caf::behavior ActorBehavior(caf::event_based_actor* self) {
  return {
      [](StepMessage& message) { message.step(); },
      [self](TickMessage& message) {
        message.step();
        const Duration period = message.period;
        self->delayed_send(self, period, std::move(message));
      },
  };
}

}  // namespace

DecisionThread::DecisionThread(caf::actor_system& system)
    : system_(system), actor_(system.spawn<caf::detached>(ActorBehavior)) {}

DecisionThread::~DecisionThread() { Stop(); }

void DecisionThread::Stop() {
  caf::scoped_actor self(system_);
  self->send_exit(actor_, caf::exit_reason::user_shutdown);
  self->wait_for(actor_);
}

void DecisionThread::StartTicks(Duration period, Step tick) {
  caf::anon_send(actor_, TickMessage{std::move(tick), period});
}

void DecisionThread::Post(Step step) {
  caf::anon_send(actor_, StepMessage{std::move(step)});
}

}  // namespace sapphirebank
