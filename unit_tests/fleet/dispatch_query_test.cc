#include "sapphirebank/fleet/dispatch_query.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace sapphirebank {
namespace {

using nlohmann::json;

TEST_CASE("a question to the hub keeps what tells work and rank") {
  DispatchQuery query;
  query.service = ServiceId("desk");
  query.zone = ZoneId("kochi");
  query.excluded = {BackendId("s-1")};
  query.route = "lookup";
  query.body_bytes = 4096;
  query.rank = {1, 2};
  query.caller = WorkspaceId("north");
  query.fingerprint = 77;
  const auto read = json(query).get<DispatchQuery>();
  CHECK(read.excluded == query.excluded);
  CHECK(read.route == "lookup");
  CHECK(read.body_bytes == 4096);
  CHECK(read.rank == query.rank);
  CHECK(read.caller == query.caller);
  CHECK(read.fingerprint == 77);
  CHECK(read.workspace.empty());
}

TEST_CASE("a question of an earlier build is read") {
  const json earlier = {{"t", "ask"},  {"n", 1},    {"s", "desk"},
                        {"z", "b"},    {"r", true}, {"again", false},
                        {"o", 1000},   {"d", 2000}, {"x", json::array()},
                        {"w", "north"}};
  const auto read = earlier.get<DispatchQuery>();
  CHECK(read.workspace == WorkspaceId("north"));
  CHECK(read.route.empty());
  CHECK(read.rank == RequestRank{});
}

TEST_CASE("a hub's refusal keeps its kind and when to return") {
  DispatchChoice choice;
  choice.refusal =
      DispatchRefusal{ErrorKind::kQueueFull, std::chrono::milliseconds(700)};
  const auto read = json(choice).get<DispatchChoice>();
  REQUIRE(read.refusal);
  CHECK(read.refusal->kind == ErrorKind::kQueueFull);
  CHECK(read.refusal->retry_after == std::chrono::milliseconds(700));
  CHECK_FALSE(read.refusal->hold);
  choice.refusal->hold = true;
  CHECK(json(choice).get<DispatchChoice>().refusal->hold);
  const json earlier = {{"id", "s-1"}, {"busy", true}, {"token", false}};
  CHECK_FALSE(earlier.get<DispatchChoice>().refusal);
}

TEST_CASE("a kind of refusal of a later build is a lack of servers") {
  json message = {{"id", ""},
                  {"busy", false},
                  {"token", false},
                  {"refusal", "??"},
                  {"return", 1000}};
  CHECK(message.get<DispatchChoice>().refusal->kind ==
        ErrorKind::kNoBackendServer);
}

}  // namespace
}  // namespace sapphirebank
