#pragma once

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/state_chart.h"

namespace sapphirebank {

// States of the chart `backend_server`, in the chart's order.
enum class BackendState {
  kCold,
  kWarm,
  kEjected,
  kZoneOut,
  kDraining,
  kSilent,
};

// Events of the chart `backend_server`, in the chart's order.
enum class BackendEvent {
  kRamped,
  kTurnedCold,
  kEjected,
  kEjectionEnded,
  kZoneOut,
  kZoneIn,
  kDrain,
  kResumed,
  kSilence,
};

// Returns the state's name in the chart, logs and reports.
const char* BackendStateName(BackendState state);

// Returns whether a server in `state` may be given new requests.
constexpr bool AcceptsRequests(BackendState state) {
  return state == BackendState::kCold || state == BackendState::kWarm;
}

// Loads the chart `backend_server` and checks it against the enums above. Fails
// with kInvalidSettings.
Result<StateChart> LoadBackendChart();

// State of one backend server in the chart.
class BackendStateMachine {
 public:
  // `chart` must outlive the object.
  explicit BackendStateMachine(const StateChart& chart)
      : chart_(&chart), state_(static_cast<BackendState>(chart.initial())) {}

  // Applies `event`. Returns whether the state changed; an event that the chart
  // does not allow in the current state changes nothing.
  bool Apply(BackendEvent event);

  BackendState state() const { return state_; }

 private:
  const StateChart* chart_;
  BackendState state_;
};

}  // namespace sapphirebank
