#include <catch2/catch.hpp>

#include "unit_tests/platform/entry_hosts.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kGrace = seconds(6);
const DrainSchedule kSchedule = MakeDrainSchedule(kGrace);

// The refusal's status for a request that has not run.
constexpr int kNotRunStatus = 503;
// The status of a request that may have run.
constexpr int kUnknownStatus = 504;

struct DrainingHost {
  DrainingHost() : backend(loop), host(loop, "127.0.0.1") {
    host.Update({backend.endpoint()}, {});
  }

  LoopThread loop;
  ScriptedBackend backend;
  TestEntryHost host;
};

// Guards against requests that are taken late in a planned stop and cut off
// while a server runs them.
TEST_CASE("a draining host refuses what it may not be able to answer",
          "[platform]") {
  DrainingHost draining;
  draining.host.BeginDrain(kSchedule, Duration::zero());
  CHECK(draining.host.Send("/order/1", "o1").status == 200);
  // The routes of the test have a time limit of 2 s and an objective of 1 s.
  draining.host.BeginDrain(kSchedule,
                           kSchedule.answer_time - milliseconds(1900));
  const HttpAnswer late = draining.host.Send("/order/1", "o2");
  CHECK(late.status == kNotRunStatus);
  CHECK_FALSE(FieldValue(late.fields, "retry-after").empty());
  CHECK(draining.backend.requests() == 1);
  CHECK(draining.host.Send("/lookup/1", "l1").status == 200);
  draining.host.BeginDrain(kSchedule,
                           kSchedule.answer_time - milliseconds(900));
  CHECK(draining.host.Send("/lookup/1", "l2").status == kNotRunStatus);
  CHECK(draining.backend.requests() == 2);
}

// Guards against connections that are closed without an answer when the grace
// time ends while servers are at work.
TEST_CASE("requests that run at the end of the grace time are answered",
          "[platform]") {
  DrainingHost draining;
  draining.backend.set_delay(seconds(1));
  draining.host.BeginDrain(kSchedule, Duration::zero());
  for (const char* path : {"/order/1", "/lookup/1"}) {
    CAPTURE(path);
    const Instant begin = MonotonicNow();
    draining.host.EndAttemptsAfter(milliseconds(100));
    CHECK(draining.host.Send(path).status == kUnknownStatus);
    CHECK(MonotonicNow() - begin < milliseconds(800));
    draining.host.BeginDrain(kSchedule, Duration::zero());
  }
  CHECK(draining.backend.requests() == 2);
  // Nothing is put down to the server.
  CHECK(draining.host.TakeReport().outcomes.empty());
}

// Guards against a request that is sent to a server after the last attempts
// have been ended.
TEST_CASE("a host whose attempts are over sends nothing", "[platform]") {
  DrainingHost draining;
  draining.host.BeginDrain(kSchedule, Duration::zero());
  draining.host.EndAttemptsAfter(Duration::zero());
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(draining.host.Send("/order/1").status == kNotRunStatus);
  CHECK(draining.backend.requests() == 0);
}

}  // namespace
}  // namespace sapphirebank
