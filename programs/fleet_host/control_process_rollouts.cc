#include <algorithm>
#include <utility>
#include <vector>

#include "programs/fleet_host/control_process.h"
#include "sapphirebank/fleet/rollout_codec.h"
#include "sapphirebank/fleet/version_policy.h"

// Rollouts on a control host: orders and reads of operators, and the leader's
// decisions.
namespace sapphirebank {
namespace {

using nlohmann::json;

// Entry hosts report samples every half second.
constexpr Duration kRolloutCheckPeriod = std::chrono::milliseconds(100);

constexpr int kStatusClass = 100;
constexpr int kCallerMistake = 4;

}  // namespace

bool ControlProcess::ConcernsRollouts(const PendingCall& call) {
  return call.rollout_of ||
         (call.command && std::holds_alternative<StartRollout>(*call.command));
}

bool ControlProcess::IsRefusal(ErrorKind kind) {
  return AnswerFor(kind).http_status / kStatusClass == kCallerMistake;
}

bool ControlProcess::AllHubsKnowRollouts() const {
  return std::all_of(peers_.begin(), peers_.end(), [](const auto& item) {
    return !item.second.is_control || item.second.knows_rollouts;
  });
}

bool ControlProcess::LeaderKnowsRollouts() const {
  if (is_leader_) return true;
  const auto link = known_leader_ ? LinkTo(*known_leader_) : std::nullopt;
  return link && peers_.at(*link).knows_rollouts;
}

// Logs each change of a phase, on every control host, and follows it.
void ControlProcess::ApplyRollouts(Instant now) {
  for (const Rollout& rollout :
       rollouts_.ApplyRecord(now, host_.state().fleet())) {
    const bool is_start = rollout.phase == RolloutPhase::kTrial;
    log_.Write(LogLevel::kInfo, is_start ? "rollout_started" : "rollout_phase",
               {{"service", rollout.service.value()},
                {"version", rollout.target_version},
                {"order", rollout.order},
                {"phase", ToString(rollout.phase)},
                {"duration_s", ToSeconds(rollout.duration)},
                {"reason", rollout.reason},
                {"changes", host_.state().fleet().changes()},
                {"is_leader", is_leader_}});
  }
}

void ControlProcess::DecideRollouts(Instant now) {
  if (now < next_rollout_check_) return;
  next_rollout_check_ = now + kRolloutCheckPeriod;
  rollouts_.AddSamples(now, hub_.TakeRolloutSamples());
  const std::vector<RolloutStep> steps = rollouts_.Decide(
      now, [&](const Rollout& rollout) { return ConditionsOf(now, rollout); });
  for (const RolloutStep& step : steps) {
    const SetRolloutPhase& command = step.command;
    const RolloutEvidence& evidence = step.verdict.evidence;
    json worst = json::array();
    for (const BackendId& server : evidence.worst_servers) {
      worst.push_back(server.value());
    }
    log_.Write(LogLevel::kInfo, "rollout_decided",
               {{"service", command.service.value()},
                {"order", command.order},
                {"phase", ToString(command.phase)},
                {"reason", command.reason},
                {"answers", step.verdict.answers},
                {"fault", ToString(evidence.fault)},
                {"route", evidence.route},
                {"servers", evidence.servers},
                {"window_answers", evidence.answers},
                {"window_bad", evidence.bad},
                {"window_ms", ToSeconds(evidence.window) * 1e3},
                {"worst_servers", std::move(worst)},
                {"score", evidence.score},
                {"limit", evidence.limit}});
    metrics_->metrics().CountRolloutDecision(command.service, command.phase);
    // A proposal that fails is repeated by the controller of the leader then.
    host_.Propose(now, command, next_token_++);
  }
}

RolloutConditions ControlProcess::ConditionsOf(Instant now,
                                               const Rollout& rollout) const {
  RolloutConditions conditions;
  for (const auto& [id, entry] : hub_.registry().entries()) {
    const ServerAnnouncement& server = entry.state.announcement;
    if (entry.state.retired || server.service != rollout.service) continue;
    if (server.version == rollout.target_version) ++conditions.target_servers;
  }
  conditions.phase_is_acknowledged = gate_.MayAcknowledge(
      now, host_.state().fleet().RolloutChange(rollout.service),
      UngatedLease(gate_.settings()));
  if (plan_) {
    for (const PlannedRoute& route : plan_->parts().routes) {
      const bool uses_service =
          std::any_of(route.shares.begin(), route.shares.end(),
                      [&](const RouteShare& share) {
                        return share.service == rollout.service;
                      });
      if (!uses_service) continue;
      conditions.longest_timeout =
          std::max(conditions.longest_timeout, route.timeout);
    }
  }
  return conditions;
}

std::set<std::string> ControlProcess::VersionsInUse(
    const ServiceId& service) const {
  std::vector<const ServerAnnouncement*> servers;
  for (const auto& [id, entry] : hub_.registry().entries()) {
    if (entry.state.retired) continue;
    servers.push_back(&entry.state.announcement);
  }
  VersionPolicy policy;
  policy.SetRecord(VersionRecordOf(host_.state().fleet()));
  policy.SetServers(servers);
  std::set<std::string> versions;
  for (const ServerAnnouncement* server : servers) {
    if (server->service != service) continue;
    if (policy.UseOf(*server) == VersionUse::kOpen) {
      versions.insert(server->version);
    }
  }
  return versions;
}

// Reads the committed state behind a round of a majority.
void ControlProcess::ReadRollout(const ServiceId& service, Callback callback) {
  if (!is_leader_) {
    callback(
        Fail(ErrorKind::kNotLeader, "this control host is not the leader"));
    return;
  }
  const RequestToken token = next_token_++;
  completions_[token] = [this, service, callback = std::move(callback)](
                            const Completion& completion) {
    if (!completion.result) {
      callback(tl::unexpected(completion.result.error()));
      return;
    }
    const Rollout* rollout = host_.state().fleet().FindRollout(service);
    if (rollout == nullptr) {
      callback(Fail(ErrorKind::kNotFound,
                    "service " + service.value() + " had no rollout"));
      return;
    }
    callback(RolloutToJson(*rollout).dump());
  };
  host_.Read(Now(), token);
}

// Decides on an order behind a round of a majority: by an outdated record one
// that was accepted could be refused when it is repeated.
void ControlProcess::OrderRollout(const StartRollout& order,
                                  Callback callback) {
  const RequestToken token = next_token_++;
  completions_[token] = [this, order, callback = std::move(callback)](
                            const Completion& completion) {
    if (!completion.result) {
      callback(tl::unexpected(completion.result.error()));
      return;
    }
    CheckAndStartRollout(order, callback);
  };
  host_.Read(Now(), token);
}

void ControlProcess::CheckAndStartRollout(StartRollout order,
                                          const Callback& callback) {
  const Instant now = Now();
  const auto refuse = [&](Error error) {
    log_.Write(LogLevel::kInfo, "rollout_refused",
               {{"service", order.service.value()},
                {"version", order.target_version},
                {"duration_s", ToSeconds(order.duration)},
                {"kind", AnswerFor(error.kind).name},
                {"cause", error.detail}});
    metrics_->metrics().CountRolloutRefusal(error.kind);
    callback(tl::unexpected(std::move(error)));
  };
  if (settings_.rollout_share <= 0) {
    refuse(Error(ErrorKind::kNotFound, "no rollouts are configured"));
    return;
  }
  const FleetRecord& record = host_.state().fleet();
  const auto kind = rollouts_.CheckOrder(now, order, record, plan_.get(),
                                         VersionsInUse(order.service));
  if (!kind) {
    refuse(kind.error());
    return;
  }
  if (*kind == RolloutOrderKind::kRepeated) {
    AcknowledgeWhenSafe(order, callback);
    return;
  }
  if (!AllHubsKnowRollouts()) {
    refuse(Error(ErrorKind::kNoQuorum,
                 "a control host has a build without rollouts"));
    return;
  }
  const Rollout* const last = record.FindRollout(order.service);
  order.follows = last == nullptr ? 0 : last->order;
  const RequestToken token = next_token_++;
  completions_[token] = [this, order, callback](const Completion& completion) {
    if (!completion.result) {
      callback(tl::unexpected(completion.result.error()));
    } else if (!AppliedChange(order)) {
      callback(Fail(ErrorKind::kRevisionConflict,
                    "another rollout of the service was ordered first"));
    } else {
      AcknowledgeWhenSafe(order, callback);
    }
  };
  host_.Propose(now, order, token);
  FlushSoon(true);
}

void ControlProcess::UpdateRolloutMetrics() {
  for (const auto& [service, rollout] : host_.state().fleet().rollouts()) {
    metrics_->metrics().SetRolloutPhase(service, rollout.phase);
  }
}

}  // namespace sapphirebank
