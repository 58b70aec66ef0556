#include "sapphirebank/fleet/drain_schedule.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a request that is accepted on a kept connection late in the
// grace time and cut off while its server works on it.
TEST_CASE("a draining host accepts only what it has time to answer",
          "[fleet]") {
  // The platform counts a request as lost that was sent later than 3 s after
  // the signal, or that was not running in the last sixth of the grace time.
  constexpr Duration kGrace = seconds(6);
  constexpr Duration kLastAcceptance = seconds(3);
  const DrainSchedule schedule = MakeDrainSchedule(kGrace);
  CHECK(schedule.accept_time <= kLastAcceptance);
  CHECK(schedule.answer_time >= kGrace - kGrace / 6);
  CHECK(schedule.end_time > schedule.answer_time);
  // The process ends by itself before it is killed.
  CHECK(schedule.end_time <= kGrace - milliseconds(250));
}

// Guards against requests that must run once and are taken with less time left
// than they may need.
TEST_CASE("a draining host takes a request only with time to answer it",
          "[fleet]") {
  struct Row {
    const char* name;
    RequestTimes times;
    bool is_idempotent;
    // The last time after the signal at which it is taken; negative for never.
    Duration last_taken;
  };
  const DrainSchedule schedule = MakeDrainSchedule(seconds(6));
  const Duration end = schedule.answer_time;
  const Row rows[] = {
      {"short, once",
       {milliseconds(600), seconds(8)},
       false,
       end - milliseconds(2400)},
      {"short limit, once",
       {milliseconds(400), seconds(1)},
       false,
       end - seconds(1)},
      {"longer than the grace time",
       {seconds(2), seconds(12)},
       false,
       milliseconds(-1)},
      {"repeatable",
       {milliseconds(600), seconds(8)},
       true,
       end - milliseconds(600)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const auto accepts = [&](Duration since_signal) {
      return AcceptsWhileDraining(schedule, since_signal, row.times,
                                  row.is_idempotent);
    };
    CHECK(accepts(Duration::zero()) == (row.last_taken >= Duration::zero()));
    CHECK_FALSE(accepts(row.last_taken + milliseconds(1)));
    if (row.last_taken > Duration::zero()) CHECK(accepts(row.last_taken));
  }
}

}  // namespace
}  // namespace sapphirebank
