#include "sapphirebank/request/answer_sequence.h"

#include <catch2/catch.hpp>
#include <string>

namespace sapphirebank {
namespace {

using Verdict = AnswerSequence::Verdict;

AnswerMatch MatchOwn(const HeaderFields& fields) {
  const auto id = FieldValue(fields, "id");
  if (id.empty()) return AnswerMatch::kUnknown;
  return id == "own" ? AnswerMatch::kOwn : AnswerMatch::kOther;
}

Verdict Judge(AnswerSequence& sequence, const HeaderFields& fields,
              int status = 200, std::string_view reason = "OK") {
  return sequence.JudgeHead({status, reason, fields});
}

TEST_CASE("a status line is found at any place of a text", "[request]") {
  CHECK(HoldsStatusLine("HTTP/1.1 200 OK"));
  CHECK(HoldsStatusLine("desk/1.4HTTP/1.1 503"));
  CHECK(HoldsStatusLine("HTTP/1HTTP/1.0 404 Not Found"));
  for (const char* other : {"", "HTTP/1.1", "HTTP/1.1 20", "1.1 kochi",
                            "HTTP/1.1 kochi", "HTTP/2 200", "http/1.1 200"}) {
    CAPTURE(other);
    CHECK_FALSE(HoldsStatusLine(other));
  }
}

// Guards against MIXED by a server in trouble, also for answers to others.
TEST_CASE("a status that is none of HTTP is rejected", "[request]") {
  for (const int status : {0, 7, 99, 101, 600, 999}) {
    for (const char* id : {"own", "other"}) {
      CAPTURE(status, id);
      AnswerSequence sequence(false, MatchOwn);
      CHECK(Judge(sequence, {{"id", id}}, status) == Verdict::kReject);
      CHECK(sequence.doubt() == AnswerDoubt::kInvalidStatus);
      CHECK(sequence.HasStrayBytes());
    }
  }
  for (const int status : {200, 599}) {
    AnswerSequence sequence(false, MatchOwn);
    CHECK(Judge(sequence, {{"id", "own"}}, status) == Verdict::kAccept);
  }
}

// Guards against MIXED and REFUSED by an answer that took in another one's
// status line.
TEST_CASE("an answer with a status line inside is rejected", "[request]") {
  AnswerSequence in_field(true, MatchOwn);
  const HeaderFields spliced = {{"server", "desk/1.4HTTP/1.1 200 OK"},
                                {"id", "own"}};
  CHECK(Judge(in_field, spliced) == Verdict::kReject);
  CHECK(in_field.doubt() == AnswerDoubt::kSplicedAnswers);
  AnswerSequence in_reason(false, MatchOwn);
  CHECK(Judge(in_reason, {{"id", "own"}}, 503, "ServHTTP/1.1 200 OK") ==
        Verdict::kReject);
  AnswerSequence in_skipped(true, MatchOwn);
  CHECK(Judge(in_skipped, {{"id", "other"}}) == Verdict::kSkip);
  CHECK_FALSE(in_skipped.RecordSkipped("boHTTP/1.1 200 OK\r\n"));
  CHECK(in_skipped.HasStrayBytes());
  AnswerSequence in_informational(true, MatchOwn);
  CHECK(Judge(in_informational, spliced, 102) == Verdict::kReject);
}

TEST_CASE("answers to other requests are skipped, a few of them", "[request]") {
  AnswerSequence sequence(true, MatchOwn);
  for (int i = 1; i <= 2; ++i) {
    CHECK(Judge(sequence, {{"id", "other"}}) == Verdict::kSkip);
    CHECK(sequence.RecordSkipped("body"));
    CHECK(sequence.answers_skipped() == i);
  }
  SECTION("until the own one") {
    CHECK(Judge(sequence, {{"id", "own"}}) == Verdict::kAccept);
    CHECK_FALSE(sequence.is_first());
    CHECK(sequence.match() == AnswerMatch::kOwn);
  }
  SECTION("until one that names no request") {
    CHECK(Judge(sequence, {}) == Verdict::kReject);
    CHECK(sequence.doubt() == AnswerDoubt::kNoRequestId);
  }
  SECTION("until there are too many") {
    CHECK(Judge(sequence, {{"id", "other"}}) == Verdict::kReject);
    CHECK(sequence.doubt() == AnswerDoubt::kTooManyAnswers);
  }
}

TEST_CASE("an answer that names no request counts on a new connection only",
          "[request]") {
  AnswerSequence fresh(false, MatchOwn);
  CHECK(Judge(fresh, {}) == Verdict::kAccept);
  CHECK(fresh.match() == AnswerMatch::kUnknown);
  AnswerSequence used(true, MatchOwn);
  CHECK(Judge(used, {}) == Verdict::kReject);
  AnswerSequence unmatched(true, nullptr);
  CHECK(Judge(unmatched, {}) == Verdict::kAccept);
  CHECK(unmatched.match() == AnswerMatch::kOwn);
}

TEST_CASE("an answer belongs to the only request id that it names",
          "[request]") {
  const auto match = [](const HeaderFields& fields) {
    return MatchRequestId(fields, "id", "7");
  };
  CHECK(match({{"id", "7"}}) == AnswerMatch::kOwn);
  CHECK(match({{"id", "7"}, {"id", "7"}}) == AnswerMatch::kOwn);
  CHECK(match({{"id", "8"}}) == AnswerMatch::kOther);
  CHECK(match({{"id", "7"}, {"id", "8"}}) == AnswerMatch::kUnknown);
  CHECK(match({{"id", "8"}, {"id", "7"}}) == AnswerMatch::kUnknown);
  CHECK(match({{"id", ""}}) == AnswerMatch::kUnknown);
  CHECK(match({{"other", "7"}}) == AnswerMatch::kUnknown);
}

TEST_CASE("an informational answer counts on a used connection only",
          "[request]") {
  for (const bool is_used : {true, false}) {
    AnswerSequence sequence(is_used, MatchOwn);
    CHECK(Judge(sequence, {}, 100, "Continue") == Verdict::kSkip);
    CHECK(sequence.RecordSkipped(""));
    CHECK(Judge(sequence, {{"id", "own"}}) == Verdict::kAccept);
    CHECK(sequence.is_first() != is_used);
  }
}

TEST_CASE("a status line in the own body is doubted on a used connection only",
          "[request]") {
  for (const bool is_used : {true, false}) {
    AnswerSequence sequence(is_used, MatchOwn);
    CHECK(Judge(sequence, {{"id", "own"}}) == Verdict::kAccept);
    CHECK(sequence.RecordBody("text"));
    CHECK(sequence.RecordBody("boHTTP/1.1 500 Internal") != is_used);
  }
}

}  // namespace
}  // namespace sapphirebank
