#include "sapphirebank/core/state_chart.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "sapphirebank/core/embedded_charts.h"

namespace sapphirebank {
namespace {

std::optional<std::size_t> IndexOf(std::span<const std::string> names,
                                   std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::size_t>(found - names.begin());
}

Result<void> CheckUnique(std::string_view chart, std::string_view list,
                         std::span<const std::string> names) {
  std::set<std::string_view> seen;
  for (const std::string& name : names) {
    if (!seen.insert(name).second) {
      return Fail(ErrorKind::kInvalidSettings,
                  fmt::format("chart \"{}\": \"{}\" names \"{}\" twice", chart,
                              list, name));
    }
  }
  return {};
}

Result<void> CheckNames(std::string_view chart, std::string_view list,
                        std::span<const std::string> actual,
                        std::span<const std::string_view> expected) {
  if (std::equal(actual.begin(), actual.end(), expected.begin(),
                 expected.end())) {
    return {};
  }
  return Fail(
      ErrorKind::kInvalidSettings,
      fmt::format("chart \"{}\": \"{}\" must be [{}], is [{}]", chart, list,
                  fmt::join(expected, ", "), fmt::join(actual, ", ")));
}

}  // namespace

Result<StateChart> StateChart::Parse(std::string_view json_text) {
  StateChart chart;
  try {
    const auto json = nlohmann::json::parse(json_text);
    chart.name_ = json.at("chart").get<std::string>();
    chart.states_ = json.at("states").get<std::vector<std::string>>();
    chart.events_ = json.at("events").get<std::vector<std::string>>();
    for (const auto& [list, names] : {std::pair("states", &chart.states_),
                                      std::pair("events", &chart.events_)}) {
      if (auto unique = CheckUnique(chart.name_, list, *names); !unique) {
        return tl::unexpected(unique.error());
      }
    }
    chart.next_.resize(chart.states_.size() * chart.events_.size());
    const auto initial =
        IndexOf(chart.states_, json.at("initial").get<std::string>());
    if (!initial) {
      return Fail(
          ErrorKind::kInvalidSettings,
          fmt::format("chart \"{}\": initial state \"{}\" is unknown",
                      chart.name_, json.at("initial").get<std::string>()));
    }
    chart.initial_ = *initial;
    for (const auto& transition : json.at("transitions")) {
      auto added =
          chart.AddTransition(transition.at("from").get<std::string>(),
                              transition.at("event").get<std::string>(),
                              transition.at("to").get<std::string>());
      if (!added) return tl::unexpected(added.error());
    }
  } catch (const nlohmann::json::exception& e) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("chart \"{}\": {}", chart.name_, e.what()));
  }
  if (auto reachable = chart.CheckReachable(); !reachable) {
    return tl::unexpected(reachable.error());
  }
  return chart;
}

Result<StateChart> StateChart::Load(std::string_view name,
                                    std::span<const std::string_view> states,
                                    std::span<const std::string_view> events) {
  auto chart = Parse(EmbeddedChart(name));
  if (!chart) return chart;
  if (auto same = CheckNames(name, "states", chart->states_, states); !same) {
    return tl::unexpected(same.error());
  }
  if (auto same = CheckNames(name, "events", chart->events_, events); !same) {
    return tl::unexpected(same.error());
  }
  return chart;
}

std::optional<StateChart::State> StateChart::Next(State state,
                                                  Event event) const {
  return next_.at(state * events_.size() + event);
}

Result<void> StateChart::AddTransition(std::string_view from,
                                       std::string_view event,
                                       std::string_view to) {
  const auto from_index = IndexOf(states_, from);
  const auto event_index = IndexOf(events_, event);
  const auto to_index = IndexOf(states_, to);
  if (!from_index || !event_index || !to_index) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("chart \"{}\": transition {} --{}--> {} names an "
                            "unknown state or event",
                            name_, from, event, to));
  }
  auto& next = next_[*from_index * events_.size() + *event_index];
  if (next) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("chart \"{}\": state \"{}\" has two transitions "
                            "for event \"{}\"",
                            name_, from, event));
  }
  next = *to_index;
  return {};
}

Result<void> StateChart::CheckReachable() const {
  std::vector<bool> reached(states_.size(), false);
  std::vector<State> open = {initial_};
  reached[initial_] = true;
  while (!open.empty()) {
    const State state = open.back();
    open.pop_back();
    for (Event event = 0; event < events_.size(); ++event) {
      const auto next = Next(state, event);
      if (!next || reached[*next]) continue;
      reached[*next] = true;
      open.push_back(*next);
    }
  }
  const auto lost = std::find(reached.begin(), reached.end(), false);
  if (lost == reached.end()) return {};
  return Fail(ErrorKind::kInvalidSettings,
              fmt::format("chart \"{}\": state \"{}\" cannot be reached", name_,
                          states_[lost - reached.begin()]));
}

}  // namespace sapphirebank
