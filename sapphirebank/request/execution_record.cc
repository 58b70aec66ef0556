#include "sapphirebank/request/execution_record.h"

#include <utility>

namespace sapphirebank {
namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirectedRequest = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

}  // namespace

bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirectedRequest ||
         status == kTooManyRequests || status == kServiceUnavailable;
}

std::string_view EvidenceName(NotRunEvidence evidence) {
  switch (evidence) {
    case NotRunEvidence::kNothingSent:
      return "nothing_sent";
    case NotRunEvidence::kServerRejected:
      return "server_rejected";
    case NotRunEvidence::kMisdirected:
      return "misdirected";
    case NotRunEvidence::kHostRefused:
      return "host_refused";
    case NotRunEvidence::kNone:
      break;
  }
  return "none";
}

NotRunEvidence EvidenceOf(const AnswerStatement& answer, bool idempotent) {
  if (answer.match != AnswerMatch::kOwn || !answer.is_first_answer) {
    return NotRunEvidence::kNone;
  }
  if (!idempotent && !answer.is_first_request) return NotRunEvidence::kNone;
  if (answer.misdirected) return NotRunEvidence::kMisdirected;
  const bool is_rejection =
      PromisesNotRun(answer.status) || answer.status == kBadRequest;
  return answer.not_run && is_rejection ? NotRunEvidence::kServerRejected
                                        : NotRunEvidence::kNone;
}

NotRunEvidence EvidenceOf(AttemptStage stage) {
  switch (stage) {
    case AttemptStage::kWithheld:
    case AttemptStage::kNotConnected:
      return NotRunEvidence::kNothingSent;
    case AttemptStage::kRefusedByPeer:
      return NotRunEvidence::kHostRefused;
    case AttemptStage::kSent:
    case AttemptStage::kAnswerStarted:
      break;
  }
  return NotRunEvidence::kNone;
}

ExecutionRecord::Attempt::Attempt(ExecutionRecord& record) : record_(&record) {
  ++record.attempts_in_progress_;
}

ExecutionRecord::Attempt::~Attempt() { End(NotRunEvidence::kNone); }

void ExecutionRecord::Attempt::End(NotRunEvidence evidence) {
  ExecutionRecord* const record = std::exchange(record_, nullptr);
  if (record == nullptr) return;
  --record->attempts_in_progress_;
  if (evidence == NotRunEvidence::kNone) record->may_have_run_ = true;
}

std::optional<NotRunProof> ExecutionRecord::Proof() const {
  if (MayHaveRun()) return std::nullopt;
  return NotRunProof();
}

ErrorKind KindWithProof(const ExecutionRecord& record, ErrorKind kind) {
  const ErrorAnswer& row = AnswerFor(kind);
  const bool needs_proof =
      row.execution == Execution::kNotRun || PromisesNotRun(row.http_status);
  return needs_proof && !record.Proof() ? ErrorKind::kBackendBroken : kind;
}

}  // namespace sapphirebank
