#include "sapphirebank/backend/backend_state_machine.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace sapphirebank {
namespace {

constexpr auto kStates = std::to_array<std::string_view>(
    {"cold", "warm", "ejected", "zone_out", "draining", "silent"});
constexpr auto kEvents = std::to_array<std::string_view>(
    {"ramped", "turned_cold", "ejected", "ejection_ended", "zone_out",
     "zone_in", "drain", "resumed", "silence"});

}  // namespace

const char* BackendStateName(BackendState state) {
  return kStates.at(static_cast<std::size_t>(state)).data();
}

Result<StateChart> LoadBackendChart() {
  return StateChart::Load("backend_server", kStates, kEvents);
}

bool BackendStateMachine::Apply(BackendEvent event) {
  const auto next = chart_->Next(static_cast<StateChart::State>(state_),
                                 static_cast<StateChart::Event>(event));
  if (!next) return false;
  const auto before = state_;
  state_ = static_cast<BackendState>(*next);
  return state_ != before;
}

}  // namespace sapphirebank
