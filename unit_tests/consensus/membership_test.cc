#include "sapphirebank/consensus/membership.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

// Parses members from texts such as "a1", "b2" and "c3-": host a runs node a1,
// and so on; a minus marks a learner.
GroupMembership ParseMembers(const std::vector<std::string>& texts) {
  std::vector<GroupMember> members;
  members.reserve(texts.size());
  for (const std::string& text : texts) {
    members.push_back({HostId(text.substr(0, 1)), NodeId(text.substr(0, 2)),
                       !text.ends_with('-')});
  }
  return GroupMembership(std::move(members));
}

TEST_CASE("members change one at a time, and learners vote once they caught up",
          "[consensus]") {
  struct Row {
    const char* name;
    std::vector<std::string> current;
    std::vector<std::string> present;
    std::vector<std::string> caught_up;
    bool remove_absent;
    std::vector<std::string> next;  // Empty: no change.
  };
  const Row rows[] = {
      {"all present", {"a1", "b1", "c1"}, {"b1", "c1"}, {}, true, {}},
      {"one voter absent", {"a1", "b1", "c1"}, {"b1"}, {}, true, {}},
      {"new host", {"a1"}, {"b1"}, {}, true, {"a1", "b1-"}},
      {"behind", {"a1", "b1-"}, {"b1"}, {}, true, {}},
      {"learner caught up", {"a1", "b1-"}, {"b1"}, {"b1"}, true, {"a1", "b1"}},
      {"lost disk",
       {"a1", "b1", "c1"},
       {"c2"},
       {},
       true,
       {"a1", "b1", "c1", "c2-"}},
      {"still behind", {"a1", "b1", "c1", "c2-"}, {"c2"}, {}, true, {}},
      {"the lost node is removed",
       {"a1", "b1", "c1", "c2-"},
       {"c2"},
       {"c2"},
       true,
       {"a1", "b1", "c2-"}},
      {"its successor becomes a voter",
       {"a1", "b1", "c2-"},
       {"c2"},
       {"c2"},
       true,
       {"a1", "b1", "c2"}},
      {"disk lost again while a learner",
       {"a1", "b1", "c1", "c2-"},
       {"c3"},
       {},
       false,
       {"a1", "b1", "c1"}},
      {"learner absent", {"a1", "b1", "c1-"}, {}, {}, true, {"a1", "b1"}},
      {"learner not heard from yet", {"a1", "b1", "c1-"}, {}, {}, false, {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::map<HostId, NodeId> present;
    for (const std::string& text : row.present) {
      present[HostId(text.substr(0, 1))] = NodeId(text);
    }
    const std::vector<NodeId> caught_up(row.caught_up.begin(),
                                        row.caught_up.end());
    const auto next = NextMembership(ParseMembers(row.current), present,
                                     caught_up, row.remove_absent);
    CHECK(next.has_value() == !row.next.empty());
    if (next) CHECK(*next == ParseMembers(row.next));
  }
}

TEST_CASE("learners do not count for a majority", "[consensus]") {
  CHECK(ParseMembers({"a1"}).Quorum() == 1);
  CHECK(ParseMembers({"a1", "b1-", "c1-"}).Quorum() == 1);
  CHECK(ParseMembers({"a1", "b1", "c1-"}).Quorum() == 2);
  CHECK(ParseMembers({"a1", "b1", "c1", "d1", "e1"}).Quorum() == 3);
  CHECK_FALSE(ParseMembers({"a1", "b1-"}).IsVoter(NodeId("b1")));
}

}  // namespace
}  // namespace sapphirebank
