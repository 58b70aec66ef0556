#include "sapphirebank/fleet/server_work_tracker.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
const BackendId kServer("a");

WorkEstimate Work(double mean) { return {mean, mean / 4, 1}; }

struct TrackerFixture {
  ServerWorkTracker tracker{ServerWorkSettings()};
  Instant now = kStart;

  std::uint64_t Assign(double mean, std::uint32_t slots = 2) {
    return tracker.RecordAssignment(now, kServer, slots, Work(mean));
  }
  ServerWorkTracker::Status Status(std::uint32_t slots = 2) const {
    return tracker.StatusOf(now, kServer, slots);
  }
  std::optional<Duration> End(
      std::uint64_t number,
      AssignmentOutcome outcome = AssignmentOutcome::kServed) {
    return tracker.RecordEnd(now, kServer, number, outcome);
  }
  // Serves `count` requests of 0.2 s that take `factor` times as long.
  void Serve(int count, double factor) {
    for (int i = 0; i < count; ++i) {
      const std::uint64_t number = Assign(0.2);
      now += FromSeconds(0.2 * factor);
      End(number);
    }
  }
};

TEST_CASE("a server with a free slot begins at once, others by the work left",
          "[fleet]") {
  TrackerFixture fixture;
  CHECK(fixture.Status().wait_seconds == 0);
  fixture.Assign(1);
  CHECK(fixture.Status().wait_seconds == 0);
  fixture.Assign(0.4);
  CHECK(fixture.Status().wait_seconds == Approx(0.4));
  fixture.now += milliseconds(100);
  CHECK(fixture.Status().wait_seconds == Approx(0.3));
  CHECK(fixture.Status().left_seconds == Approx(0.9));
  // One waits: half of its work falls to each slot.
  fixture.Assign(0.6);
  CHECK(fixture.Status().wait_seconds == Approx(0.6));
  CHECK(fixture.Status().CompletionSeconds(Work(0.2)) == Approx(0.8));
}

TEST_CASE("the time in the queue is no work", "[fleet]") {
  TrackerFixture fixture;
  const std::uint64_t first = fixture.Assign(0.4, 1);
  const std::uint64_t second = fixture.Assign(0.4, 1);
  fixture.now += milliseconds(400);
  CHECK(fixture.End(first) == milliseconds(400));
  fixture.now += milliseconds(300);
  CHECK(fixture.End(second) == milliseconds(300));
  CHECK_FALSE(fixture.End(second));
}

// Servers that take twelve times as long, unseen by health checks.
TEST_CASE("a slow server is known by its answers", "[fleet]") {
  TrackerFixture fixture;
  fixture.Serve(3, 12);
  CHECK(fixture.Status().slowness > 6);
  // The work of its answers is corrected.
  const std::uint64_t number = fixture.Assign(0.2);
  fixture.now += milliseconds(2400);
  CHECK(fixture.End(number).value() < milliseconds(600));
}

TEST_CASE("a slow server is known before it answers", "[fleet]") {
  TrackerFixture fixture;
  fixture.Serve(5, 1);
  CHECK(fixture.Status().slowness == Approx(1).margin(0.1));
  fixture.Assign(0.2);
  fixture.Assign(0.2);
  fixture.now += milliseconds(1000);
  CHECK(fixture.Status().slowness > 2);
}

TEST_CASE("what ends without an answer shows slowness only beyond its time",
          "[fleet]") {
  TrackerFixture fixture;
  const std::uint64_t first = fixture.Assign(0.2);
  fixture.now += milliseconds(20);
  fixture.End(first, AssignmentOutcome::kInconclusive);
  CHECK(fixture.Status().slowness == 1);
  const std::uint64_t second = fixture.Assign(0.2);
  fixture.now += milliseconds(2000);
  fixture.End(second, AssignmentOutcome::kInconclusive);
  CHECK(fixture.Status().slowness > 3);
}

TEST_CASE("a server that has recovered is used again", "[fleet]") {
  TrackerFixture fixture;
  fixture.Serve(6, 12);
  REQUIRE(fixture.Status().slowness > 6);
  SECTION("by a few answers") {
    fixture.Serve(4, 1);
    CHECK(fixture.Status().slowness < 2);
  }
  SECTION("by time") {
    fixture.now += seconds(12);
    CHECK(fixture.Status().slowness < 4);
    fixture.now += seconds(12);
    CHECK(fixture.Status().slowness < 1.5);
  }
}

TEST_CASE("an unsure estimate says nothing about a server's speed", "[fleet]") {
  TrackerFixture fixture;
  const std::uint64_t number =
      fixture.tracker.RecordAssignment(fixture.now, kServer, 2, {0.2, 0.1, 0});
  fixture.now += seconds(2);
  CHECK(fixture.Status().slowness == 1);
  CHECK(fixture.End(number) == seconds(2));
  CHECK(fixture.Status().slowness == 1);
}

// Servers that shed load for some seconds.
TEST_CASE("rejections count for a short time and say nothing about the speed",
          "[fleet]") {
  TrackerFixture fixture;
  for (int i = 0; i < 4; ++i) {
    fixture.End(fixture.Assign(0.2), AssignmentOutcome::kRejected);
  }
  CHECK(fixture.Status().rejected > 0.7);
  CHECK(fixture.Status().slowness == 1);
  fixture.now += seconds(4);
  CHECK(fixture.Status().rejected < 0.25);
}

TEST_CASE("a discarded request leaves its slot to the next", "[fleet]") {
  TrackerFixture fixture;
  const std::uint64_t first = fixture.Assign(0.4, 1);
  const std::uint64_t second = fixture.Assign(0.4, 1);
  fixture.tracker.Discard(kServer, first);
  CHECK(fixture.Status(1).left_seconds == Approx(0.4));
  fixture.now += milliseconds(100);
  fixture.End(second);
  CHECK(fixture.Status(1).left_seconds == 0);
  fixture.now += seconds(60);
  fixture.tracker.Tick(fixture.now);
  CHECK(fixture.Status().slowness == 1);
}

TEST_CASE("hubs of earlier builds read a rejection as inconclusive",
          "[fleet]") {
  nlohmann::json message;
  WriteOutcome(AssignmentOutcome::kRejected, message);
  CHECK(message.at("end") == AssignmentOutcome::kInconclusive);
  CHECK(ReadOutcome(message) == AssignmentOutcome::kRejected);
  for (const AssignmentOutcome outcome :
       {AssignmentOutcome::kServed, AssignmentOutcome::kFailed,
        AssignmentOutcome::kInconclusive}) {
    // As earlier builds write it.
    CHECK(ReadOutcome({{"end", outcome}}) == outcome);
  }
}

}  // namespace
}  // namespace sapphirebank
