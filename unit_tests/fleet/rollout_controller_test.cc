#include "sapphirebank/fleet/rollout_controller.h"

#include <catch2/catch.hpp>

#include "unit_tests/fleet/fleet_fixtures.h"
#include "unit_tests/fleet/trial_traffic.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kDesk("desk");
constexpr Duration kStep = milliseconds(500);

// The control hosts of one rollout: each follows the same record, and one of
// them leads.
class RolloutHosts {
 public:
  explicit RolloutHosts(Duration duration = seconds(12)) {
    record_.Apply(StartRollout{kDesk, "v2", duration});
    for (RolloutController& host : hosts_) host.ApplyRecord(now_, record_);
    Lead(0);
  }

  void Lead(std::size_t host) {
    leader_ = host;
    hosts_[leader_].BecomeLeader(now_);
  }

  // Passes half a second with answers.
  void Step() {
    now_ += kStep;
    const double at = ToSeconds(now_ - start_);
    const RolloutPhase phase = rollout().phase;
    traffic.share = phase == RolloutPhase::kTrial ? 0.1 : 1;
    if (conditions.target_servers > 0) {
      hosts_[leader_].AddSamples(
          now_, {{kDesk, traffic.Answers(random_, at, ToSeconds(kStep))}});
    }
    for (const RolloutStep& step : Decide()) Commit(step.command);
  }

  std::vector<RolloutStep> Decide() {
    return hosts_[leader_].Decide(now_,
                                  [&](const Rollout&) { return conditions; });
  }

  void Commit(const SetRolloutPhase& step) {
    record_.Apply(step);
    for (RolloutController& host : hosts_) host.ApplyRecord(now_, record_);
  }

  // Returns the time since the order.
  Duration PassUntil(RolloutPhase phase) {
    while (rollout().phase != phase && now_ - start_ < seconds(60)) Step();
    return now_ - start_;
  }

  const Rollout& rollout() const { return *record_.FindRollout(kDesk); }
  const FleetRecord& record() const { return record_; }
  RolloutController& host(std::size_t index) { return hosts_[index]; }
  Instant now() const { return now_; }

  TrialTraffic traffic;
  RolloutConditions conditions = {40, true, seconds(3)};

 private:
  const Instant start_ = Instant(seconds(1000));
  Instant now_ = start_;
  Random random_{11};
  FleetRecord record_;
  std::vector<RolloutController> hosts_{3};
  std::size_t leader_ = 0;
};

void SetFailing(TrialTraffic& traffic, double from = 0) {
  traffic.target = [from](auto, auto&, double at) {
    return AnswerFault{at >= from ? 0.5 : 0};
  };
}

TEST_CASE("a good version is completed within its duration", "[rollout]") {
  for (const Duration duration : {seconds(9), seconds(12), seconds(60)}) {
    RolloutHosts hosts(duration);
    const Duration switched = hosts.PassUntil(RolloutPhase::kSwitch);
    CHECK(switched <= duration - seconds(3));
    // The trial is long, as some faults show late.
    CHECK(switched >= duration - seconds(6));
    CHECK(hosts.PassUntil(RolloutPhase::kCompleted) <= duration - kStep);
    CHECK(hosts.record().CurrentVersion(kDesk) == "v2");
  }
}

TEST_CASE("a bad version is rolled back at once, also when it fails late",
          "[rollout]") {
  RolloutHosts hosts;
  SetFailing(hosts.traffic, 4);
  CHECK(hosts.PassUntil(RolloutPhase::kRolledBack) <= seconds(7));
  CHECK(hosts.rollout().reason.find("failures") != std::string::npos);
}

TEST_CASE("a version that fails under full load is rolled back in the switch",
          "[rollout]") {
  RolloutHosts hosts;
  const Duration switched = hosts.PassUntil(RolloutPhase::kSwitch);
  SetFailing(hosts.traffic);
  CHECK(hosts.PassUntil(RolloutPhase::kRolledBack) <= switched + seconds(1));
}

TEST_CASE("a version without answers or servers is rolled back in time",
          "[rollout]") {
  RolloutHosts hosts;
  const bool has_servers = GENERATE(true, false);
  hosts.conditions.target_servers = has_servers ? 40 : 0;
  hosts.traffic.rate = has_servers ? 1 : 400;
  CHECK(hosts.PassUntil(RolloutPhase::kRolledBack) <= seconds(10));
  CHECK(hosts.record().CurrentVersion(kDesk).empty());
}

// A host that is cut off acts on its view for a lease.
TEST_CASE("other servers may stop only when no host sends requests to them",
          "[rollout]") {
  RolloutHosts hosts;
  hosts.PassUntil(RolloutPhase::kSwitch);
  hosts.conditions.phase_is_acknowledged = false;
  for (int i = 0; i < 20; ++i) hosts.Step();
  REQUIRE(hosts.rollout().phase == RolloutPhase::kSwitch);
  hosts.conditions.phase_is_acknowledged = true;
  const Instant acknowledged = hosts.now() + kStep;
  hosts.PassUntil(RolloutPhase::kCompleted);
  CHECK(hosts.now() - acknowledged >= RolloutControllerSettings().change_bound);
}

TEST_CASE("the next leader goes on where the last one stopped", "[rollout]") {
  SECTION("early in the trial") {
    RolloutHosts hosts;
    for (int i = 0; i < 6; ++i) hosts.Step();
    hosts.Lead(1);
    CHECK(hosts.PassUntil(RolloutPhase::kCompleted) <= seconds(12));
  }
  SECTION("when the trial is over") {
    RolloutHosts hosts;
    for (int i = 0; i < 15; ++i) hosts.Step();
    REQUIRE(hosts.rollout().phase == RolloutPhase::kTrial);
    hosts.Lead(1);
    // It has no answers yet, and does not take that for a verdict.
    CHECK(hosts.PassUntil(RolloutPhase::kSwitch) <= seconds(12));
    hosts.PassUntil(RolloutPhase::kCompleted);
  }
  SECTION("in the switch") {
    RolloutHosts hosts;
    const Duration switched = hosts.PassUntil(RolloutPhase::kSwitch);
    hosts.Lead(2);
    CHECK(hosts.Decide().empty());
    const Duration completed = hosts.PassUntil(RolloutPhase::kCompleted);
    CHECK(completed - switched >= RolloutControllerSettings().change_bound);
  }
  SECTION("with a bad version") {
    RolloutHosts hosts;
    SetFailing(hosts.traffic, 3);
    for (int i = 0; i < 6; ++i) hosts.Step();
    hosts.Lead(1);
    CHECK(hosts.PassUntil(RolloutPhase::kRolledBack) <= seconds(7));
  }
  SECTION("after the end") {
    RolloutHosts hosts;
    hosts.PassUntil(RolloutPhase::kCompleted);
    hosts.Lead(1);
    for (int i = 0; i < 40; ++i) hosts.Step();
    CHECK(hosts.rollout().phase == RolloutPhase::kCompleted);
  }
}

TEST_CASE("a stale leader's phase changes nothing", "[rollout]") {
  RolloutHosts hosts;
  hosts.PassUntil(RolloutPhase::kSwitch);
  const SetRolloutPhase late{kDesk, hosts.rollout().order,
                             RolloutPhase::kCompleted, "stale"};
  SetFailing(hosts.traffic);
  hosts.Lead(1);
  hosts.PassUntil(RolloutPhase::kRolledBack);
  hosts.Commit(late);
  CHECK(hosts.rollout().phase == RolloutPhase::kRolledBack);
}

// A proposal is lost with the leadership.
TEST_CASE("a phase that was not committed is proposed again", "[rollout]") {
  RolloutHosts hosts;
  SetFailing(hosts.traffic);
  std::vector<RolloutStep> steps;
  for (double at = 0.5; steps.empty() && at < 5; at += 0.5) {
    Random random(3);
    hosts.host(0).AddSamples(hosts.now(),
                             {{kDesk, hosts.traffic.Answers(random, at, 0.5)}});
    steps = hosts.Decide();
  }
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].command.phase == RolloutPhase::kRolledBack);
  CHECK(steps[0].verdict.kind == RolloutVerdict::Kind::kBad);
  CHECK(hosts.Decide().empty());
  hosts.conditions.target_servers = 0;  // No further answers.
  hosts.Step();
  CHECK(hosts.rollout().phase == RolloutPhase::kTrial);
  hosts.Step();
  CHECK(hosts.rollout().phase == RolloutPhase::kRolledBack);
}

TEST_CASE("rollout orders are told apart and checked", "[rollout]") {
  const auto plan = MakePlan(MakePlanParts());
  FleetRecord record;
  RolloutController controller;
  Instant now(seconds(1000));
  const auto check = [&](const char* service, const char* version,
                         Duration duration,
                         const std::set<std::string>& versions = {"v1"}) {
    return controller.CheckOrder(
        now, StartRollout{ServiceId(service), version, duration}, record,
        plan.get(), versions);
  };
  const auto kind = [&](auto result) { return result.error().kind; };

  CHECK(kind(controller.CheckOrder(now, StartRollout{kDesk, "v2", seconds(12)},
                                   record, nullptr, {})) ==
        ErrorKind::kNoConfiguration);
  CHECK(kind(check("docs", "v2", seconds(12))) == ErrorKind::kNotFound);
  CHECK(kind(check("desk", "v1", seconds(12))) ==
        ErrorKind::kInvalidDeclaration);
  // Its servers may start before or after the order.
  CHECK(check("desk", "v2", seconds(12)) == RolloutOrderKind::kNew);
  CHECK(check("desk", "v2", seconds(12), {}) == RolloutOrderKind::kNew);

  record.Apply(StartRollout{kDesk, "v2", seconds(12)});
  controller.ApplyRecord(now, record);
  CHECK(check("desk", "v2", seconds(12)) == RolloutOrderKind::kRepeated);
  CHECK(kind(check("desk", "v3", seconds(12))) == ErrorKind::kRevisionConflict);
  CHECK(kind(check("desk", "v2", seconds(9))) == ErrorKind::kRevisionConflict);

  record.Apply(SetRolloutPhase{kDesk, 1, RolloutPhase::kRolledBack, "bad"});
  controller.ApplyRecord(now, record);
  // Its acknowledgement may have been lost.
  CHECK(check("desk", "v2", seconds(12)) == RolloutOrderKind::kRepeated);
  CHECK(kind(check("desk", "v1", seconds(12))) ==
        ErrorKind::kInvalidDeclaration);
  now += seconds(10);
  CHECK(check("desk", "v2", seconds(12)) == RolloutOrderKind::kNew);

  record.Apply(StartRollout{kDesk, "v3", seconds(12), 1});
  record.Apply(SetRolloutPhase{kDesk, 3, RolloutPhase::kSwitch, "good"});
  record.Apply(SetRolloutPhase{kDesk, 3, RolloutPhase::kCompleted, "done"});
  controller.ApplyRecord(now, record);
  CHECK(check("desk", "v3", seconds(12), {}) == RolloutOrderKind::kRepeated);
  now += seconds(10);
  CHECK(kind(check("desk", "v3", seconds(12), {})) ==
        ErrorKind::kInvalidDeclaration);
  CHECK(check("desk", "v1", seconds(12), {"v3"}) == RolloutOrderKind::kNew);
}

}  // namespace
}  // namespace sapphirebank
