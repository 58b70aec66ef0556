#include "sapphirebank/fleet/server_board.h"

#include <catch2/catch.hpp>

#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

const ServerState& StateOf(const ServerBoard& board, const std::string& id) {
  return board.entries().at(BackendId(id)).state;
}

TEST_CASE("heartbeats that come late or twice change nothing", "[fleet]") {
  ServerBoard board{ServerBoardSettings()};
  const FleetRecord record;
  CHECK(board.Hear(kStart, AServer("a", "kochi", 5, 3), record));
  const auto changes = board.changes();
  CHECK_FALSE(board.Hear(kStart, AServer("a", "kochi", 5, 3), record));
  CHECK_FALSE(board.Hear(kStart, AServer("a", "fann", 5, 2), record));
  CHECK_FALSE(board.Hear(kStart, AServer("a", "fann", 4, 99), record));
  CHECK(board.changes() == changes);
  // A plain next heartbeat counts but is no news.
  CHECK(board.Hear(kStart, AServer("a", "kochi", 5, 4), record));
  CHECK(board.changes() == changes);
  // A new life under the same id is news, and its counts start anew.
  CHECK(board.Hear(kStart, AServer("a", "kochi", 6, 1), record));
  CHECK(board.changes() > changes);
}

TEST_CASE("an address belongs to the latest life that announced it",
          "[fleet]") {
  ServerBoard board{ServerBoardSettings()};
  const FleetRecord record;
  ServerAnnouncement old = AServer("old", "kochi", 5);
  ServerAnnouncement next = AServer("next", "kochi", 8);
  next.service = ServiceId("artwork");
  next.endpoint = old.endpoint;
  REQUIRE(board.Hear(kStart, old, record));
  REQUIRE(board.Hear(kStart, next, record));
  CHECK(StateOf(board, "old").retired);
  CHECK_FALSE(StateOf(board, "next").retired);
  // A heartbeat of the old life was held up by a partition.
  old.sequence = 9;
  CHECK_FALSE(board.Hear(kStart, old, record));
  CHECK_FALSE(StateOf(board, "next").retired);
}

TEST_CASE("a life that said that it leaves stays retired", "[fleet]") {
  ServerBoard board{ServerBoardSettings()};
  FleetRecord record;
  REQUIRE(board.Hear(kStart, AServer("a", "kochi", 5, 1), record));
  record.Apply(RetireBackend{BackendId("a"), 5});
  board.Follow(record);
  CHECK(StateOf(board, "a").retired);
  // It goes on saying that it is ready.
  board.Hear(kStart, AServer("a", "kochi", 5, 2), record);
  CHECK(StateOf(board, "a").retired);
  board.Hear(kStart, AServer("a", "kochi", 6, 1), record);
  CHECK_FALSE(StateOf(board, "a").retired);
}

TEST_CASE("a warm-up that is announced again is no news", "[fleet]") {
  ServerBoard board{ServerBoardSettings()};
  const FleetRecord record;
  ServerAnnouncement server = AServer("a");
  server.warm_up_left = seconds(3);
  board.Hear(kStart, server, record);
  CHECK(StateOf(board, "a").cold_until == kStart + seconds(3));
  const auto changes = board.changes();
  server.sequence = 2;
  server.warm_up_left = milliseconds(1500);
  board.Hear(kStart + milliseconds(1500), server, record);
  CHECK(board.changes() == changes);
  // It turned cold again.
  server.sequence = 3;
  server.warm_up_left = seconds(3);
  board.Hear(kStart + seconds(10), server, record);
  CHECK(StateOf(board, "a").cold_until == kStart + seconds(13));
  CHECK(board.changes() > changes);
}

TEST_CASE("a zone that returns may be cold", "[fleet]") {
  ServerBoard board{ServerBoardSettings()};
  const FleetRecord record;
  board.Hear(kStart, AServer("a", "kochi"), record);
  board.Hear(kStart, AServer("b", "fann"), record);
  board.ZoneReturned(kStart, ZoneId("kochi"), seconds(3));
  CHECK(StateOf(board, "a").cold_until == kStart + seconds(3));
  CHECK(StateOf(board, "b").cold_until <= kStart);
}

TEST_CASE("a silent server that is reached stays; one that fails goes",
          "[fleet]") {
  ServerBoardSettings settings;
  ServerBoard board(settings);
  const FleetRecord record;
  for (const char* id : {"a", "b", "c", "d"}) {
    board.Hear(kStart, AServer(id), record);
  }
  for (int step = 0; step < 200; ++step) {
    const Instant now = kStart + step * milliseconds(50);
    board.AddOutcomes(now, BackendId("a"), {1, 0, 0});
    board.AddOutcomes(now, BackendId("b"), {0, 0, 1});
    board.Tick(now);
  }
  CHECK_FALSE(StateOf(board, "a").retired);
  CHECK(StateOf(board, "b").retired);
}

TEST_CASE("most servers of a service stay in use whatever is seen", "[fleet]") {
  ServerBoard board{ServerBoardSettings()};
  const FleetRecord record;
  for (int i = 0; i < 10; ++i) {
    board.Hear(kStart, AServer("s" + std::to_string(i)), record);
  }
  for (int i = 0; i < 10; ++i) {
    board.AddOutcomes(kStart, BackendId("s" + std::to_string(i)), {0, 0, 5});
  }
  int down = 0;
  for (const auto& [id, entry] : board.entries()) {
    if (entry.state.standing == Standing::kDown) ++down;
  }
  CHECK(down == 5);
}

TEST_CASE("successes count while half of a service is down", "[fleet]") {
  const ServerBoardSettings settings;
  ServerBoard board{settings};
  const FleetRecord record;
  for (const char* id : {"a", "b", "c", "d"}) {
    board.Hear(kStart, AServer(id), record);
  }
  for (const char* id : {"a", "b"}) {
    board.AddOutcomes(kStart, BackendId(id), {0, 0, 1});
  }
  REQUIRE(StateOf(board, "b").standing == Standing::kDown);
  board.AddOutcomes(kStart, BackendId("c"), {20, 0, 0});
  const Instant probed = kStart + settings.evidence.first_rest;
  board.Tick(probed);
  board.AddOutcomes(probed, BackendId("a"), {2, 0, 0});
  REQUIRE(StateOf(board, "a").standing == Standing::kUp);
  // One break among twenty successes is no gray server.
  board.AddOutcomes(probed, BackendId("c"), {0, 0, 1});
  CHECK(StateOf(board, "c").standing == Standing::kUp);
}

TEST_CASE("a relay takes the leader's word but not on an earlier life",
          "[fleet]") {
  ServerBoard board{ServerBoardSettings()};
  const FleetRecord record;
  board.Hear(kStart, AServer("a", "kochi", 5), record);
  ServerNews news;
  news.announcement = AServer("a", "kochi", 5);
  news.standing = Standing::kDown;
  board.Adopt(kStart, news);
  CHECK(StateOf(board, "a").standing == Standing::kDown);
  const auto changes = board.changes();
  board.Adopt(kStart, news);
  CHECK(board.changes() == changes);
  news.announcement.incarnation = 4;
  news.retired = true;
  board.Adopt(kStart, news);
  CHECK_FALSE(StateOf(board, "a").retired);
}

}  // namespace
}  // namespace sapphirebank
