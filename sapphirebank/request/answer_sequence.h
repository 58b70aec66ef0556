#pragma once

#include <functional>
#include <string_view>

#include "sapphirebank/request/http_head.h"

namespace sapphirebank {

// Whether an answer belongs to the request that was sent last.
enum class AnswerMatch {
  kOwn,
  kOther,  // It answers an earlier request.
  // It names no request, or two. On a connection that has carried another
  // request, it may be a second copy of that one's answer.
  kUnknown,
};

// Returns the text that stands for `match` in logs.
std::string_view MatchName(AnswerMatch match);

// Compares the request id that an answer names in the header field `name`
// (lower case) with `id`. Two different ids are those of two answers: unknown.
AnswerMatch MatchRequestId(const HeaderFields& fields, std::string_view name,
                           std::string_view id);

// Why none of the answers on a connection can be taken for that to the request.
enum class AnswerDoubt {
  kNone,
  // A status line stands inside a head, or in the body of an answer to another
  // request: one of the two answers was cut and runs into the other.
  kSplicedAnswers,
  // The answer names no request, and the connection has carried others.
  kNoRequestId,
  // The status is none of HTTP (RFC 9110, section 15), or 101, which changes
  // the protocol and was not asked for.
  kInvalidStatus,
  kTooManyAnswers,
  // It lacks what the servers' protocol puts into each answer of its kind.
  kNotGenuine,
};

// The statuses that end a request (RFC 9110, section 15).
inline constexpr int kFirstFinalStatus = 200;
inline constexpr int kLastStatus = 599;

// Returns the text that stands for `doubt` in logs.
std::string_view DoubtName(AnswerDoubt doubt);

// Returns whether a status line (RFC 9112, section 4) stands in `text`.
bool HoldsStatusLine(std::string_view text);

// The head of an answer.
struct AnswerHead {
  int status = 0;
  std::string_view reason;
  const HeaderFields& fields;
};

// Decides which of the answers that arrive on a connection after a request is
// the one to that request. A faulty server may write others before it, whole or
// cut, and bytes that are no answer.
//
// A request's id is unknown to all bytes that the server wrote for earlier
// requests, so a head that has it reaches up to the own answer; what comes
// before the own answer in that head leaves that answer's status line inside.
class AnswerSequence {
 public:
  enum class Verdict {
    kAccept,  // It is the answer to the request.
    kSkip,    // Its body, if any, is to be read and passed to RecordSkipped().
    kReject,  // No answer on this connection can be trusted.
  };

  // Tells from header fields whether an answer belongs to the request.
  using Matcher = std::function<AnswerMatch(const HeaderFields&)>;

  // Tells whether a server can have written the head of a final answer that is
  // not to another request.
  using GenuineCheck = std::function<bool(const AnswerHead&, AnswerMatch)>;

  // `carried_requests` tells whether the connection was used before. A null
  // matcher takes every answer for the request's own, a null check each one for
  // genuine.
  AnswerSequence(bool carried_requests, Matcher matcher,
                 GenuineCheck is_genuine = nullptr);

  Verdict JudgeHead(const AnswerHead& head);

  // Records the body of an answer to another request. Returns false when
  // nothing behind it can be trusted.
  bool RecordSkipped(std::string_view body);

  // Records the own answer's body, or its beginning. Returns false when it
  // cannot be trusted: on a connection that was used before, a copy of another
  // answer may have made up what the own one lacks.
  bool RecordBody(std::string_view body);

  AnswerDoubt doubt() const { return doubt_; }
  // Whether the server wrote bytes that belong to no request.
  bool HasStrayBytes() const {
    return answers_skipped_ > 0 || doubt_ != AnswerDoubt::kNone;
  }
  // How the last final answer matched the request.
  AnswerMatch match() const { return match_; }
  // Complete answers to other requests so far.
  int answers_skipped() const { return answers_skipped_; }
  // Whether no other answer came before the last one. On a connection that was
  // used before, an informational one counts as well.
  bool is_first() const {
    return answers_skipped_ == 0 && (informational_ == 0 || !carried_requests_);
  }

 private:
  Verdict Reject(AnswerDoubt doubt);
  Verdict AcceptIfGenuine(const AnswerHead& head);

  bool carried_requests_;
  Matcher matcher_;
  GenuineCheck is_genuine_;
  AnswerDoubt doubt_ = AnswerDoubt::kNone;
  AnswerMatch match_ = AnswerMatch::kUnknown;
  int informational_ = 0;
  int answers_skipped_ = 0;
};

}  // namespace sapphirebank
