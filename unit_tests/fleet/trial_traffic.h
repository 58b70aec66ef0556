#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/rollout_samples.h"

namespace sapphirebank {

// What a fault does to the answers of one server: shares that fail and that
// take `slow_factor` times as long.
struct AnswerFault {
  double failing = 0;
  double slow = 0;
  double slow_factor = 8;
};

// Random answers of a service's servers during the trial of a new version.
struct TrialTraffic {
  struct Route {
    std::string name;
    double weight = 1;
    double median_ms = 1;
  };

  double rate = 400;   // Requests per second of the service.
  double share = 0.1;  // Of the new version.
  std::size_t target_servers = 40;
  std::vector<Route> routes = {
      {"read", 0.55, 90}, {"post", 0.4, 290}, {"upload", 0.05, 260}};
  double base_failing = 0.012;
  double spread = 0.4;  // Standard deviation of the logarithm of durations.
  // Of the new version, by server, route and seconds from the start.
  std::function<AnswerFault(std::size_t, const std::string&, double)> target;
  AnswerFault others;

  // Returns the answers of `length` seconds from `at` on.
  RolloutSamples Answers(Random& random, double at, double length) const {
    RolloutSamples samples;
    const double mean = rate * length;
    const auto requests = static_cast<std::size_t>(
        mean + random.Unit());  // Fractions add up over the steps.
    for (std::size_t i = 0; i < requests; ++i) {
      const Route& route = PickRoute(random);
      if (!random.Chance(share)) {
        AddAnswer(random, route, others, samples.others[route.name]);
        continue;
      }
      const std::size_t server = random.Below(target_servers);
      const AnswerFault fault =
          target ? target(server, route.name, at) : AnswerFault();
      AddAnswer(random, route, fault,
                samples.target[BackendId("new-" + std::to_string(server))]
                              [route.name]);
    }
    return samples;
  }

 private:
  const Route& PickRoute(Random& random) const {
    double left = random.Unit();
    for (const Route& route : routes) {
      left -= route.weight;
      if (left < 0) return route;
    }
    return routes.back();
  }

  void AddAnswer(Random& random, const Route& route, const AnswerFault& fault,
                 AttemptCounts& counts) const {
    if (random.Chance(std::max(base_failing, fault.failing))) {
      ++counts.failed;
      return;
    }
    // Box-Muller transform.
    constexpr double kTau = 6.283185307179586;
    const double normal = std::sqrt(-2 * std::log(1 - random.Unit())) *
                          std::cos(kTau * random.Unit());
    double ms = route.median_ms * std::exp(spread * normal);
    if (random.Chance(fault.slow)) ms *= fault.slow_factor;
    std::size_t index = 0;
    double bound = AttemptCounts::kFirstBoundMs;
    while (ms > bound && index + 1 < counts.answered.size()) {
      bound *= 2;
      ++index;
    }
    ++counts.answered[index];
  }
};

}  // namespace sapphirebank
