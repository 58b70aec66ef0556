#include <optional>
#include <utility>

#include "sapphirebank/fleet/fleet_hub.h"
#include "sapphirebank/fleet/rollout_sampler.h"

// What a hub does for rollouts: it limits versions as the record says, grants
// the version in trial its share, and adds up what hosts saw.
namespace sapphirebank {

bool FleetHub::LimitsVersions(const FleetRecord& record) const {
  return settings_.rollout_share > 0 || !record.rollouts().empty();
}

void FleetHub::ApplyRollouts(const FleetRecord& record) {
  rollout_share_.SetRollouts(record.rollouts(), hubs_.size());
  if (!LimitsVersions(record)) return;
  VersionRecord versions = VersionRecordOf(record);
  if (limits_versions_ && versions == versions_) return;
  limits_versions_ = true;
  // Samples of an earlier rollout say nothing of the next one.
  for (const auto& [service, rollout] : versions.rollouts) {
    const auto before = versions_.rollouts.find(service);
    if (before != versions_.rollouts.end() &&
        before->second.order == rollout.order) {
      continue;
    }
    pending_report_.rollout_samples.erase(service);
    rollout_samples_.erase(service);
  }
  versions_ = std::move(versions);
  dispatcher_.SetVersions(versions_);
  ++shared_state_version_;
}

std::optional<DispatchChoice> FleetHub::AssignByVersion(
    Instant now, const AssignmentId& id, const DispatchQuery& query) {
  std::optional<DispatchChoice> choice;
  // What failed may have been the new version, so retries go to the others.
  if (!query.is_retry &&
      rollout_share_.CanGrant(now, query.service, query.route)) {
    choice =
        dispatcher_.AssignTrial(now, id, query, registry_, zones_out_, *plan_);
  }
  const bool is_granted = choice.has_value();
  if (!is_granted) {
    choice = dispatcher_.Assign(now, id, query, registry_, zones_out_, *plan_);
  }
  if (choice) {
    rollout_share_.CountRequest(query.service, query.route, is_granted);
  }
  return choice;
}

// Adds up what hosts saw. The authority leaves out servers of a version that is
// not the one of the rollout, which reports from before its order may name.
void FleetHub::AggregateSamples(const EntryReport& report) {
  for (const auto& [service, samples] : report.rollout_samples) {
    if (!is_leader_) {
      AddSamples(pending_report_.rollout_samples[service], samples);
      continue;
    }
    const auto rollout = versions_.rollouts.find(service);
    if (rollout == versions_.rollouts.end() || rollout->second.IsOver()) {
      continue;
    }
    RolloutSamples known = samples;
    std::erase_if(known.target, [&](const auto& item) {
      const auto server = registry_.entries().find(item.first);
      return server == registry_.entries().end() ||
             server->second.state.announcement.version !=
                 rollout->second.target_version;
    });
    if (!known.empty()) AddSamples(rollout_samples_[service], known);
  }
}

}  // namespace sapphirebank
