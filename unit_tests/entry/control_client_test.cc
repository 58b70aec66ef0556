#include "sapphirebank/entry/control_client.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

using std::chrono::seconds;

const HostId kControlA("control-a");
const HostId kControlB("control-b");

Claim MakeClaim() {
  Claim claim;
  claim.key = {WorkspaceId("kochi"), "key"};
  claim.holder = {RequestId("r"), HostId("entry"), 1};
  return claim;
}

nlohmann::json Reply(std::uint64_t token, Result<CommandResult> result,
                     std::optional<HostId> leader = std::nullopt) {
  return EncodeControlResponse({token, std::move(result), std::move(leader)});
}

TEST_CASE("a command is resent to the leader that a reply names", "[entry]") {
  ControlClient client;
  const Instant now;
  client.OnUp(now, kControlA);
  client.OnUp(now, kControlB);
  const auto submitted = client.Submit(now, MakeClaim(), now + seconds(3), 1);
  REQUIRE(submitted.messages.size() == 1);
  CHECK(submitted.messages.front().to == kControlA);
  const auto redirected = client.OnReply(
      now, kControlA, Reply(1, Fail(ErrorKind::kNotLeader, "no"), kControlB));
  REQUIRE(redirected.messages.size() == 1);
  CHECK(redirected.messages.front().to == kControlB);
  CHECK(redirected.messages.front().body == submitted.messages.front().body);
  const auto answered = client.OnReply(
      now, kControlB, Reply(1, ClaimResult{ClaimState::kAnswered, "bytes"}));
  REQUIRE(answered.answers.size() == 1);
  CHECK(std::get<ClaimResult>(*answered.answers.front().result).answer ==
        "bytes");
  CHECK(client.pending() == 0);
  // A duplicate reply is ignored.
  CHECK(client.OnReply(now, kControlB, Reply(1, Done{})).answers.empty());
}

TEST_CASE(
    "an unanswered command is resent to the next host and fails at its "
    "deadline",
    "[entry]") {
  ControlClient client;
  Instant now;
  client.OnUp(now, kControlA);
  client.OnUp(now, kControlB);
  client.Submit(now, MakeClaim(), now + seconds(3), 1);
  now += seconds(1);
  const auto resent = client.Tick(now);
  REQUIRE(resent.messages.size() == 1);
  CHECK(resent.messages.front().to == kControlB);
  now += seconds(2);
  const auto expired = client.Tick(now);
  REQUIRE(expired.answers.size() == 1);
  CHECK(expired.answers.front().result.error().kind ==
        ErrorKind::kIdempotencyUnavailable);
}

TEST_CASE("a command waits until a control host becomes reachable", "[entry]") {
  ControlClient client;
  Instant now;
  CHECK(client.Submit(now, MakeClaim(), now + seconds(3), 1).messages.empty());
  now += seconds(1);
  CHECK(client.OnUp(now, kControlA).messages.size() == 1);
  client.OnDown(kControlA);
  now += seconds(1);
  CHECK(client.Tick(now).messages.empty());
}

}  // namespace
}  // namespace sapphirebank
