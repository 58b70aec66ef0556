#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

struct WorkEstimatorSettings {
  // Mean and mean deviation, as fractions of the latency objective, before the
  // service has answered anything. Their upper bound is 0.6 of the objective.
  double prior_mean_fraction = 0.24;
  double prior_deviation_fraction = 0.144;
  // Answers after which a kind of request counts as much as the kind above it.
  double prior_answers = 4;
  // Routes that are remembered, over all services. The one that was answered
  // longest ago is forgotten for a new one.
  std::size_t max_routes = 1024;
};

// Time for which a request is likely to occupy a slot of a backend server of
// usual speed.
struct WorkEstimate {
  double mean_seconds = 0;
  // Mean deviation.
  double deviation_seconds = 0;
  // Part of the mean, 0 to 1, that was learned from answers of the route.
  double confidence = 0;

  // Returns the time within which about 19 of 20 requests end.
  Duration UpperBound() const;
};

// What tells requests of different work apart. Names the route until the end of
// the call.
struct WorkKind {
  const ServiceId& service;
  std::string_view route;
  std::uint64_t body_bytes = 0;
};

// Learns how much work requests are by service, route and size of the body, as
// smoothed mean and mean deviation (Jacobson, "Congestion Avoidance and
// Control", 1988; RFC 6298). A kind with few answers is drawn to the kind above
// it, and a service without any to its latency objective (shrinkage: Efron and
// Morris, "Stein's Paradox in Statistics", 1977).
class WorkEstimator {
 public:
  explicit WorkEstimator(WorkEstimatorSettings settings)
      : settings_(settings) {}

  // Returns the work that a request is likely to be.
  WorkEstimate Estimate(const WorkKind& kind, Duration latency_objective) const;

  // Adds the work of a request that was served: the time for which it occupied
  // a slot, for a server of usual speed.
  void Record(const WorkKind& kind, Duration work);

  // Returns the mean work of a service's requests, or nothing before the first.
  std::optional<Duration> MeanOf(const ServiceId& service) const;

  // Returns the number of routes that are remembered.
  std::size_t route_count() const { return route_count_; }

 private:
  // Bodies by size in powers of four from 1 KiB on.
  static constexpr std::size_t kSizeClasses = 8;

  struct Average {
    double mean_seconds = 0;
    double deviation_seconds = 0;
    std::uint64_t answers = 0;

    void Record(double seconds);
    // Returns the weight of this average beside that of the kind above.
    double Weight(double prior_answers) const;
    void Refine(double prior_answers, WorkEstimate& estimate) const;
  };
  struct Route {
    Average average;
    std::array<Average, kSizeClasses> sizes;
    std::uint64_t recorded_at = 0;  // Number of the last answer.
  };
  struct Service {
    Average average;
    std::map<std::string, Route, std::less<>> routes;
  };

  static std::size_t SizeClass(std::uint64_t body_bytes);
  void ForgetOldestRoute();

  WorkEstimatorSettings settings_;
  std::map<ServiceId, Service> services_;
  std::size_t route_count_ = 0;
  std::uint64_t recorded_ = 0;
};

}  // namespace sapphirebank
