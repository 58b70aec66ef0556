#include "sapphirebank/request/attempt_policy.h"

#include <catch2/catch.hpp>

#include "sapphirebank/request/retry_budget.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;

TEST_CASE(
    "the decision after a failed attempt depends on its stage and idempotency",
    "[request]") {
  struct Row {
    const char* condition;
    bool idempotent;
    AttemptStage stage;
    bool timed_out;
    bool reused;
    NextStep step;
    ErrorKind refusal;
  };
  constexpr auto kNone = ErrorKind::kInternal;
  const Row rows[] = {
      {"nothing sent, idempotent", true, AttemptStage::kNotConnected, false,
       false, NextStep::kRetryOtherServer, kNone},
      {"nothing sent, not idempotent", false, AttemptStage::kNotConnected,
       false, false, NextStep::kRetryOtherServer, kNone},
      {"peer reports that it was not run", false, AttemptStage::kRefusedByPeer,
       false, false, NextStep::kRetryOtherServer, kNone},
      {"sent, idempotent", true, AttemptStage::kSent, true, false,
       NextStep::kRetryOtherServer, kNone},
      {"sent on a reused connection, idempotent", true, AttemptStage::kSent,
       true, true, NextStep::kRetryNewConnection, kNone},
      {"sent, not idempotent", false, AttemptStage::kSent, false, false,
       NextStep::kRefuse, ErrorKind::kBackendBroken},
      {"sent on a reused connection, not idempotent", false,
       AttemptStage::kSent, true, true, NextStep::kRefuse,
       ErrorKind::kBackendTimeout},
      {"answer partly passed on", true, AttemptStage::kAnswerStarted, false,
       false, NextStep::kRefuse, ErrorKind::kBackendBroken},
  };
  for (const Row& row : rows) {
    INFO(row.condition);
    AttemptContext context;
    context.idempotent = row.idempotent;
    context.time_left = milliseconds(500);
    context.retry_budget_left = true;
    AttemptFailure failure;
    failure.stage = row.stage;
    failure.timed_out = row.timed_out;
    failure.reused_connection = row.reused;
    const auto decision = DecideAfterFailure(context, failure);
    CHECK(decision.step == row.step);
    if (row.step == NextStep::kRefuse) CHECK(decision.refusal == row.refusal);
  }
}

TEST_CASE("a retry requires attempts, time and budget", "[request]") {
  AttemptContext context;
  context.idempotent = true;
  context.time_left = milliseconds(500);
  context.retry_budget_left = true;
  const AttemptFailure failure;
  CHECK(DecideAfterFailure(context, failure).step ==
        NextStep::kRetryOtherServer);
  AttemptContext no_attempts_left = context;
  no_attempts_left.attempts = kMaxAttempts;
  AttemptContext no_time_left = context;
  no_time_left.time_left = kMinRetryTime - Duration(1);
  AttemptContext no_budget_left = context;
  no_budget_left.retry_budget_left = false;
  for (const AttemptContext& exhausted :
       {no_attempts_left, no_time_left, no_budget_left}) {
    const auto decision = DecideAfterFailure(exhausted, failure);
    CHECK(decision.step == NextStep::kRefuse);
    CHECK(decision.refusal == ErrorKind::kBackendUnreachable);
  }
}

TEST_CASE("a refusal reports 'not run' only when no byte was sent",
          "[request]") {
  for (const AttemptStage stage :
       {AttemptStage::kSent, AttemptStage::kAnswerStarted}) {
    for (const bool timed_out : {false, true}) {
      AttemptFailure failure;
      failure.stage = stage;
      failure.timed_out = timed_out;
      const auto decision = DecideAfterFailure(AttemptContext(), failure);
      CHECK(AnswerFor(decision.refusal).execution == Execution::kUnknown);
    }
  }
  const auto decision = DecideAfterFailure(AttemptContext(), AttemptFailure());
  CHECK(AnswerFor(decision.refusal).execution == Execution::kNotRun);
}

TEST_CASE("retries are limited to a ratio of first attempts", "[request]") {
  RetryBudget budget(RetryBudgetSettings{.ratio = 0.1});
  int granted = 0;
  constexpr int kFirstAttempts = 1000;
  for (int i = 0; i < kFirstAttempts; ++i) {
    budget.CountFirstAttempt();
    if (budget.TryTake()) ++granted;
  }
  // A tenth of the first attempts, plus the three initial tokens.
  CHECK(granted <= kFirstAttempts / 10 + 3);
  CHECK(granted >= kFirstAttempts / 10);
}

}  // namespace
}  // namespace sapphirebank
