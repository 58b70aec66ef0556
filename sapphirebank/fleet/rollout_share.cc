#include "sapphirebank/fleet/rollout_share.h"

#include <algorithm>

namespace sapphirebank {
namespace {

// Credit that is left for the routes that the new version has had least of.
constexpr double kReservedCredit = 0.5;

bool IsInTrial(const std::map<ServiceId, Rollout>& rollouts,
               const ServiceId& service) {
  const auto found = rollouts.find(service);
  return found != rollouts.end() && found->second.phase == RolloutPhase::kTrial;
}

}  // namespace

void RolloutShare::SetRollouts(const std::map<ServiceId, Rollout>& rollouts,
                               std::size_t hub_count) {
  const bool is_first = !std::exchange(has_rollouts_, true);
  if (settings_.share <= 0) return;
  std::erase_if(trials_, [&](const auto& item) {
    return !IsInTrial(rollouts, item.first);
  });
  for (const auto& [service, rollout] : rollouts) {
    if (rollout.phase != RolloutPhase::kTrial) continue;
    Trial& trial = trials_[service];
    if (trial.order == rollout.order) continue;
    trial = Trial();
    trial.order = rollout.order;
    const auto hubs = static_cast<double>(std::max<std::size_t>(hub_count, 1));
    if (!is_first) trial.credit = std::min(1.0, settings_.fleet_start / hubs);
  }
}

void RolloutShare::RecordConfirmation(Instant as_of) {
  confirmed_as_of_ = std::max(confirmed_as_of_, as_of);
}

bool RolloutShare::CanGrant(Instant now, const ServiceId& service,
                            const std::string& route) {
  const auto found = trials_.find(service);
  if (found == trials_.end()) return false;
  Trial& trial = found->second;
  const Duration age = now - confirmed_as_of_;
  const bool is_confirmed = age < settings_.max_confirmation_age;
  if (is_confirmed != trial.is_granting) {
    trial.is_granting = is_confirmed;
    changes_.push_back({service, trial.order, is_confirmed, age});
  }
  if (!is_confirmed || trial.credit < 1) return false;
  const RouteCounts& counts = trial.routes[route];
  const bool is_preferred =
      counts.granted * trial.routes.size() <= trial.granted &&
      static_cast<double>(counts.granted) <
          1 + settings_.max_route_share * static_cast<double>(counts.requests);
  return is_preferred || trial.credit >= 1 + kReservedCredit;
}

void RolloutShare::CountRequest(const ServiceId& service,
                                const std::string& route, bool granted) {
  const auto found = trials_.find(service);
  if (found == trials_.end()) return;
  Trial& trial = found->second;
  RouteCounts& counts = trial.routes[route];
  ++counts.requests;
  trial.credit = std::min(trial.credit + settings_.share, settings_.max_credit);
  if (!granted) return;
  trial.credit -= 1;
  ++counts.granted;
  ++trial.granted;
}

}  // namespace sapphirebank
