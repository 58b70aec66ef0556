#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/error.h"

namespace sapphirebank {

// A finite state machine read from a chart file. A chart is a JSON object with
// "chart" (its name), "initial", "states" (names), "events" (names) and
// "transitions" (objects with "from", "event" and "to").
class StateChart {
 public:
  using State = std::size_t;
  using Event = std::size_t;

  // Reads a chart. Fails with kInvalidSettings, naming the chart and the item,
  // when a name is unknown, repeated or unreachable, or when a state has two
  // transitions for one event.
  static Result<StateChart> Parse(std::string_view json_text);

  // Reads the chart that is built in as `charts/<name>.json` and checks that
  // its states and events are exactly `states` and `events`, in that order, so
  // that an enum of the caller can stand for them.
  static Result<StateChart> Load(std::string_view name,
                                 std::span<const std::string_view> states,
                                 std::span<const std::string_view> events);

  // Returns the state after `event` in `state`, or nothing when the chart does
  // not allow the event there.
  std::optional<State> Next(State state, Event event) const;

  // Returns the state in which a new subject starts.
  State initial() const { return initial_; }

  // Returns the chart's name.
  const std::string& name() const { return name_; }

  // Returns the names of the states; a State is an index into them.
  std::span<const std::string> states() const { return states_; }

  // Returns the names of the events; an Event is an index into them.
  std::span<const std::string> events() const { return events_; }

 private:
  StateChart() = default;

  Result<void> AddTransition(std::string_view from, std::string_view event,
                             std::string_view to);
  Result<void> CheckReachable() const;

  std::string name_;
  std::vector<std::string> states_;
  std::vector<std::string> events_;
  // Indexed by state * events + event.
  std::vector<std::optional<State>> next_;
  State initial_ = 0;
};

}  // namespace sapphirebank
