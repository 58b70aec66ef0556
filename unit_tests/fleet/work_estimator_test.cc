#include "sapphirebank/fleet/work_estimator.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("desk");

double MeanOf(const WorkEstimator& estimator, std::string_view route,
              std::uint64_t body_bytes = 0) {
  return estimator.Estimate({kService, route, body_bytes}, seconds(1))
      .mean_seconds;
}

TEST_CASE("work is a fraction of the latency objective before any answer",
          "[fleet]") {
  const WorkEstimator estimator{WorkEstimatorSettings()};
  const WorkEstimate estimate =
      estimator.Estimate({kService, "lookup"}, seconds(2));
  CHECK(estimate.mean_seconds == Approx(0.48));
  CHECK(ToSeconds(estimate.UpperBound()) == Approx(1.2));
  CHECK(estimate.confidence == 0);
  CHECK_FALSE(estimator.MeanOf(kService));
}

TEST_CASE("routes of one service are told apart", "[fleet]") {
  WorkEstimator estimator{WorkEstimatorSettings()};
  for (int i = 0; i < 100; ++i) {
    estimator.Record({kService, "lookup"}, milliseconds(60));
    estimator.Record({kService, "export"}, milliseconds(1900));
  }
  CHECK(MeanOf(estimator, "lookup") == Approx(0.06).margin(0.02));
  CHECK(MeanOf(estimator, "export") == Approx(1.9).margin(0.1));
}

// A new route: the service's mean first, its own after a few answers.
TEST_CASE("a new route is drawn to the mean of its service", "[fleet]") {
  WorkEstimator estimator{WorkEstimatorSettings()};
  for (int i = 0; i < 200; ++i) {
    estimator.Record({kService, "lookup"}, milliseconds(200));
  }
  CHECK(MeanOf(estimator, "new") == Approx(0.2).margin(0.01));
  for (int i = 0; i < 8; ++i) {
    estimator.Record({kService, "new"}, milliseconds(1000));
  }
  CHECK(MeanOf(estimator, "new") > 0.8);
  CHECK(MeanOf(estimator, "lookup") == Approx(0.2).margin(0.03));
}

TEST_CASE("work is learned by the size of the body", "[fleet]") {
  WorkEstimator estimator{WorkEstimatorSettings()};
  for (int i = 0; i < 100; ++i) {
    estimator.Record({kService, "upload", 2'000}, milliseconds(50));
    estimator.Record({kService, "upload", 2'000'000}, milliseconds(1500));
  }
  CHECK(MeanOf(estimator, "upload", 3'000) < 0.1);
  CHECK(MeanOf(estimator, "upload", 1'500'000) > 1.4);
  // Larger than any before: what is known of the route.
  CHECK(MeanOf(estimator, "upload", 100'000'000) ==
        Approx(MeanOf(estimator, "upload", 20'000)).margin(0.01));
}

TEST_CASE("a change of a route's work is followed", "[fleet]") {
  WorkEstimator estimator{WorkEstimatorSettings()};
  for (int i = 0; i < 1000; ++i) {
    estimator.Record({kService, "lookup"}, milliseconds(100));
  }
  for (int i = 0; i < 64; ++i) {
    estimator.Record({kService, "lookup"}, milliseconds(400));
  }
  CHECK(MeanOf(estimator, "lookup") > 0.38);
}

TEST_CASE("the number of remembered routes is bounded", "[fleet]") {
  WorkEstimatorSettings settings;
  settings.max_routes = 3;
  WorkEstimator estimator(settings);
  const ServiceId other("other");
  estimator.Record({other, "first"}, seconds(1));
  for (const char* route : {"a", "b", "a", "c"}) {
    estimator.Record({kService, route}, seconds(1));
  }
  CHECK(estimator.route_count() == 3);
  CHECK_FALSE(estimator.MeanOf(other));
  // "b" was answered longest ago.
  estimator.Record({kService, "d"}, seconds(1));
  CHECK(estimator.Estimate({kService, "a"}, seconds(1)).confidence > 0);
  CHECK(estimator.Estimate({kService, "b"}, seconds(1)).confidence == 0);
}

}  // namespace
}  // namespace sapphirebank
