#include "sapphirebank/request/execution_record.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

AnswerStatement Rejection() {
  AnswerStatement answer;
  answer.status = 503;
  answer.not_run = true;
  answer.match = AnswerMatch::kOwn;
  answer.is_first_answer = true;
  answer.is_first_request = true;
  return answer;
}

TEST_CASE("only the four statuses promise that a request has not run",
          "[request]") {
  for (int status = 100; status < 600; ++status) {
    const bool expected =
        status == 408 || status == 421 || status == 429 || status == 503;
    CHECK(PromisesNotRun(status) == expected);
  }
}

// Guards against REFUSED: each condition alone makes an answer no evidence.
TEST_CASE("a server's answer proves 'not run' only if all of it says so",
          "[request]") {
  CHECK(EvidenceOf(Rejection(), false) == NotRunEvidence::kServerRejected);
  for (const AnswerMatch match : {AnswerMatch::kOther, AnswerMatch::kUnknown}) {
    AnswerStatement answer = Rejection();
    answer.match = match;
    CHECK(EvidenceOf(answer, false) == NotRunEvidence::kNone);
    answer.misdirected = true;
    CHECK(EvidenceOf(answer, false) == NotRunEvidence::kNone);
  }
  AnswerStatement second = Rejection();
  second.is_first_answer = false;
  CHECK(EvidenceOf(second, false) == NotRunEvidence::kNone);
  AnswerStatement on_used_connection = Rejection();
  on_used_connection.is_first_request = false;
  CHECK(EvidenceOf(on_used_connection, false) == NotRunEvidence::kNone);
  CHECK(EvidenceOf(on_used_connection, true) ==
        NotRunEvidence::kServerRejected);
  AnswerStatement silent = Rejection();
  silent.not_run = false;
  CHECK(EvidenceOf(silent, false) == NotRunEvidence::kNone);
  for (const int status : {200, 204, 404, 500, 502, 504}) {
    AnswerStatement contradiction = Rejection();
    contradiction.status = status;
    CHECK(EvidenceOf(contradiction, false) == NotRunEvidence::kNone);
  }
  for (const int status : {400, 408, 429, 503}) {
    AnswerStatement rejection = Rejection();
    rejection.status = status;
    CHECK(EvidenceOf(rejection, false) == NotRunEvidence::kServerRejected);
  }
  AnswerStatement misdirected = Rejection();
  misdirected.status = 421;
  misdirected.misdirected = true;
  CHECK(EvidenceOf(misdirected, false) == NotRunEvidence::kMisdirected);
}

// Guards against REFUSED by a refusal that looks at the last attempt only.
TEST_CASE("a request has a proof only while every attempt has ended with one",
          "[request]") {
  ExecutionRecord record;
  CHECK(record.Proof());
  {
    ExecutionRecord::Attempt attempt(record);
    CHECK_FALSE(record.Proof());
    attempt.End(NotRunEvidence::kNothingSent);
    CHECK(record.Proof());
  }
  CHECK(record.Proof());
  {
    ExecutionRecord::Attempt first(record);
    ExecutionRecord::Attempt second(record);
    second.End(NotRunEvidence::kServerRejected);
    CHECK_FALSE(record.Proof());
    first.End(NotRunEvidence::kMisdirected);
    CHECK(record.Proof());
  }
  { const ExecutionRecord::Attempt abandoned(record); }
  CHECK_FALSE(record.Proof());
  {
    ExecutionRecord::Attempt later(record);
    later.End(NotRunEvidence::kNothingSent);
  }
  CHECK(record.MayHaveRun());
  CHECK_FALSE(record.Proof());
}

TEST_CASE("an attempt that has ended cannot be ended otherwise", "[request]") {
  ExecutionRecord record;
  ExecutionRecord::Attempt attempt(record);
  attempt.End(NotRunEvidence::kNone);
  attempt.End(NotRunEvidence::kNothingSent);
  CHECK_FALSE(record.Proof());
}

// Guards against REFUSED by a kind of refusal whose status promises more than
// the kind says.
TEST_CASE("every refusal whose status promises 'not run' needs a proof",
          "[request]") {
  ExecutionRecord record;
  for (const ErrorAnswer& row : ErrorTable()) {
    CHECK(KindWithProof(record, row.kind) == row.kind);
  }
  { const ExecutionRecord::Attempt abandoned(record); }
  for (const ErrorAnswer& row : ErrorTable()) {
    CAPTURE(row.name);
    const ErrorAnswer& proved = AnswerFor(KindWithProof(record, row.kind));
    CHECK_FALSE(PromisesNotRun(proved.http_status));
    CHECK(proved.execution == Execution::kUnknown);
  }
}

TEST_CASE("a failed attempt proves 'not run' only where nothing was sent",
          "[request]") {
  CHECK(EvidenceOf(AttemptStage::kWithheld) == NotRunEvidence::kNothingSent);
  CHECK(EvidenceOf(AttemptStage::kNotConnected) ==
        NotRunEvidence::kNothingSent);
  CHECK(EvidenceOf(AttemptStage::kRefusedByPeer) ==
        NotRunEvidence::kHostRefused);
  CHECK(EvidenceOf(AttemptStage::kSent) == NotRunEvidence::kNone);
  CHECK(EvidenceOf(AttemptStage::kAnswerStarted) == NotRunEvidence::kNone);
}

// Guards against REFUSED by a kind that says 'not run' after another attempt.
TEST_CASE("a kind that says 'not run' stands only with a proof", "[request]") {
  for (const ErrorAnswer& row : ErrorTable()) {
    CAPTURE(row.name);
    const ErrorKind kind = row.kind;
    ExecutionRecord record;
    CHECK(KindWithProof(record, kind) == kind);
    {
      ExecutionRecord::Attempt attempt(record);
      attempt.End(NotRunEvidence::kNothingSent);
    }
    CHECK(KindWithProof(record, kind) == kind);
    { const ExecutionRecord::Attempt abandoned(record); }
    const ErrorKind proved = KindWithProof(record, kind);
    CHECK(AnswerFor(proved).execution == Execution::kUnknown);
    const bool needs_proof =
        row.execution == Execution::kNotRun || PromisesNotRun(row.http_status);
    CHECK(proved == (needs_proof ? ErrorKind::kBackendBroken : kind));
  }
}

}  // namespace
}  // namespace sapphirebank
