#include "sapphirebank/transport/link_handshake.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "sapphirebank/transport/forward_fields.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

LinkHandshake MakeHandshake(const char* host, const char* secret,
                            const char* nonce, bool outgoing) {
  return {HostId(host), FleetSecret(secret), nonce, outgoing};
}

TEST_CASE("two hosts with the same secret authenticate each other",
          "[transport]") {
  auto a = MakeHandshake("a", "secret", "n1", true);
  auto b = MakeHandshake("b", "secret", "n2", false);
  const auto proof_b = b.Receive(a.Hello());
  const auto proof_a = a.Receive(b.Hello());
  REQUIRE(proof_a);
  REQUIRE(proof_b);
  CHECK(a.Receive(**proof_b));
  CHECK(b.Receive(**proof_a));
  CHECK(a.done());
  CHECK(a.peer() == HostId("b"));
  CHECK(b.peer() == HostId("a"));
}

TEST_CASE("a peer without a valid hello and proof is refused", "[transport]") {
  struct Row {
    const char* description;
    json first;
    std::optional<json> second;
  };
  auto impostor = MakeHandshake("b", "other secret", "n2", false);
  auto self = MakeHandshake("a", "secret", "n1", true);
  const json wrong = **impostor.Receive(self.Hello());
  const Row rows[] = {
      {"proof made with another secret", impostor.Hello(), wrong},
      {"hello with the receiver's nonce",
       {{"hello", "b"}, {"nonce", "n1"}},
       std::nullopt},
      {"no hello", {{"t", "snapshot"}}, std::nullopt},
      {"not an object", json::array(), std::nullopt},
      {"message without a proof", impostor.Hello(), json::object()},
  };
  for (const Row& row : rows) {
    INFO(row.description);
    auto handshake = MakeHandshake("a", "secret", "n1", true);
    auto reply = handshake.Receive(row.first);
    if (row.second) {
      REQUIRE(reply);
      reply = handshake.Receive(*row.second);
    }
    CHECK_FALSE(reply);
    CHECK_FALSE(handshake.done());
  }
}

TEST_CASE("a reflected proof is refused", "[transport]") {
  auto a = MakeHandshake("a", "secret", "n1", true);
  const json greeting = {{"hello", "a"}, {"nonce", "n2"}};
  const auto own_proof = a.Receive(greeting);
  REQUIRE(own_proof);
  CHECK_FALSE(a.Receive(**own_proof));
}

TEST_CASE("a forwarded request is accepted only if its signature matches",
          "[transport]") {
  const FleetSecret secret("secret");
  HttpRequestHead head{"POST", "/permits", {}};
  const ForwardedRequest forwarded{RequestId("r1"), WorkspaceId("kochi"),
                                   std::chrono::seconds(2), 1.5};
  AddForwardFields(secret, forwarded, head, "body");
  const auto read = ReadForwardFields(secret, head, "body");
  REQUIRE(read);
  CHECK(read->id == forwarded.id);
  CHECK(read->workspace == forwarded.workspace);
  CHECK(read->time_left == forwarded.time_left);
  CHECK_FALSE(ReadForwardFields(secret, head, "Body"));
  CHECK_FALSE(ReadForwardFields(FleetSecret("other"), head, "body"));
  HttpRequestHead moved = head;
  moved.target = "/permits/all";
  CHECK_FALSE(ReadForwardFields(secret, moved, "body"));
  CHECK_FALSE(ReadForwardFields(secret, {"POST", "/permits", {}}, "body"));
}

}  // namespace
}  // namespace sapphirebank
