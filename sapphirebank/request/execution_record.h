#pragma once

#include <optional>
#include <string_view>

#include "sapphirebank/core/error_kind.h"
#include "sapphirebank/request/answer_sequence.h"
#include "sapphirebank/request/attempt_policy.h"

namespace sapphirebank {

// Returns whether a status promises that the request has not run and never
// will: 408, 421, 429 and 503.
bool PromisesNotRun(int status);

// Why an attempt of a request is known not to have run, and never to run.
enum class NotRunEvidence {
  kNone,            // It may have run.
  kNothingSent,     // No byte of it was passed to the system for sending.
  kServerRejected,  // The backend server's answer says so.
  kMisdirected,     // Another backend server has the address (status 421).
  kHostRefused,     // The entry host that it was sent to says so.
};

// Returns the text that stands for `evidence` in logs.
std::string_view EvidenceName(NotRunEvidence evidence);

// What a backend server's answer says, as far as it tells of execution.
struct AnswerStatement {
  int status = 0;
  // It says that the server did not run the request.
  bool not_run = false;
  // It says that another server has the address.
  bool misdirected = false;
  AnswerMatch match = AnswerMatch::kUnknown;
  // No other answer came on the connection between the request and this one.
  bool is_first_answer = false;
  // The connection has carried no earlier request.
  bool is_first_request = false;
};

// Returns the evidence that a backend server's answer gives. It gives none
// unless it bears the request's id, is the first answer on the connection after
// the request, and its statement and its status agree. For a request that must
// not run twice the connection must have carried no other one: whatever bytes a
// server writes for earlier requests, there are none on it.
NotRunEvidence EvidenceOf(const AnswerStatement& answer, bool idempotent);

// Returns the evidence that a failed attempt gives.
NotRunEvidence EvidenceOf(AttemptStage stage);

class ExecutionRecord;

// Proof that no attempt of a request has run or will run. Only an
// ExecutionRecord makes one, and only a request with one is answered with a
// status that promises so.
class NotRunProof {
 private:
  friend class ExecutionRecord;
  NotRunProof() = default;
};

// What is known of the execution of one request over all of its attempts.
// Starts as not run. Each attempt counts as possibly run from its begin until
// it ends with evidence that it has not run; without that it counts so for
// ever.
class ExecutionRecord {
 public:
  // An attempt in progress. Ends without evidence when it is destroyed.
  class Attempt {
   public:
    explicit Attempt(ExecutionRecord& record);
    ~Attempt();
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    // Ends the attempt. Further calls have no effect.
    void End(NotRunEvidence evidence);

   private:
    ExecutionRecord* record_;  // Null once the attempt has ended.
  };

  bool MayHaveRun() const { return may_have_run_ || attempts_in_progress_ > 0; }

  // Returns a proof that the request has not run, if it has not.
  std::optional<NotRunProof> Proof() const;

 private:
  int attempts_in_progress_ = 0;
  bool may_have_run_ = false;
};

// Returns `kind`, or kBackendBroken where `kind` says that the request has not
// run and the record has no proof of it.
ErrorKind KindWithProof(const ExecutionRecord& record, ErrorKind kind);

}  // namespace sapphirebank
