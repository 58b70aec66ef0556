#include "sapphirebank/fleet/rollout_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sapphirebank/core/json_read.h"
#include "sapphirebank/fleet/server_announcement.h"

namespace sapphirebank {
namespace {

constexpr Duration kShortestDuration = std::chrono::seconds(1);

constexpr Duration kProposalPeriod = std::chrono::seconds(1);

// Least part of the duration that is left for the trial, and greatest part that
// is kept as reserve, of rollouts with a short duration.
constexpr int kLeastTrialPart = 3;
constexpr int kReservePart = 8;

}  // namespace

Result<void> CheckOrderFields(const StartRollout& order) {
  // The same names as in announcements of servers.
  ServerAnnouncement server;
  server.id = BackendId("any");
  server.zone = ZoneId("any");
  server.endpoint = {"127.0.0.1", 1};
  server.service = order.service;
  server.version = order.target_version;
  if (order.target_version.empty()) {
    return Fail(ErrorKind::kMalformedRequest, "the target version is empty");
  }
  if (auto checked = CheckAnnouncement(server); !checked) return checked;
  if (order.duration < kShortestDuration ||
      order.duration > kLongestReadDuration) {
    return Fail(ErrorKind::kMalformedRequest, "the duration is out of range");
  }
  return {};
}

RolloutTimeline PlanRollout(Duration duration, Duration drain,
                            const RolloutControllerSettings& settings) {
  RolloutTimeline timeline;
  timeline.complete_by =
      duration -
      std::min<Duration>(settings.completion_reserve, duration / kReservePart);
  const Duration least_trial = duration / kLeastTrialPart;
  const Duration after_change = std::max(settings.change_bound, drain);
  timeline.trial = std::max<Duration>(
      least_trial, timeline.complete_by - settings.change_time - after_change);
  timeline.latest_switch = std::max<Duration>(
      timeline.trial,
      timeline.complete_by - settings.change_time - settings.change_bound);
  return timeline;
}

std::string Describe(const RolloutEvidence& evidence) {
  return fmt::format(
      "{}: {} of {} answers of {} servers in {:.1f} s, on {} (evidence {:.1f} "
      "of {:.1f})",
      ToString(evidence.fault), evidence.bad, evidence.answers,
      evidence.servers, ToSeconds(evidence.window),
      evidence.route.empty() ? "all routes" : "route " + evidence.route,
      evidence.score, evidence.limit);
}

std::vector<Rollout> RolloutController::ApplyRecord(Instant now,
                                                    const FleetRecord& record) {
  std::vector<Rollout> changed;
  for (const auto& [service, rollout] : record.rollouts()) {
    const auto [found, is_new] = tracks_.try_emplace(service);
    Track& track = found->second;
    if (is_new || track.rollout.order != rollout.order) {
      track = Track();
      track.ordered_at = now;
    } else if (track.rollout.phase == rollout.phase) {
      continue;
    }
    track.rollout = rollout;
    track.phase_since = now;
    track.acknowledged_at.reset();
    track.proposed_at.reset();
    changed.push_back(rollout);
  }
  return changed;
}

void RolloutController::BecomeLeader(Instant now) {
  leader_since_ = now;
  for (auto& [service, track] : tracks_) {
    track.judge = RolloutJudge();
    track.acknowledged_at.reset();
    track.proposed_at.reset();
  }
}

void RolloutController::AddSamples(
    Instant now, const std::map<ServiceId, RolloutSamples>& samples) {
  for (const auto& [service, counts] : samples) {
    const auto found = tracks_.find(service);
    if (found == tracks_.end() || found->second.rollout.IsOver()) continue;
    found->second.judge.Add(now, counts);
  }
}

std::vector<RolloutStep> RolloutController::Decide(
    Instant now, const ConditionsOf& conditions) {
  std::vector<RolloutStep> steps;
  for (auto& [service, track] : tracks_) {
    if (track.rollout.IsOver()) continue;
    if (track.proposed_at && now - *track.proposed_at < kProposalPeriod) {
      continue;
    }
    const RolloutConditions state = conditions(track.rollout);
    RolloutVerdict verdict = track.judge.Judge(now, state.target_servers);
    auto next = NextPhase(now, track, state, verdict);
    if (!next) continue;
    track.proposed_at = now;
    steps.push_back({std::move(*next), std::move(verdict)});
  }
  return steps;
}

std::optional<SetRolloutPhase> RolloutController::NextPhase(
    Instant now, Track& track, const RolloutConditions& conditions,
    const RolloutVerdict& verdict) const {
  const Rollout& rollout = track.rollout;
  const auto step = [&](RolloutPhase phase, std::string reason) {
    return SetRolloutPhase{rollout.service, rollout.order, phase,
                           std::move(reason)};
  };
  if (verdict.kind == RolloutVerdict::Kind::kBad) {
    return step(RolloutPhase::kRolledBack, Describe(verdict.evidence));
  }
  const Duration drain =
      std::min(conditions.longest_timeout, settings_.max_drain);
  const RolloutTimeline timeline =
      PlanRollout(rollout.duration, drain, settings_);
  const Duration age = now - track.ordered_at;
  if (rollout.phase == RolloutPhase::kTrial) {
    if (age < timeline.trial) return std::nullopt;
    const bool has_servers = conditions.target_servers > 0;
    if (has_servers && verdict.kind == RolloutVerdict::Kind::kGood) {
      return step(RolloutPhase::kSwitch,
                  fmt::format("{} answers, none that condemn the version",
                              verdict.answers));
    }
    const bool has_observed = now - leader_since_ >= settings_.min_observation;
    if (age < timeline.latest_switch || !has_observed) return std::nullopt;
    return step(RolloutPhase::kRolledBack,
                has_servers ? fmt::format("not accepted in time: {}, of {} "
                                          "answers",
                                          verdict.lacking, verdict.answers)
                            : "no server of the version accepts requests");
  }
  if (!conditions.phase_is_acknowledged) return std::nullopt;
  if (!track.acknowledged_at) track.acknowledged_at = now;
  const Duration since = now - *track.acknowledged_at;
  // Hosts may send requests to other servers until then.
  if (since < settings_.change_bound) return std::nullopt;
  if (since < drain && age < timeline.complete_by) return std::nullopt;
  return step(RolloutPhase::kCompleted,
              "no host sends requests to servers of other versions");
}

Result<RolloutOrderKind> RolloutController::CheckOrder(
    Instant now, const StartRollout& order, const FleetRecord& record,
    const TrafficPlan* plan, const std::set<std::string>& in_use) const {
  if (plan == nullptr) {
    return Fail(ErrorKind::kNoConfiguration, "no plan has been stored yet");
  }
  const Rollout* const last = record.FindRollout(order.service);
  if (last != nullptr && last->target_version == order.target_version &&
      last->duration == order.duration) {
    const auto track = tracks_.find(order.service);
    const bool is_recent =
        track == tracks_.end() ||
        now - track->second.phase_since < settings_.repeat_window;
    if (!last->IsOver() || is_recent) return RolloutOrderKind::kRepeated;
  }
  if (plan->FindService(order.service) == nullptr) {
    return Fail(
        ErrorKind::kNotFound,
        fmt::format("service {} is not in the plan", order.service.value()));
  }
  if (last != nullptr && !last->IsOver()) {
    return Fail(ErrorKind::kRevisionConflict,
                fmt::format("a rollout of {} to {} runs", order.service.value(),
                            last->target_version));
  }
  if (record.CurrentVersion(order.service) == order.target_version ||
      in_use.contains(order.target_version)) {
    return Fail(ErrorKind::kInvalidDeclaration,
                fmt::format("{} is the current version of {}",
                            order.target_version, order.service.value()));
  }
  return RolloutOrderKind::kNew;
}

}  // namespace sapphirebank
