#include "sapphirebank/entry/control_client.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

using std::chrono::seconds;

const HostId kA("control-a");
const HostId kB("control-b");

Claim SomeClaim() {
  Claim claim;
  claim.key = {WorkspaceId("kochi"), "key"};
  claim.holder = {RequestId("r"), HostId("entry"), 1};
  return claim;
}

nlohmann::json Reply(std::uint64_t token, Result<ControlAnswer> result,
                     std::optional<HostId> leader = std::nullopt) {
  return EncodeControlReply({token, std::move(result), std::move(leader)});
}

TEST_CASE("a command follows the leader until it is answered", "[entry]") {
  ControlClient client;
  const Instant now;
  client.OnUp(now, kA);
  client.OnUp(now, kB);
  const auto asked = client.Submit(now, SomeClaim(), now + seconds(3), 1);
  REQUIRE(asked.messages.size() == 1);
  CHECK(asked.messages.front().to == kA);
  const auto sent_on =
      client.OnReply(now, kA, Reply(1, Fail(ErrorKind::kNotLeader, "no"), kB));
  REQUIRE(sent_on.messages.size() == 1);
  CHECK(sent_on.messages.front().to == kB);
  CHECK(sent_on.messages.front().body == asked.messages.front().body);
  const auto done = client.OnReply(
      now, kB, Reply(1, ClaimAnswer{ClaimState::kAnswered, "bytes"}));
  REQUIRE(done.answers.size() == 1);
  CHECK(std::get<ClaimAnswer>(*done.answers.front().result).answer == "bytes");
  CHECK(client.pending() == 0);
  // A second answer is for nobody.
  CHECK(client.OnReply(now, kB, Reply(1, Done{})).answers.empty());
}

TEST_CASE("an unanswered command goes to the next host and ends in time",
          "[entry]") {
  ControlClient client;
  Instant now;
  client.OnUp(now, kA);
  client.OnUp(now, kB);
  client.Submit(now, SomeClaim(), now + seconds(3), 1);
  now += seconds(1);
  const auto again = client.Tick(now);
  REQUIRE(again.messages.size() == 1);
  CHECK(again.messages.front().to == kB);
  now += seconds(2);
  const auto over = client.Tick(now);
  REQUIRE(over.answers.size() == 1);
  CHECK(over.answers.front().result.error().kind ==
        ErrorKind::kIdempotencyUnavailable);
}

TEST_CASE("a command waits for a control host to come back", "[entry]") {
  ControlClient client;
  Instant now;
  CHECK(client.Submit(now, SomeClaim(), now + seconds(3), 1).messages.empty());
  now += seconds(1);
  CHECK(client.OnUp(now, kA).messages.size() == 1);
  client.OnDown(kA);
  now += seconds(1);
  CHECK(client.Tick(now).messages.empty());
}

}  // namespace
}  // namespace sapphirebank
