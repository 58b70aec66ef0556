#include "sapphirebank/fleet/plan_proposals.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace sapphirebank {
namespace {

// Guards against a log that gets another copy of a large plan each time an
// operator who waits sends it again.
TEST_CASE("a plan that is sent again waits for the open proposal", "[fleet]") {
  PlanProposals proposals;
  CHECK_FALSE(proposals.Covers(7));
  proposals.Begin(7);
  proposals.Begin(9);
  CHECK(proposals.Covers(7));
  CHECK(proposals.Covers(6));
  CHECK(proposals.Covers(8));
  CHECK(proposals.Covers(9));
  CHECK_FALSE(proposals.Covers(10));

  std::vector<std::string> answered;
  const auto join = [&](PlanVersion version, const std::string& name) {
    proposals.Join({version, [&answered, name](const Result<std::string>&) {
                      answered.push_back(name);
                    }});
  };
  join(7, "7 again");
  join(6, "6 late");
  join(8, "8 overtaken");
  const auto answer = [&](PlanVersion version) {
    for (const auto& call : proposals.End(version)) call.callback("");
  };
  answer(7);
  CHECK(answered == std::vector<std::string>{"7 again", "6 late"});
  CHECK_FALSE(proposals.Covers(10));
  CHECK(proposals.Covers(8));
  answer(9);
  CHECK(answered.size() == 3);
  CHECK_FALSE(proposals.Covers(1));
  CHECK(proposals.End(9).empty());
}

}  // namespace
}  // namespace sapphirebank
