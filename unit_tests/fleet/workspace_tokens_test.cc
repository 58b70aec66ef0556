#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <vector>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/workspace_token_buckets.h"
#include "sapphirebank/fleet/workspace_token_cache.h"
#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

// Maximum of requests in a window of 5 s by the platform's terms.
double MaxRequestsInWindow(double rate, double burst) {
  return (rate * 5 + burst) * 1.1 + 20;
}

TEST_CASE("all token buckets together stay within the limit in every window",
          "[fleet]") {
  const auto rate = GENERATE(2.0, 15.0, 67.0, 400.0);
  const auto hub_count = GENERATE(std::size_t{1}, 4, 5, 12);
  const auto plan = MakePlan(MakePlanParts(1, rate, rate));
  std::vector<WorkspaceTokenBuckets> hubs(hub_count);
  WorkspaceTokenBuckets leaders;
  leaders.Configure(kStart, *plan, LeaderBucketShare(4));
  for (WorkspaceTokenBuckets& hub : hubs) {
    hub.Configure(kStart, *plan,
                  HubBucketShare(1.0 / static_cast<double>(hub_count)));
  }
  // No requests at first, so that buckets fill; then more than the rate for 30
  // s.
  std::deque<Instant> taken;
  std::size_t most = 0;
  std::size_t total = 0;
  for (int step = 0; step < 30'000; ++step) {
    const Instant now = kStart + seconds(20) + step * milliseconds(1);
    WorkspaceTokenBuckets& hub =
        hubs[static_cast<std::size_t>(step) % hub_count];
    std::uint32_t got = hub.TakeTokens(now, WorkspaceId("north"), 1);
    if (got == 0) got = leaders.TakeTokens(now, WorkspaceId("north"), 1);
    if (got > 0) taken.push_back(now);
    total += got;
    while (!taken.empty() && now - taken.front() >= seconds(5)) {
      taken.pop_front();
    }
    most = std::max(most, taken.size());
  }
  // Unspent tokens at entry hosts add to this.
  const double in_hand =
      LeaderBucketShare(4).rate_fraction * rate * ToSeconds(kGrantLifetime);
  CHECK(static_cast<double>(most) + in_hand <= MaxRequestsInWindow(rate, rate));
  CHECK(static_cast<double>(total) >= rate * 30);
}

TEST_CASE("a hub serves most requests of a small workspace without the leader",
          "[fleet]") {
  // Six requests per second of the ten, of which each of four hubs receives a
  // quarter at random times.
  constexpr double kRate = 10;
  WorkspaceTokenBuckets hub;
  hub.Configure(kStart, *MakePlan(MakePlanParts(1, kRate, kRate)),
                HubBucketShare(0.25));
  Random random(5);
  Instant now = kStart;
  int missing = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    now += FromSeconds(-std::log(1 - random.Unit()) / 1.5);
    if (hub.TakeTokens(now, WorkspaceId("north"), 1) == 0) ++missing;
  }
  CHECK(missing < kRequests / 3);
}

TEST_CASE("a changed rate keeps a bucket's tokens", "[fleet]") {
  WorkspaceTokenBuckets buckets;
  buckets.Configure(kStart, *MakePlan(MakePlanParts(1, 10, 10)), {1, 1});
  const Instant now = kStart + seconds(10);
  CHECK(buckets.TakeTokens(now, WorkspaceId("north"), 10) == 10);
  buckets.Configure(now, *MakePlan(MakePlanParts(2, 20, 20)), {1, 1});
  CHECK(buckets.TakeTokens(now, WorkspaceId("north"), 1) == 0);
  CHECK(buckets.TakeTokens(now + seconds(1), WorkspaceId("north"), 40) == 20);
}

TEST_CASE("a workspace without a rate is not limited", "[fleet]") {
  WorkspaceTokenBuckets buckets;
  buckets.Configure(kStart, *MakePlan(MakePlanParts(1, 0, 0)), {1, 1});
  CHECK(buckets.TakeTokens(kStart, WorkspaceId("north"), 99) == 99);
}

TEST_CASE("granted tokens expire", "[fleet]") {
  WorkspaceTokenCache cache;
  cache.Add(kStart, 2);
  CHECK(cache.Available(kStart) == 2);
  CHECK(cache.TryTake(kStart + milliseconds(1)));
  CHECK_FALSE(cache.TryTake(kStart + kGrantLifetime));
}

TEST_CASE("a host's local share stays below an even one", "[fleet]") {
  WorkspaceTokenCache cache;
  cache.Add(kStart, 0);
  // No host starts with a whole token: many hosts would exceed a small rate.
  CHECK_FALSE(cache.TryTakeLocalShare(kStart, 100, 10));
  int taken = 0;
  for (int i = 0; i < 10'000; ++i) {
    if (cache.TryTakeLocalShare(kStart + i * milliseconds(1), 100, 10)) ++taken;
  }
  CHECK(taken >= 60);
  CHECK(taken <= 100);
}

}  // namespace
}  // namespace sapphirebank
