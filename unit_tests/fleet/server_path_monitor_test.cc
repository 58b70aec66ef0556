#include "sapphirebank/fleet/server_path_monitor.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using State = ServerPathMonitor::State;

constexpr Instant kStart{seconds(1000)};

ServerPathMonitor MakeMonitor() {
  return ServerPathMonitor::Create(ServerPathSettings()).value();
}

UnansweredAttempt AttemptAt(const char* server) {
  UnansweredAttempt attempt;
  attempt.server = BackendId(server);
  attempt.may_have_crashed = true;
  return attempt;
}

// Guards against sound servers that are taken out of use for all because one
// host has lost its path to every server.
TEST_CASE("attempts of a host without a path are not put down to servers",
          "[fleet]") {
  ServerPathMonitor path = MakeMonitor();
  path.RecordUnanswered(AttemptAt("a"));
  path.RecordUnanswered(AttemptAt("b"));
  CHECK(path.NeedsProbes());
  CHECK_FALSE(path.IsLost());
  const PathVerdict verdict = path.RecordProbes(kStart, false);
  CHECK(verdict.attempts.size() == 2);
  CHECK_FALSE(verdict.blames_servers);
  CHECK(path.IsLost());
  const PathVerdict next = path.RecordUnanswered(AttemptAt("c"));
  CHECK(next.attempts.size() == 1);
  CHECK_FALSE(next.blames_servers);
  // A connection that outlived the cut still carries answers.
  CHECK(path.RecordAnswer(kStart).attempts.empty());
  CHECK(path.IsLost());
  CHECK(path.RecordProbes(kStart + seconds(1), true).attempts.empty());
  CHECK(path.RecordProbes(kStart + seconds(2), true).attempts.empty());
  CHECK(path.state() == State::kSound);
}

// Guards against servers that fail unnoticed.
TEST_CASE("an unanswered attempt is put down to its server on any contact",
          "[fleet]") {
  for (const bool by_probe : {false, true}) {
    ServerPathMonitor path = MakeMonitor();
    path.RecordUnanswered(AttemptAt("a"));
    path.RecordUnanswered(AttemptAt("b"));
    const PathVerdict verdict =
        by_probe ? path.RecordProbes(kStart, true) : path.RecordAnswer(kStart);
    CHECK(verdict.blames_servers);
    REQUIRE(verdict.attempts.size() == 2);
    CHECK(verdict.attempts[0].server == BackendId("a"));
    CHECK(verdict.attempts[0].may_have_crashed);
    CHECK(path.state() == State::kSound);
    CHECK(path.RecordAnswer(kStart).attempts.empty());
  }
}

// Guards against a host that goes back and forth while servers are reachable by
// chance.
TEST_CASE("a lost path is back after two rounds of probes in a row",
          "[fleet]") {
  ServerPathMonitor path = MakeMonitor();
  path.RecordUnanswered(AttemptAt("a"));
  path.RecordProbes(kStart, false);
  path.RecordProbes(kStart, true);
  CHECK(path.state() == State::kReturning);
  CHECK(path.IsLost());
  path.RecordProbes(kStart, false);
  CHECK(path.state() == State::kLost);
  path.RecordProbes(kStart, true);
  path.RecordProbes(kStart, true);
  CHECK_FALSE(path.IsLost());
}

// Guards against a lost path that shows by hanging requests only.
TEST_CASE("a host that hears from no server while it waits verifies its path",
          "[fleet]") {
  ServerPathMonitor path = MakeMonitor();
  path.RecordAnswer(kStart);
  path.CheckSilence(kStart + milliseconds(700), kStart + milliseconds(300));
  CHECK_FALSE(path.NeedsProbes());
  path.CheckSilence(kStart + milliseconds(499), kStart - seconds(1));
  CHECK_FALSE(path.NeedsProbes());
  path.CheckSilence(kStart + milliseconds(500), kStart - seconds(1));
  CHECK(path.NeedsProbes());
  // Slow servers are not failing ones.
  CHECK(path.RecordProbes(kStart + milliseconds(502), true).attempts.empty());
}

}  // namespace
}  // namespace sapphirebank
