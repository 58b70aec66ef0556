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
  CHECK(schedule.end_time >= kGrace - kGrace / 6);
  // The process ends by itself before it is killed.
  CHECK(schedule.end_time <= kGrace - milliseconds(250));
}

}  // namespace
}  // namespace sapphirebank
