// Fault cases of the distributed token buckets: one owner, two hosts and the
// expected outcome of each fault.

#include <catch2/catch.hpp>
#include <functional>
#include <map>

#include "sapphirebank/lease/lease_settings.h"
#include "sapphirebank/rate/rate_admission.h"
#include "sapphirebank/rate/rate_codec.h"
#include "sapphirebank/rate/rate_owner.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WorkspaceId kWorkspace("teranga");
constexpr RateLimit kLimit{.rate = 10, .burst = 40};

// An owner and the hosts "a" and "b" on one clock; messages arrive at once.
class RateFixture {
 public:
  RateFixture() {
    Restart("a", 1);
    Restart("b", 1);
    now += seconds(1);
    Acquire(1);
    now += seconds(10);
  }

  void Restart(const char* host, Incarnation incarnation) {
    hosts_.insert_or_assign(
        HostId(host),
        RateAdmission({}, incarnation, [this](Instant, std::string_view) {
          return owner_known ? std::optional<Owner>(Owner{HostId("o"), 1})
                             : std::nullopt;
        }));
  }

  void Acquire(Term next) {
    term = next;
    owner.OnAcquired(now, RateBucket(kWorkspace, {}), next);
  }

  // Returns the number of `count` requests at `host` that are admitted,
  // including those that wait.
  int Submit(const char* host, int count) {
    RateAdmission& admission = hosts_.at(HostId(host));
    admitted_ = 0;
    for (int i = 0; i < count; ++i) {
      const auto decision =
          admission.Submit(now, ++request_, kWorkspace, kLimit);
      if (decision) Count(*decision);
      Flush(host);
    }
    for (int i = 0; i < 6; ++i) {
      now += milliseconds(2);
      for (const auto& decision : admission.Tick(now)) Count(decision);
      FlushAll();
    }
    return admitted_;
  }

  void FlushAll() {
    for (const char* host : {"a", "b"}) Flush(host);
  }

  void Flush(const char* host) {
    RateAdmission& admission = hosts_.at(HostId(host));
    for (RateEffect& effect : admission.Flush(now)) {
      const auto& token_request = std::get<TokenRequest>(effect.message);
      requests.push_back(token_request);
      if (!drop_requests) DeliverRequest(host, token_request);
    }
  }

  void DeliverRequest(const char* host, const TokenRequest& token_request) {
    for (RateEffect& effect :
         owner.OnTokenRequest(now, HostId(host), token_request)) {
      if (const auto* response = std::get_if<TokenResponse>(&effect.message)) {
        responses.push_back(*response);
        if (!drop_responses) DeliverResponse(effect.to, *response);
      }
      if (const auto* recall = std::get_if<TokenRecall>(&effect.message)) {
        hosts_.at(effect.to).OnRecall(now, *recall);
      }
    }
  }

  void DeliverResponse(const HostId& host, const TokenResponse& response) {
    for (const auto& decision :
         hosts_.at(host).OnTokenResponse(now, response)) {
      Count(decision);
    }
  }

  void Count(const RateAdmission::Decision& decision) {
    last = decision.outcome;
    if (decision.outcome == AcquireOutcome::kAdmitted) ++admitted_;
  }

  Instant now;
  std::optional<Term> term;
  bool owner_known = true;
  bool drop_requests = false;   // Token requests are lost.
  bool drop_responses = false;  // Responses are lost.
  std::vector<TokenRequest> requests;
  std::vector<TokenResponse> responses;
  AcquireOutcome last = AcquireOutcome::kWait;
  RateLimit limit = kLimit;
  RateOwner owner{{},
                  [this](const WorkspaceId& id) {
                    return id == kWorkspace ? std::optional(limit)
                                            : std::nullopt;
                  },
                  [this](Instant, std::uint32_t) { return term; }};

 private:
  std::map<HostId, RateAdmission> hosts_;
  RateAdmission::RequestNumber request_ = 0;
  int admitted_ = 0;
};

TEST_CASE("admission under each fault is within its expected bounds",
          "[rate]") {
  struct Row {
    const char* fault;
    // Runs after 10 requests at "a". Less than 1 s passes.
    std::function<void(RateFixture&)> inject;
    // Bounds of the admitted ones of 60 requests at "b" after that.
    int least;
    int most;
    AcquireOutcome last;
  };
  const auto exceeded = AcquireOutcome::kRateExceeded;
  const auto unavailable = AcquireOutcome::kUnavailable;
  const Row rows[] = {
      {"none", [](RateFixture&) {}, 30, 31, exceeded},
      {"owner frozen",
       [](RateFixture& fixture) { fixture.drop_requests = true; }, 0, 0,
       unavailable},
      {"responses lost",
       [](RateFixture& fixture) { fixture.drop_responses = true; }, 0, 0,
       unavailable},
      {"owner unknown",
       [](RateFixture& fixture) { fixture.owner_known = false; }, 0, 0,
       unavailable},
      {"lease lost", [](RateFixture& fixture) { fixture.term.reset(); }, 0, 0,
       unavailable},
      {"new owner at once", [](RateFixture& fixture) { fixture.Acquire(2); }, 0,
       0, exceeded},
      {"new owner after about a second",
       [](RateFixture& fixture) {
         fixture.Acquire(2);
         fixture.now += milliseconds(990);
       },
       4, 5, exceeded},
      {"token requests duplicated",
       [](RateFixture& fixture) {
         for (const TokenRequest& token_request : fixture.requests)
           fixture.DeliverRequest("a", token_request);
       },
       30, 31, exceeded},
      {"responses duplicated",
       [](RateFixture& fixture) {
         for (const TokenResponse& response : fixture.responses) {
           fixture.DeliverResponse(HostId("a"), response);
         }
       },
       30, 31, exceeded},
      // The one token that the host had prefetched (its demand of 20 ms) is
      // lost.
      {"requesting host restarts",
       [](RateFixture& fixture) { fixture.Restart("a", 2); }, 29, 30, exceeded},
      {"burst lowered", [](RateFixture& fixture) { fixture.limit.burst = 12; },
       12, 12, exceeded},
      {"burst raised", [](RateFixture& fixture) { fixture.limit.burst = 400; },
       30, 31, exceeded},
      {"workspace removed",
       [](RateFixture& fixture) {
         fixture.owner = RateOwner(
             {}, [](const WorkspaceId&) { return std::nullopt; },
             [](Instant, std::uint32_t) { return Term{1}; });
       },
       0, 0, exceeded},
  };
  for (const Row& row : rows) {
    INFO(row.fault);
    RateFixture fixture;
    REQUIRE(fixture.Submit("a", 10) == 10);
    row.inject(fixture);
    const int admitted = fixture.Submit("b", 60);
    CHECK(admitted >= row.least);
    CHECK(admitted <= row.most);
    CHECK(fixture.last == row.last);
  }
}

// With a long horizon, host "a" prefetches tokens.
RateSettings LongHorizonSettings() {
  RateSettings settings;
  settings.horizon = seconds(100);
  return settings;
}

TEST_CASE("a host stops using tokens before the owner lets them expire",
          "[rate]") {
  const RateSettings settings = LongHorizonSettings();
  const Instant start = Instant() + seconds(100);
  RateOwner owner(
      settings, [](const WorkspaceId&) { return kLimit; },
      [](Instant, std::uint32_t) { return Term{1}; });
  owner.OnAcquired(Instant(), RateBucket(kWorkspace, settings), 1);
  RateAdmission host(settings, 1, [](Instant, std::string_view) {
    return std::optional<Owner>(Owner{HostId("o"), 1});
  });
  CHECK_FALSE(host.Submit(start, 1, kWorkspace, kLimit));
  const auto requests = host.Flush(start);
  REQUIRE(requests.size() == 1);
  // The request arrives at once, the response 400 ms later.
  const auto effects = owner.OnTokenRequest(
      start, HostId("a"), std::get<TokenRequest>(requests[0].message));
  const Instant received = start + milliseconds(400);
  host.OnTokenResponse(received, std::get<TokenResponse>(effects[0].message));
  const Duration margin = DriftMargin(settings.grant_ttl, settings.max_drift);
  // The host stops using the tokens before the end of their lifetime, counted
  // from its request at `start`.
  const Instant last = start + settings.grant_ttl - margin;
  const auto early = host.Submit(last - Duration(1), 2, kWorkspace, kLimit);
  REQUIRE(early);
  CHECK(early->outcome == AcquireOutcome::kAdmitted);
  CHECK_FALSE(host.Submit(last, 3, kWorkspace, kLimit));
  // The owner counts the tokens as outstanding until after that time.
  const auto grantable = [&](Instant now) {
    TokenRequest token_request{
        .incarnation = 1, .sequence = 1, .requests = {{kWorkspace}}};
    token_request.requests[0].needed = 1000;
    RateOwner copy = owner;
    const auto response = copy.OnTokenRequest(now, HostId("b"), token_request);
    return std::get<TokenResponse>(response[0].message).grants[0].granted;
  };
  const Instant end = start + settings.grant_ttl + margin;
  const std::uint64_t outstanding =
      std::get<TokenResponse>(effects[0].message).grants[0].granted;
  CHECK(outstanding >= 2);
  CHECK(grantable(end - Duration(1)) == 40 - outstanding);
  CHECK(grantable(end + seconds(100)) == 40);
}

TEST_CASE("returned tokens are granted again only once", "[rate]") {
  struct Row {
    const char* fault;
    Duration delay;  // From the grant to the arrival of the returned tokens.
    int copies;
    std::uint64_t grantable;
  };
  // 5 of 40 tokens are outstanding. A return after the expiry of the grant is
  // too late: the refill of 10 tokens/s has replaced them.
  const Row rows[] = {{"in time", milliseconds(100), 1, 40},
                      {"duplicated", milliseconds(100), 3, 40},
                      {"late", milliseconds(600), 1, 35},
                      {"late and duplicated", milliseconds(600), 3, 35}};
  for (const Row& row : rows) {
    INFO(row.fault);
    const Instant start = Instant() + seconds(100);
    RateOwner owner(
        {}, [](const WorkspaceId&) { return kLimit; },
        [](Instant, std::uint32_t) { return Term{1}; });
    owner.OnAcquired(Instant(), RateBucket(kWorkspace, {}), 1);
    TokenRequest token_request{
        .incarnation = 1, .sequence = 1, .requests = {{kWorkspace}}};
    token_request.requests[0].needed = 5;
    const auto effects =
        owner.OnTokenRequest(start, HostId("a"), token_request);
    const WorkspaceTokenGrant grant =
        std::get<TokenResponse>(effects[0].message).grants[0];
    REQUIRE(grant.granted == 5);
    token_request.requests[0] = {kWorkspace, grant.term, grant.account, 0, 5,
                                 0,          0};
    for (int i = 0; i < row.copies; ++i) {
      token_request.sequence = 2;
      owner.OnTokenRequest(start + row.delay, HostId("a"), token_request);
    }
    TokenRequest other{
        .incarnation = 1, .sequence = 1, .requests = {{kWorkspace}}};
    other.requests[0].needed = 1000;
    const auto response =
        owner.OnTokenRequest(start + row.delay, HostId("b"), other);
    CHECK(std::get<TokenResponse>(response[0].message).grants[0].granted ==
          row.grantable);
  }
}

TEST_CASE("a duplicated token request is granted once", "[rate]") {
  const Instant start = Instant() + seconds(100);
  RateOwner owner(
      {}, [](const WorkspaceId&) { return kLimit; },
      [](Instant, std::uint32_t) { return Term{1}; });
  owner.OnAcquired(Instant(), RateBucket(kWorkspace, {}), 1);
  TokenRequest token_request{
      .incarnation = 1, .sequence = 7, .requests = {{kWorkspace}}};
  token_request.requests[0].needed = 5;
  struct Row {
    const char* message;
    Incarnation incarnation;
    std::uint64_t sequence;
    std::uint64_t granted;
  };
  const Row rows[] = {{"first", 1, 7, 5},
                      {"duplicated", 1, 7, 5},
                      {"older", 1, 6, 5},
                      {"of an earlier process", 0, 9, 0},
                      {"next", 1, 8, 10}};
  for (const Row& row : rows) {
    INFO(row.message);
    token_request.incarnation = row.incarnation;
    token_request.sequence = row.sequence;
    const auto effects =
        owner.OnTokenRequest(start, HostId("a"), token_request);
    const auto& response = std::get<TokenResponse>(effects[0].message);
    CHECK(response.grants[0].granted == row.granted);
  }
}

TEST_CASE("waiting requests are admitted in order of arrival", "[rate]") {
  RateAdmission host({}, 1, [](Instant, std::string_view) {
    return std::optional<Owner>(Owner{HostId("o"), 1});
  });
  Instant now = Instant() + seconds(1);
  for (RateAdmission::RequestNumber i = 1; i <= 4; ++i) {
    CHECK_FALSE(host.Submit(now, i, kWorkspace, kLimit));
  }
  host.Cancel(2, kWorkspace);
  const auto effects = host.Flush(now);
  const auto& token_request = std::get<TokenRequest>(effects.at(0).message);
  CHECK(token_request.requests[0].needed == 3);
  TokenResponse response{
      .incarnation = 1, .sequence = token_request.sequence, .grants = {}};
  response.grants.push_back({.workspace = kWorkspace,
                             .status = GrantStatus::kExhausted,
                             .term = 1,
                             .account = 1,
                             .granted = 2,
                             .retry_after = milliseconds(50)});
  const auto decisions = host.OnTokenResponse(now, response);
  REQUIRE(decisions.size() == 3);
  CHECK(decisions[0].request == 1);
  CHECK(decisions[0].outcome == AcquireOutcome::kAdmitted);
  CHECK(decisions[1].request == 3);
  CHECK(decisions[1].outcome == AcquireOutcome::kAdmitted);
  CHECK(decisions[2].outcome == AcquireOutcome::kRateExceeded);
}

TEST_CASE("idle workspaces are removed from memory", "[rate]") {
  RateFixture fixture;
  fixture.Submit("a", 10);
  CHECK(fixture.owner.workspace_count() == 1);
  fixture.now += seconds(60);
  fixture.owner.Tick(fixture.now);
  CHECK(fixture.owner.workspace_count() == 0);
  // The bucket is full when the workspace comes back, and holds no more than
  // the burst.
  const int admitted = fixture.Submit("a", 60);
  CHECK(admitted == 40);
}

TEST_CASE(
    "rate messages are unchanged after encoding, and invalid ones rejected",
    "[rate]") {
  const std::vector<RateMessage> messages = {
      TokenRequest{1, 2, {{kWorkspace, 3, 4, 5, 6, 7, 8}}},
      TokenResponse{1,
                    2,
                    {{kWorkspace, GrantStatus::kRecalling, 3, 4, 5,
                      milliseconds(6), true}}},
      TokenRecall{{kWorkspace}}};
  for (const RateMessage& message : messages) {
    const auto bytes = nlohmann::json::to_cbor(EncodeRateMessage(message));
    const auto read = DecodeRateMessage(nlohmann::json::from_cbor(bytes));
    REQUIRE(read);
    CHECK(*read == message);
  }
  for (const char* text :
       {"null", R"({"type":"x"})", R"({"type":"rate_ask"})",
        R"({"type":"rate_ask","life":1,"sequence":-1,"asks":[]})",
        R"({"type":"rate_ask","life":1,"sequence":1,"asks":[["w"]]})",
        R"({"type":"rate_ask","life":1,"sequence":1,
            "asks":[["w",1,1,1,1,4294967296,1]]})",
        R"({"type":"rate_answer","life":1,"sequence":1,
            "grants":[["w",9,1,1,1,1,true]]})",
        R"({"type":"rate_recall","workspaces":[1]})"}) {
    INFO(text);
    const auto read = DecodeRateMessage(nlohmann::json::parse(text));
    REQUIRE_FALSE(read);
    CHECK(read.error().kind == ErrorKind::kPeerRejected);
  }
}

}  // namespace
}  // namespace sapphirebank
