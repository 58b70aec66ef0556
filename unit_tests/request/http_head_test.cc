#include "sapphirebank/request/http_head.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

struct HeadRow {
  const char* head;
  const char* cause;  // Empty when the head is accepted.
};

TEST_CASE("request heads with ambiguous framing or malformed lines are refused",
          "[request]") {
  const HeadRow rows[] = {
      {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", ""},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n", ""},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       "together"},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 5\r\n\r\n",
       "together"},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
       "Content-Length: 5\r\n\r\n",
       "second Content-Length"},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\n",
       "not a number"},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
       "not a number"},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: abc\r\n\r\n",
       "not a number"},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: \r\n\r\n",
       "not a number"},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\n",
       "bad field name"},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
       "other than chunked"},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
       "other than chunked"},
      {"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n two\r\n\r\n", "folded"},
      {"GET / HTTP/1.1\r\nHost: a\r\nX: 1\n\r\n\r\n", "bare"},
      {"GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n", "no colon"},
      {"GET / HTTP/1.1\r\n\r\n", "Host"},
      {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "Host"},
      {"GET / HTTP/1.0\r\nHost: a\r\n\r\n", "version"},
      {"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", "no path"},
      {"GET /\r\nHost: a\r\n\r\n", "not a method"},
      {"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", "control or blank"},
      {"\r\n\r\n", "Host"},
      {"\x16\x03\x01\r\n\r\n", "not a method"},
  };
  for (const HeadRow& row : rows) {
    INFO(row.head);
    const auto checked = CheckRequestHead(row.head);
    CHECK(checked.has_value() == (row.cause[0] == '\0'));
    if (!checked) {
      CHECK(checked.error().detail.find(row.cause) != std::string::npos);
    }
  }
}

TEST_CASE("the key is removed from fields and query, also percent-encoded",
          "[request]") {
  HeaderFields fields = {{"x-api-key", "s3cret"},
                         {"cookie", "k=s3cret; a=b"},
                         {"x-coded", "%733cret"},
                         {"accept", "*/*"}};
  std::string target = "/a/b?x=1&key=s3cret&k2=%733cret&y=2";
  StripKey("x-api-key", "s3cret", fields, target);
  CHECK(fields == HeaderFields{{"accept", "*/*"}});
  CHECK(target == "/a/b?x=1&y=2");
  std::string only = "/a?key=s3cret";
  StripKey("x-api-key", "s3cret", fields, only);
  CHECK(only == "/a");
}

TEST_CASE("the key field is removed also without a key", "[request]") {
  HeaderFields fields = {{"x-api-key", ""}, {"accept", "*/*"}};
  std::string target = "/a";
  StripKey("x-api-key", "", fields, target);
  CHECK(fields == HeaderFields{{"accept", "*/*"}});
}

TEST_CASE("hop-by-hop fields and fields of the fleet are removed",
          "[request]") {
  HeaderFields fields = {{"connection", "close, X-Hop"},
                         {"x-hop", "1"},
                         {"te", "trailers"},
                         {"x-sapphirebank-workspace", "forged"},
                         {"accept", "*/*"}};
  StripConnectionFields(fields);
  CHECK(fields == HeaderFields{{"accept", "*/*"}});
}

}  // namespace
}  // namespace sapphirebank
