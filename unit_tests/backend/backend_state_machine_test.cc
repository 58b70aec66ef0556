#include "sapphirebank/backend/backend_state_machine.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

namespace sapphirebank {
namespace {

std::string DesignPage() {
  std::ifstream page(TEST_SOURCE_DIR "/docs/design/backend-servers.md");
  return {std::istreambuf_iterator<char>(page), {}};
}

TEST_CASE("an event that the chart does not allow leaves the state unchanged",
          "[backend]") {
  const auto chart = LoadBackendChart();
  REQUIRE(chart);
  BackendStateMachine incarnation(*chart);
  CHECK(incarnation.state() == BackendState::kCold);
  CHECK(!incarnation.Apply(BackendEvent::kZoneIn));
  CHECK(incarnation.state() == BackendState::kCold);
  CHECK(incarnation.Apply(BackendEvent::kZoneOut));
  CHECK(!incarnation.Apply(BackendEvent::kEjected));
  CHECK(incarnation.state() == BackendState::kZoneOut);
}

TEST_CASE("the diagram in the design document matches the chart", "[backend]") {
  const auto chart = LoadBackendChart();
  REQUIRE(chart);
  const std::string page = DesignPage();
  std::size_t transitions = 0;
  for (std::size_t state = 0; state < chart->states().size(); ++state) {
    for (std::size_t event = 0; event < chart->events().size(); ++event) {
      const auto next = chart->Next(state, event);
      if (!next) continue;
      ++transitions;
      const std::string line = chart->states()[state] + " --> " +
                               chart->states()[*next] + ": " +
                               chart->events()[event] + "\n";
      INFO(line);
      CHECK(page.find(line) != std::string::npos);
    }
  }
  std::size_t arrows = 0;
  for (auto at = page.find("--> "); at != std::string::npos;
       at = page.find("--> ", at + 1)) {
    ++arrows;
  }
  // One more arrow leads to the initial state.
  CHECK(arrows == transitions + 1);
}

}  // namespace
}  // namespace sapphirebank
