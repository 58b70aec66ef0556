#include "sapphirebank/fleet/server_path_monitor.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace sapphirebank {

Result<ServerPathMonitor> ServerPathMonitor::Create(
    ServerPathSettings settings) {
  constexpr auto kStates = std::to_array<std::string_view>(
      {"sound", "unverified", "lost", "returning"});
  constexpr auto kEvents =
      std::to_array<std::string_view>({"attempt_failed", "server_answered",
                                       "probe_connected", "probes_failed"});
  auto chart = StateChart::Load("server_path", kStates, kEvents);
  if (!chart) return tl::unexpected(chart.error());
  return ServerPathMonitor(settings, std::move(*chart));
}

PathVerdict ServerPathMonitor::Handle(Event event) {
  const auto next = chart_.Next(static_cast<StateChart::State>(state_),
                                static_cast<StateChart::Event>(event));
  if (next) state_ = static_cast<State>(*next);
  if (state_ == State::kUnverified) return {};
  return {std::exchange(held_, {}), state_ == State::kSound};
}

PathVerdict ServerPathMonitor::RecordUnanswered(UnansweredAttempt attempt) {
  held_.push_back(std::move(attempt));
  return Handle(Event::kAttemptFailed);
}

void ServerPathMonitor::CheckSilence(Instant now, Instant oldest) {
  const Instant since = std::max(answered_at_, oldest);
  if (now - since >= settings_.max_silence) Handle(Event::kAttemptFailed);
}

PathVerdict ServerPathMonitor::RecordAnswer(Instant now) {
  answered_at_ = now;
  return Handle(Event::kServerAnswered);
}

PathVerdict ServerPathMonitor::RecordProbes(Instant now, bool connected) {
  if (connected) answered_at_ = now;
  return Handle(connected ? Event::kProbeConnected : Event::kProbesFailed);
}

}  // namespace sapphirebank
