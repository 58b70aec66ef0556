#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/fleet_record.h"
#include "sapphirebank/fleet/rollout.h"
#include "sapphirebank/fleet/rollout_judge.h"
#include "sapphirebank/fleet/rollout_samples.h"
#include "sapphirebank/fleet/traffic_plan.h"

namespace sapphirebank {

struct RolloutControllerSettings {
  // Time from the acknowledgement of a change until no host acts without it.
  Duration change_bound = std::chrono::milliseconds(1700);
  // Time until a change may be acknowledged while nothing is lost.
  Duration change_time = std::chrono::milliseconds(500);
  // Time from the end of a rollout for which the same order is a repeated one.
  Duration repeat_window = std::chrono::seconds(8);
  // Time left for operators to learn of the completion.
  Duration completion_reserve = std::chrono::seconds(1);
  // Maximum time for which requests in flight at other servers are waited for.
  Duration max_drain = std::chrono::milliseconds(2500);
  // A leader judges a rollout for this time before it gives it up for lack of
  // answers.
  Duration min_observation = std::chrono::seconds(3);
};

// By when the steps of a rollout are due, as times since its order.
struct RolloutTimeline {
  Duration trial{};          // End of the trial of an accepted version.
  Duration latest_switch{};  // Until then a version may still be accepted.
  Duration complete_by{};
};

// Plans a rollout of `duration` such that the trial is as long as the rest
// allows, as faults may show late. `drain` is the time for requests in flight.
RolloutTimeline PlanRollout(Duration duration, Duration drain,
                            const RolloutControllerSettings& settings);

// What a decision about a running rollout depends on besides its answers.
struct RolloutConditions {
  // Known servers of the target version that accept requests.
  std::size_t target_servers = 0;
  // The change to the present phase may be acknowledged: no host acts without
  // it when the change bound has passed.
  bool phase_is_acknowledged = false;
  // Longest timeout of the service's routes.
  Duration longest_timeout{};
};

// A change of phase that is due, and the verdict that it follows from.
struct RolloutStep {
  SetRolloutPhase command;
  RolloutVerdict verdict;
};

// Checks what an order says by itself: names that all hosts of the fleet can
// read, and a duration between one second and one day. Fails with
// kMalformedRequest and names the field.
Result<void> CheckOrderFields(const StartRollout& order);

// Whether a valid order starts a rollout.
enum class RolloutOrderKind { kNew, kRepeated };

// Decides which phases follow in the running rollouts. Each control host keeps
// one, so that the next leader knows when a rollout was ordered; only the
// leader judges answers and decides.
//
// The order is as old as this process knows it: after a restart the duration
// counts from there.
class RolloutController {
 public:
  using ConditionsOf = std::function<RolloutConditions(const Rollout&)>;

  explicit RolloutController(RolloutControllerSettings settings = {})
      : settings_(settings) {}

  // Applies a change of the record. Returns the rollouts whose phase has
  // changed or that are new.
  std::vector<Rollout> ApplyRecord(Instant now, const FleetRecord& record);

  // Records that this host began to lead. It judges from new answers only.
  void BecomeLeader(Instant now);

  // Leader only.
  void AddSamples(Instant now,
                  const std::map<ServiceId, RolloutSamples>& samples);

  // Leader only: returns the phases to commit. They are returned again until
  // the record has them, at most once a second.
  std::vector<RolloutStep> Decide(Instant now, const ConditionsOf& conditions);

  // Checks an order against the record, the plan, which may be null, and the
  // versions whose servers get all requests of the service at present. Fails
  // with kNoConfiguration without a plan, kNotFound for an unknown service,
  // kRevisionConflict beside another rollout, and kInvalidDeclaration for a
  // version in use.
  Result<RolloutOrderKind> CheckOrder(
      Instant now, const StartRollout& order, const FleetRecord& record,
      const TrafficPlan* plan, const std::set<std::string>& in_use) const;

 private:
  struct Track {
    Rollout rollout;
    Instant ordered_at;
    Instant phase_since;
    // Leader only.
    RolloutJudge judge;
    std::optional<Instant> acknowledged_at;  // Of the present phase.
    std::optional<Instant> proposed_at;      // Of the next phase.
  };

  // Returns the phase that is due, with its reason.
  std::optional<SetRolloutPhase> NextPhase(Instant now, Track& track,
                                           const RolloutConditions& conditions,
                                           const RolloutVerdict& verdict) const;

  RolloutControllerSettings settings_;
  Instant leader_since_;
  std::map<ServiceId, Track> tracks_;
};

// Returns the evidence in words, for operators.
std::string Describe(const RolloutEvidence& evidence);

}  // namespace sapphirebank
