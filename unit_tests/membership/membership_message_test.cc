#include "sapphirebank/membership/membership_message.h"

#include <catch2/catch.hpp>

#include "sapphirebank/core/random.h"

namespace sapphirebank {
namespace {

MemberUpdate Alive() {
  return {MemberState::kAlive,
          HostId("e1"),
          1'764'831'712,
          HostId(),
          {4'000'000'000, ZoneId("kochi"), "127.0.0.1:7001", "r=7"}};
}

MemberUpdate Suspect() {
  return {MemberState::kSuspect, HostId("e1"), 7, HostId("e2"), {}};
}

std::vector<MembershipMessage> AllMessages() {
  const RevisionStamp stamp{4, std::chrono::milliseconds(5)};
  return {PingMessage{1, HostId("a"), HostId(), {Alive(), Suspect()}},
          AckMessage{2, HostId("a"), stamp, {}},
          AckMessage{2, HostId("a"), std::nullopt, {Suspect()}},
          PingRequestMessage{3, HostId("a"), HostId("b"), "127.0.0.1:1"},
          NackMessage{4, HostId("a")},
          SyncRequestMessage{HostId("a"), {1, 0xffffffff, 3}, {Alive()}},
          SyncReplyMessage{HostId("a"), true, {Suspect()}}};
}

TEST_CASE("each membership message round-trips through CBOR", "[membership]") {
  for (const MembershipMessage& message : AllMessages()) {
    const auto read = DecodeMembershipMessage(EncodeMembershipMessage(message));
    REQUIRE(read);
    CHECK(*read == message);
  }
}

TEST_CASE("the encoded size of an update is within its bound", "[membership]") {
  for (const std::size_t length : {1UL, 23UL, 24UL, 64UL}) {
    const std::string text(length, 'x');
    MemberUpdate alive = Alive();
    alive.id = HostId(text);
    alive.incarnation = ~0ULL;
    alive.details = {~0U, ZoneId(text), text, std::string(3 * length, 'm')};
    MemberUpdate suspect = Suspect();
    suspect.id = suspect.reporter = HostId(text);
    suspect.incarnation = ~0ULL;
    for (const MemberUpdate& update : {alive, suspect}) {
      const auto bytes = nlohmann::json::to_cbor(nlohmann::json(update));
      CHECK(bytes.size() <= MaxEncodedBytes(update));
    }
  }
}

TEST_CASE("malformed membership messages are rejected", "[membership]") {
  const char* rows[] = {
      "null",
      "[]",
      "[9, [1, \"a\"]]",
      "[-1, [1, \"a\"]]",
      "[3, [1]]",
      "[3, [1, \"\"]]",
      "[3, [-1, \"a\"]]",
      "[3, [4294967296, \"a\"]]",
      "[3, [1, 7]]",
      "[3, {\"a\": 1}]",
      "[0, [1, \"a\", \"b\", 5]]",
      "[0, [1, \"a\", \"b\", [[0]]]]",
      "[0, [1, \"a\", \"b\", [[7, \"c\", 1, \"d\"]]]]",
      "[0, [1, \"a\", \"b\", [[1, \"c\", 1]]]]",
      "[0, [1, \"a\", \"b\", [[0, \"c\", 1, \"d\"]]]]",
      "[0, [1, \"a\", \"b\", [[]]]]",
      "[0, [1, \"a\", \"b\", [{}]]]",
      "[1, [1, \"a\", [1, 18446744073709551615], []]]",
      "[4, [\"a\", [1, 2], []]]",
      "[5, [\"a\", 1, []]]",
  };
  for (const char* row : rows) {
    INFO(row);
    const auto read = MembershipMessageFromJson(nlohmann::json::parse(row));
    REQUIRE_FALSE(read);
    CHECK(read.error().kind == ErrorKind::kMalformedRequest);
  }
}

TEST_CASE("truncated or corrupted datagrams are rejected without a crash",
          "[membership]") {
  Random random(1);
  for (const MembershipMessage& message : AllMessages()) {
    const auto whole = EncodeMembershipMessage(message);
    for (std::size_t length = 0; length < whole.size(); ++length) {
      CHECK_FALSE(DecodeMembershipMessage(std::span(whole).first(length)));
    }
    for (int round = 0; round < 500; ++round) {
      auto bytes = whole;
      bytes[random.Below(bytes.size())] ^=
          static_cast<std::uint8_t>(1 + random.Below(255));
      const auto read = DecodeMembershipMessage(bytes);
      if (!read) CHECK(read.error().kind == ErrorKind::kMalformedRequest);
    }
  }
}

}  // namespace
}  // namespace sapphirebank
