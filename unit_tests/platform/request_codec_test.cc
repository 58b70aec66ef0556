#include "platform/request_codec.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;

const EntryCodec kCodec = PlatformEntryCodec();

HttpRequestHead MakeHead() {
  HttpRequestHead head;
  head.method = "GET";
  head.target = "/x/1?q=1";
  head.fields = {{"host", "a.example"},
                 {"sapphirebank-request-id", "9c41"},
                 {"sapphirebank-deadline-ms", "800"},
                 {"authorization", "Token key-1"},
                 {"accept", "text/plain"},
                 {"connection", "keep-alive, x-hop"},
                 {"x-hop", "1"},
                 {"sapphirebank-tenant", "forged"},
                 {"sapphirebank-expect-instance", "forged"}};
  return head;
}

TEST_CASE("a caller's request attributes are decoded", "[platform]") {
  const auto info = kCodec.read_request_info(MakeHead());
  REQUIRE(info);
  CHECK(info->id == RequestId("9c41"));
  CHECK(info->caller_timeout == milliseconds(800));
  CHECK(info->host == "a.example");
  CHECK(info->key == "key-1");
  for (const char* wrong : {"", "soon", "-5", "0", "8 00"}) {
    HttpRequestHead head = MakeHead();
    head.fields[2].value = wrong;
    CHECK_FALSE(kCodec.read_request_info(head)->caller_timeout);
  }
  HttpRequestHead basic_auth = MakeHead();
  basic_auth.fields[3].value = "Basic key-1";
  CHECK(kCodec.read_request_info(basic_auth)->key.empty());
  HttpRequestHead without_id = MakeHead();
  without_id.fields.erase(without_id.fields.begin() + 1);
  CHECK(kCodec.read_request_info(without_id).error().kind ==
        ErrorKind::kMalformedRequest);
}

TEST_CASE("a backend server receives the request attributes but not the key",
          "[platform]") {
  const HeaderFields fields = kCodec.backend_fields(
      MakeHead().fields,
      {milliseconds(640), BackendId("i-1"), WorkspaceId("north")});
  CHECK(FieldValue(fields, "authorization").empty());
  CHECK(FieldValue(fields, "sapphirebank-deadline-ms") == "640");
  CHECK(FieldValue(fields, "sapphirebank-expect-instance") == "i-1");
  CHECK(FieldValue(fields, "sapphirebank-tenant") == "north");
  CHECK(FieldValue(fields, "sapphirebank-request-id") == "9c41");
  CHECK(FieldValue(fields, "accept") == "text/plain");
  CHECK(FieldValue(fields, "x-hop").empty());
  CHECK(FieldValue(fields, "connection").empty());
  const HeaderFields open = kCodec.backend_fields(
      MakeHead().fields, {milliseconds(1), BackendId("i-1"), WorkspaceId()});
  CHECK(FieldValue(open, "sapphirebank-tenant").empty());
}

TEST_CASE("a leaving backend server and its wish for a pause are decoded",
          "[platform]") {
  const auto read = [](int status, HeaderFields fields) {
    HttpAnswer answer;
    answer.status = status;
    answer.fields = std::move(fields);
    return kCodec.read_response_info(answer, Instant());
  };
  CHECK(read(200, {{"server-leaving", "1"}}).leaving);
  CHECK(read(503, {{"server-leaving", "1"}}).leaving);
  CHECK_FALSE(read(200, {{"server-leaving", "0"}}).leaving);
  CHECK_FALSE(read(200, {}).leaving);
  CHECK(read(503, {{"retry-after", "2"}}).pause == std::chrono::seconds(2));
  CHECK(read(503, {{"retry-after", "0.25"}}).pause == milliseconds(250));
  CHECK_FALSE(read(200, {{"retry-after", "2"}}).pause);
  CHECK_FALSE(read(503, {}).pause);
  // A huge time is bounded, a date is not used on the platform.
  CHECK(read(503, {{"retry-after", "1e300"}}).pause == std::chrono::hours(1));
  for (const char* wrong : {"", "-1", "nan", "inf", "soon", "1 s", "1e999",
                            "Sat, 05 Dec 2026 04:00:00 GMT"}) {
    CAPTURE(wrong);
    CHECK_FALSE(read(503, {{"retry-after", wrong}}).pause);
  }
}

TEST_CASE("a backend server's rate limit is decoded", "[platform]") {
  const auto read = [](const char* limit) {
    HttpAnswer answer;
    answer.fields = {{"server-limit", limit}};
    return kCodec.read_response_info(answer, Instant()).rate_limit;
  };
  CHECK(read("4") == 4.0);
  CHECK(read("5.75") == 5.75);
  CHECK(read("0") == 0.0);
  for (const char* wrong : {"", "-1", "nan", "inf", "few", "1/s"}) {
    CAPTURE(wrong);
    CHECK_FALSE(read(wrong));
  }
  CHECK_FALSE(kCodec.read_response_info(HttpAnswer(), Instant()).rate_limit);
}

TEST_CASE("a backend server's answer signals are decoded", "[platform]") {
  HttpAnswer answer;
  answer.status = 503;
  answer.fields = {{"sapphirebank-not-executed", "1"},
                   {"sapphirebank-server-load", "3,4,8"}};
  const BackendResponseInfo info = kCodec.read_response_info(answer, Instant());
  CHECK(info.not_run);
  CHECK_FALSE(info.misdirected);
  REQUIRE(info.load);
  CHECK(info.load->running == 3);
  CHECK(info.load->waiting == 4);
  CHECK(info.load->slots == 8);
  answer.fields.clear();
  CHECK_FALSE(kCodec.read_response_info(answer, Instant()).not_run);
  answer.status = 421;
  CHECK(kCodec.read_response_info(answer, Instant()).misdirected);
  for (const char* wrong : {"3,4", "a,b,c", "3,4,8,9", ",,", "-1,0,2"}) {
    answer.fields = {{"sapphirebank-server-load", wrong}};
    CHECK_FALSE(kCodec.read_response_info(answer, Instant()).load);
  }
}

TEST_CASE("an answer with another request id does not match", "[platform]") {
  const RequestId id("9c41");
  const auto match = [&](const HeaderFields& fields) {
    return kCodec.match_request(fields, id);
  };
  CHECK(match({{"sapphirebank-request-id", "9c41"}}) == AnswerMatch::kOwn);
  CHECK(match({{"sapphirebank-request-id", "9c42"}}) == AnswerMatch::kOther);
  CHECK(match({}) == AnswerMatch::kUnknown);
}

TEST_CASE("only refusals with status 429 or 503 carry Retry-After",
          "[platform]") {
  const RequestId id("9c41");
  for (const ErrorAnswer& row : ErrorTable()) {
    const HttpAnswer answer =
        kCodec.refusal(Error(row.kind, "x"), id, milliseconds(300));
    CHECK(answer.status == row.http_status);
    CHECK(FieldValue(answer.fields, "sapphirebank-request-id") == "9c41");
    const bool suggests_retry = answer.status == 429 || answer.status == 503;
    CHECK(FieldValue(answer.fields, "retry-after") ==
          (suggests_retry ? "0.30" : ""));
    // On the platform these statuses mean that the request was not run.
    if (suggests_retry || answer.status == 408 || answer.status == 421) {
      const bool reaches_callers = row.kind != ErrorKind::kNoQuorum;
      if (reaches_callers) CHECK(row.execution == Execution::kNotRun);
    }
  }
  CHECK(FieldValue(kCodec
                       .refusal(Error(ErrorKind::kNoBackendServer, "x"), id,
                                Duration::zero())
                       .fields,
                   "retry-after")
            .empty());
}

}  // namespace
}  // namespace sapphirebank
