#include "sapphirebank/fleet/drain_schedule.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

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
TEST_CASE("a draining host takes an early request with time to answer it",
          "[fleet]") {
  struct Row {
    const char* name;
    RequestTimes times;
    bool is_idempotent;
    // The last time after the signal at which it is taken; negative for never.
    Duration last_taken;
  };
  // With this grace time every request that comes before the ports are closed
  // is early.
  const DrainSchedule schedule = MakeDrainSchedule(seconds(4));
  CHECK(schedule.notice_time == schedule.accept_time);
  const Duration end = schedule.answer_time;
  const Row rows[] = {
      {"short, once",
       {milliseconds(600), seconds(8)},
       false,
       end - milliseconds(2400)},
      {"short limit, once",
       {milliseconds(600), milliseconds(1600)},
       false,
       end - milliseconds(1600)},
      {"longer than the grace time",
       {seconds(2), seconds(12)},
       false,
       milliseconds(-1)},
      {"repeatable",
       {milliseconds(1600), seconds(8)},
       true,
       end - milliseconds(1600)},
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

TEST_CASE("a draining host takes a late request with time for its whole limit",
          "[fleet]") {
  const DrainSchedule schedule = MakeDrainSchedule(seconds(10));
  for (const bool is_idempotent : {false, true}) {
    CAPTURE(is_idempotent);
    for (const Duration limit : {seconds(1), seconds(4), seconds(6)}) {
      const RequestTimes times = {milliseconds(200), limit};
      const Duration last_taken = schedule.answer_time - limit;
      CHECK(AcceptsWhileDraining(schedule, last_taken, times, is_idempotent));
      CHECK_FALSE(AcceptsWhileDraining(schedule, last_taken + milliseconds(1),
                                       times, is_idempotent));
    }
  }
}

// Guards against a request that comes late in a long grace time, is accepted by
// its latency objective and is broken off while its server works on it.
TEST_CASE("no late request is broken off before its limit", "[fleet]") {
  // The platform excuses the end of a request that was sent by then, in the
  // last sixth of the grace time.
  constexpr Duration kExcused = seconds(3);
  const Duration limits[] = {milliseconds(400), seconds(1),  seconds(2),
                             seconds(4),        seconds(8),  seconds(10),
                             seconds(12),       seconds(30), seconds(300)};
  std::vector<std::string> broken;
  for (const Duration grace :
       {milliseconds(500), milliseconds(2000), milliseconds(3000),
        milliseconds(6000), milliseconds(10000), milliseconds(30000)}) {
    const DrainSchedule schedule = MakeDrainSchedule(grace);
    // Bodies may be complete after the ports were closed.
    for (Duration sent{}; sent <= grace; sent += milliseconds(50)) {
      for (const Duration limit : limits) {
        for (const bool is_idempotent : {false, true}) {
          const RequestTimes times = {limit / 5, limit};
          const Duration answered =
              std::min(sent + limit, schedule.answer_time);
          const bool is_cut = answered < sent + limit;
          const bool is_excused =
              sent <= kExcused && answered >= grace - grace / 6;
          if (is_cut && !is_excused &&
              AcceptsWhileDraining(schedule, sent, times, is_idempotent)) {
            broken.push_back(fmt::format("grace {} s, sent {} s, limit {} s",
                                         ToSeconds(grace), ToSeconds(sent),
                                         ToSeconds(limit)));
          }
        }
      }
    }
  }
  CAPTURE(broken);
  CHECK(broken.empty());
}

}  // namespace
}  // namespace sapphirebank
