#include "sapphirebank/core/cbor.h"

#include <catch2/catch.hpp>
#include <string>

namespace sapphirebank {
namespace {

using nlohmann::json;

std::string Encode(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

json Nested(int depth) {
  json value = 1;
  for (int i = 0; i < depth; ++i) value = json{{"a", std::move(value)}};
  return value;
}

// Guards against a message that uses up the stack of the host that reads it.
TEST_CASE("deeply nested messages of a peer are refused", "[core]") {
  constexpr std::size_t kDepth = 300'000;
  // An array of one, an indefinite array, a map, a tag.
  for (const char* opening : {"\x81", "\x9f", "\xa1\x01", "\xc1"}) {
    std::string bytes;
    for (std::size_t i = 0; i < kDepth; ++i) bytes += opening;
    CHECK_FALSE(ParseCbor(bytes));
  }
  CHECK_FALSE(ParseCbor(Encode(Nested(65))));
  CHECK(ParseCbor(Encode(Nested(64))) == Nested(64));
}

TEST_CASE("messages with many items side by side are read", "[core]") {
  json wide = json::array();
  for (int i = 0; i < 1000; ++i) {
    wide.push_back({{"id", i},
                    {"list", {1, -2, 3.5, "text", nullptr, true}},
                    {"none", json::array()},
                    {"empty", json::object()},
                    {"bytes", CborBinary(std::string(300, '\x9f'))}});
  }
  CHECK(ParseCbor(Encode(wide)) == wide);
  CHECK_FALSE(ParseCbor(std::string("\x5b\xff\xff\xff\xff\xff\xff\xff\xff")));
  CHECK_FALSE(ParseCbor(std::string()));
}

}  // namespace
}  // namespace sapphirebank
