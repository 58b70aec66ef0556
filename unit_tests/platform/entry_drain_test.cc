#include <catch2/catch.hpp>

#include "unit_tests/platform/entry_hosts.h"
#include "unit_tests/transport/scripted_server.h"

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
  // With this grace time both requests are early.
  const DrainSchedule early = MakeDrainSchedule(seconds(2));
  draining.host.BeginDrain(early, early.answer_time - milliseconds(1200));
  const HttpAnswer order = draining.host.Send("/order/1", "o2");
  CHECK(order.status == kNotRunStatus);
  CHECK_FALSE(FieldValue(order.fields, "retry-after").empty());
  CHECK(draining.backend.requests() == 1);
  CHECK(draining.host.Send("/lookup/1", "l1").status == 200);
  draining.host.BeginDrain(early, early.answer_time - milliseconds(900));
  CHECK(draining.host.Send("/lookup/1", "l2").status == kNotRunStatus);
  CHECK(draining.backend.requests() == 2);
}

// Guards against a request that is accepted late in the grace time, because its
// objective fits, and is answered by the host while its server works on it.
TEST_CASE("a draining host runs no late request that it may have to break off",
          "[platform]") {
  DrainingHost draining;
  draining.host.BeginDrain(kSchedule,
                           kSchedule.answer_time - milliseconds(1900));
  for (const char* path : {"/order/1", "/lookup/1"}) {
    CAPTURE(path);
    const HttpAnswer late = draining.host.Send(path, path);
    CHECK(late.status == kNotRunStatus);
    CHECK_FALSE(FieldValue(late.fields, "retry-after").empty());
  }
  CHECK(draining.backend.requests() == 0);
  draining.host.BeginDrain(kSchedule,
                           kSchedule.answer_time - milliseconds(2500));
  CHECK(draining.host.Send("/order/1", "o1").status == 200);
  CHECK(draining.host.Send("/lookup/1", "l1").status == 200);
}

// Guards against a request that a host sends to another one, whose shutdown
// began earlier and ends the request while its server works on it.
TEST_CASE("a draining host takes no detour that it may have to break off",
          "[platform]") {
  LoopThread loop;
  const ClosedPort closed;
  ScriptedBackend backend(loop);
  TestEntryHost draining(loop, "127.0.0.2");
  TestEntryHost cut_off(loop, "127.0.0.1", draining.fleet_port());
  draining.Update({backend.endpoint()}, {});
  cut_off.Update({closed.endpoint()}, {"127.0.0.2:80"});
  // Early, and with time for the objective of the route.
  const DrainSchedule schedule = MakeDrainSchedule(seconds(2));
  draining.BeginDrain(schedule, schedule.answer_time - milliseconds(1200));
  CHECK(cut_off.Send("/lookup/1", "l1").status == kNotRunStatus);
  CHECK(draining.detours() > 0);
  CHECK(backend.requests() == 0);
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
