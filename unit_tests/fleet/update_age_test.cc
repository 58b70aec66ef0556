#include "sapphirebank/fleet/update_age.h"

#include <catch2/catch.hpp>
#include <vector>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow{seconds(1000)};
constexpr std::size_t kQuorum = 3;  // Of five voters.

std::optional<ReportedUpdateAge> Said(Duration age, Duration ago = {}) {
  return ReportedUpdateAge{age, kNow - ago};
}

// Guards against hosts that keep a hub which is cut off from the leader, and
// against those that search in vain.
TEST_CASE("a search is in vain when a majority has no recent update",
          "[fleet]") {
  struct Row {
    const char* name;
    std::vector<std::optional<ReportedUpdateAge>> others;
    bool in_vain;
  };
  const auto old = Said(seconds(2));
  const Row rows[] = {
      {"all are old", {old, old, old, old}, true},
      {"a majority is old", {old, old, std::nullopt, std::nullopt}, true},
      {"one is recent", {old, old, old, Said(milliseconds(300))}, false},
      {"a minority is heard", {old}, false},
      {"cut off: the others were recent when last heard",
       {old, Said(milliseconds(300), seconds(1)),
        Said(milliseconds(300), seconds(1)), old},
       false},
      {"cut off for long",
       {old, Said(milliseconds(300), seconds(5)),
        Said(milliseconds(300), seconds(5)),
        Said(milliseconds(300), seconds(5))},
       false},
      {"earlier builds say nothing",
       {std::nullopt, std::nullopt, std::nullopt, std::nullopt},
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(NoneHasRecentUpdate(kNow, row.others, kQuorum) == row.in_vain);
  }
}

}  // namespace
}  // namespace sapphirebank
