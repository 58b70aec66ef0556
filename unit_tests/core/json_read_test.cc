#include "sapphirebank/core/json_read.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace sapphirebank {
namespace {

using nlohmann::json;

// Returns `inner` within `depth` lists.
std::string Nested(int depth, const std::string& inner) {
  return std::string(depth, '[') + inner + std::string(depth, ']');
}

TEST_CASE("documents are read up to a depth of nesting", "[core]") {
  for (const auto parse : {ParseDocument, ParseDocumentWithUniqueNames}) {
    CHECK_NOTHROW(parse(Nested(kMaxDocumentDepth, "1")));
    CHECK_NOTHROW(parse(Nested(kMaxDocumentDepth, "{}")));
    CHECK_THROWS_AS(parse(Nested(kMaxDocumentDepth + 1, "1")),
                    std::out_of_range);
    CHECK_THROWS_AS(parse(Nested(kMaxDocumentDepth, R"({"a": 1})")),
                    std::out_of_range);
    CHECK_THROWS_AS(parse(Nested(100'000, "")), std::out_of_range);
    for (const char* malformed : {"", "{", "[1,]", R"({"a" 1})", "1 2"}) {
      CHECK_THROWS_AS(parse(malformed), json::parse_error);
    }
    const std::string text = R"({"a":[1,-2,3.5,null,true,{"b":"c"}],"d":{}})";
    CHECK(parse(text).dump() == text);
  }
}

TEST_CASE("tables with two entries of one name are found", "[core]") {
  CHECK_NOTHROW(ParseDocument(R"({"a": 1, "a": 2})"));
  for (const char* text :
       {R"({"a": 1, "a": 2})", R"({"x": {"a": 1, "b": 2, "a": 3}})",
        R"([{"a": {"b": 1}, "a": 2}])"}) {
    CHECK_THROWS_AS(ParseDocumentWithUniqueNames(text), std::out_of_range);
  }
  const std::string apart = R"({"a":{"a":[{"a":1},{"a":2}]},"b":{"a":1}})";
  CHECK(ParseDocumentWithUniqueNames(apart).dump() == apart);
}

// Guards against a control host that is busy for seconds with one large plan,
// and for minutes with a ping that holds a long list of lists.
TEST_CASE("the time to read a document grows with its length", "[core]") {
  const auto seconds_for = [](int entries) {
    std::string text = "[";
    for (int i = 0; i < entries; ++i) text += "[],{},";
    text += "0]";
    const auto start = std::chrono::steady_clock::now();
    REQUIRE(ParseDocumentWithUniqueNames(text).size() == 2U * entries + 1);
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
  };
  constexpr int kEntries = 4000;
  constexpr int kFactor = 32;
  // The least of several, as the machine may be busy.
  double small = 1e9;
  double large = 1e9;
  for (int i = 0; i < 5; ++i) {
    small = std::min(small, seconds_for(kEntries));
    large = std::min(large, seconds_for(kEntries * kFactor));
  }
  CAPTURE(small, large);
  CHECK(large < small * kFactor * kFactor / 4);
}

}  // namespace
}  // namespace sapphirebank
