#include "sapphirebank/fleet/work_estimator.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <cmath>

namespace sapphirebank {
namespace {

// Smoothing factors. Smaller than those of RFC 6298, because service times vary
// more from one request to the next than round trips do.
constexpr double kMeanGain = 1.0 / 16;
constexpr double kDeviationGain = 1.0 / 8;

// About one in twenty requests takes longer than the mean plus this many mean
// deviations.
constexpr double kDeviations = 2.5;

}  // namespace

Duration WorkEstimate::UpperBound() const {
  return FromSeconds(mean_seconds + kDeviations * deviation_seconds);
}

// The first answers count alike, so that no single one sets the mean.
void WorkEstimator::Average::Record(double seconds) {
  ++answers;
  if (answers == 1) {
    mean_seconds = seconds;
    deviation_seconds = seconds / 2;
    return;
  }
  const double error = seconds - mean_seconds;
  const double share = 1.0 / static_cast<double>(answers);
  mean_seconds += std::max(kMeanGain, share) * error;
  deviation_seconds +=
      std::max(kDeviationGain, share) * (std::abs(error) - deviation_seconds);
}

double WorkEstimator::Average::Weight(double prior_answers) const {
  const auto count = static_cast<double>(answers);
  return count / (count + prior_answers);
}

void WorkEstimator::Average::Refine(double prior_answers,
                                    WorkEstimate& estimate) const {
  const double weight = Weight(prior_answers);
  estimate.mean_seconds += weight * (mean_seconds - estimate.mean_seconds);
  estimate.deviation_seconds +=
      weight * (deviation_seconds - estimate.deviation_seconds);
}

std::size_t WorkEstimator::SizeClass(std::uint64_t body_bytes) {
  const auto kibibyte_bits =
      static_cast<std::size_t>(std::bit_width(body_bytes >> 10U));
  return std::min((kibibyte_bits + 1) / 2, kSizeClasses - 1);
}

WorkEstimate WorkEstimator::Estimate(const WorkKind& kind,
                                     Duration latency_objective) const {
  const double objective = ToSeconds(latency_objective);
  WorkEstimate estimate;
  estimate.mean_seconds = objective * settings_.prior_mean_fraction;
  estimate.deviation_seconds = objective * settings_.prior_deviation_fraction;
  const auto service = services_.find(kind.service);
  if (service == services_.end()) return estimate;
  service->second.average.Refine(settings_.prior_answers, estimate);
  const auto route = service->second.routes.find(kind.route);
  if (route == service->second.routes.end()) return estimate;
  route->second.average.Refine(settings_.prior_answers, estimate);
  route->second.sizes[SizeClass(kind.body_bytes)].Refine(
      settings_.prior_answers, estimate);
  estimate.confidence = route->second.average.Weight(settings_.prior_answers);
  return estimate;
}

void WorkEstimator::Record(const WorkKind& kind, Duration work) {
  const double seconds = std::max(ToSeconds(work), 0.0);
  const auto known = services_.find(kind.service);
  if (known == services_.end() || !known->second.routes.contains(kind.route)) {
    if (route_count_ >= settings_.max_routes) ForgetOldestRoute();
    ++route_count_;
  }
  Service& service = services_[kind.service];
  service.average.Record(seconds);
  auto route = service.routes.find(kind.route);
  if (route == service.routes.end()) {
    route = service.routes.try_emplace(std::string(kind.route)).first;
  }
  route->second.recorded_at = ++recorded_;
  route->second.average.Record(seconds);
  route->second.sizes[SizeClass(kind.body_bytes)].Record(seconds);
}

void WorkEstimator::ForgetOldestRoute() {
  auto oldest_service = services_.end();
  std::map<std::string, Route, std::less<>>::iterator oldest;
  for (auto service = services_.begin(); service != services_.end();
       ++service) {
    auto& routes = service->second.routes;
    for (auto route = routes.begin(); route != routes.end(); ++route) {
      if (oldest_service != services_.end() &&
          oldest->second.recorded_at <= route->second.recorded_at) {
        continue;
      }
      oldest_service = service;
      oldest = route;
    }
  }
  assert(oldest_service != services_.end());
  oldest_service->second.routes.erase(oldest);
  if (oldest_service->second.routes.empty()) services_.erase(oldest_service);
  --route_count_;
}

std::optional<Duration> WorkEstimator::MeanOf(const ServiceId& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  return FromSeconds(found->second.average.mean_seconds);
}

}  // namespace sapphirebank
