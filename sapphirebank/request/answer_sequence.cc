#include "sapphirebank/request/answer_sequence.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace sapphirebank {
namespace {

// Answers to earlier requests that are skipped before the connection is closed.
// A faulty server that sends each answer twice leaves one.
constexpr int kMaxStrayAnswers = 2;

// Informational answers (1xx) that may precede an answer.
constexpr int kMaxInformationalAnswers = 8;

constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;

// A status line up to its status code; 'd' stands for any digit.
constexpr std::string_view kStatusLinePattern = "HTTP/d.d ddd";

bool IsStatusLine(std::string_view text) {
  return text.size() >= kStatusLinePattern.size() &&
         std::equal(kStatusLinePattern.begin(), kStatusLinePattern.end(),
                    text.begin(), [](char expected, char c) {
                      const auto byte = static_cast<unsigned char>(c);
                      return expected == 'd' ? std::isdigit(byte) != 0
                                             : c == expected;
                    });
}

// Returns whether a field stands twice that an answer has once.
bool RepeatsField(const HeaderFields& fields) {
  constexpr auto kSingle = std::to_array<std::string_view>(
      {"content-length", "content-type", "date", "etag", "location",
       "retry-after", "server"});
  return std::any_of(kSingle.begin(), kSingle.end(),
                     [&](std::string_view name) {
                       return std::count_if(fields.begin(), fields.end(),
                                            [&](const HeaderField& field) {
                                              return field.name == name;
                                            }) > 1;
                     });
}

}  // namespace

std::string_view MatchName(AnswerMatch match) {
  switch (match) {
    case AnswerMatch::kOwn:
      return "own";
    case AnswerMatch::kOther:
      return "other";
    case AnswerMatch::kUnknown:
      break;
  }
  return "none";
}

AnswerMatch MatchRequestId(const HeaderFields& fields, std::string_view name,
                           std::string_view id) {
  std::string_view named;
  for (const HeaderField& field : fields) {
    if (field.name != name) continue;
    if (!named.empty() && named != field.value) return AnswerMatch::kUnknown;
    named = field.value;
  }
  if (named.empty()) return AnswerMatch::kUnknown;
  return named == id ? AnswerMatch::kOwn : AnswerMatch::kOther;
}

std::string_view DoubtName(AnswerDoubt doubt) {
  switch (doubt) {
    case AnswerDoubt::kSplicedAnswers:
      return "spliced_answers";
    case AnswerDoubt::kNoRequestId:
      return "no_request_id";
    case AnswerDoubt::kInvalidStatus:
      return "invalid_status";
    case AnswerDoubt::kTooManyAnswers:
      return "too_many_answers";
    case AnswerDoubt::kNotGenuine:
      return "not_genuine";
    case AnswerDoubt::kNone:
      break;
  }
  return "none";
}

bool HoldsStatusLine(std::string_view text) {
  constexpr std::string_view kBegin = "HTTP/";
  for (auto at = text.find(kBegin); at != std::string_view::npos;
       at = text.find(kBegin, at + 1)) {
    if (IsStatusLine(text.substr(at))) return true;
  }
  return false;
}

AnswerSequence::AnswerSequence(bool carried_requests, Matcher matcher,
                               GenuineCheck is_genuine)
    : carried_requests_(carried_requests),
      matcher_(std::move(matcher)),
      is_genuine_(std::move(is_genuine)) {}

AnswerSequence::Verdict AnswerSequence::JudgeHead(const AnswerHead& head) {
  const bool is_spliced = HoldsStatusLine(head.reason) ||
                          std::any_of(head.fields.begin(), head.fields.end(),
                                      [](const HeaderField& field) {
                                        return HoldsStatusLine(field.value);
                                      });
  if (is_spliced || (carried_requests_ && RepeatsField(head.fields))) {
    return Reject(AnswerDoubt::kSplicedAnswers);
  }
  if (head.status < kFirstStatus || head.status > kLastStatus ||
      head.status == kSwitchingProtocols) {
    return Reject(AnswerDoubt::kInvalidStatus);
  }
  if (head.status < kFirstFinalStatus) {
    if (++informational_ > kMaxInformationalAnswers) {
      return Reject(AnswerDoubt::kTooManyAnswers);
    }
    return Verdict::kSkip;
  }
  match_ = matcher_ ? matcher_(head.fields) : AnswerMatch::kOwn;
  switch (match_) {
    case AnswerMatch::kOwn:
      return AcceptIfGenuine(head);
    case AnswerMatch::kUnknown:
      if (carried_requests_ || answers_skipped_ > 0) {
        return Reject(AnswerDoubt::kNoRequestId);
      }
      return AcceptIfGenuine(head);
    case AnswerMatch::kOther:
      break;
  }
  if (++answers_skipped_ > kMaxStrayAnswers) {
    return Reject(AnswerDoubt::kTooManyAnswers);
  }
  return Verdict::kSkip;
}

bool AnswerSequence::RecordSkipped(std::string_view body) {
  if (!HoldsStatusLine(body)) return true;
  doubt_ = AnswerDoubt::kSplicedAnswers;
  return false;
}

bool AnswerSequence::RecordBody(std::string_view body) {
  return !carried_requests_ || RecordSkipped(body);
}

AnswerSequence::Verdict AnswerSequence::AcceptIfGenuine(
    const AnswerHead& head) {
  if (is_genuine_ && !is_genuine_(head, match_)) {
    return Reject(AnswerDoubt::kNotGenuine);
  }
  return Verdict::kAccept;
}

AnswerSequence::Verdict AnswerSequence::Reject(AnswerDoubt doubt) {
  doubt_ = doubt;
  return Verdict::kReject;
}

}  // namespace sapphirebank
