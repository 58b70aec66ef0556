#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <vector>

#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/allowance_bank.h"
#include "sapphirebank/fleet/allowance_stock.h"
#include "unit_tests/fleet/fleet_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

// What a window of 5 s may bring, by the platform's terms.
double Bound(double rate, double burst) {
  return (rate * 5 + burst) * 1.1 + 20;
}

TEST_CASE("all banks together keep to the rate in every window", "[fleet]") {
  const auto rate = GENERATE(2.0, 15.0, 67.0, 400.0);
  const auto hub_count = GENERATE(std::size_t{1}, 4, 5, 12);
  const auto plan = MakePlan(APlan(1, rate, rate));
  std::vector<AllowanceBank> hubs(hub_count);
  AllowanceBank leaders;
  leaders.Adopt(kStart, *plan, kLeadersShare);
  for (AllowanceBank& hub : hubs) {
    hub.Adopt(kStart, *plan, HubShare(1.0 / static_cast<double>(hub_count)));
  }
  // Nothing is asked for a while; then more than there is, for half a minute.
  std::deque<Instant> taken;
  std::size_t most = 0;
  std::size_t total = 0;
  for (int step = 0; step < 30'000; ++step) {
    const Instant now = kStart + seconds(20) + step * milliseconds(1);
    AllowanceBank& hub = hubs[static_cast<std::size_t>(step) % hub_count];
    std::uint32_t got = hub.Take(now, WorkspaceId("north"), 1);
    if (got == 0) got = leaders.Take(now, WorkspaceId("north"), 1);
    if (got > 0) taken.push_back(now);
    total += got;
    while (!taken.empty() && now - taken.front() >= seconds(5)) {
      taken.pop_front();
    }
    most = std::max(most, taken.size());
  }
  // Tokens in hand at entry hosts come on top.
  const double in_hand =
      kLeadersShare.of_rate * rate * ToSeconds(kGrantLifetime);
  CHECK(static_cast<double>(most) + in_hand <= Bound(rate, rate));
  CHECK(static_cast<double>(total) >= rate * 30);
}

TEST_CASE("a small workspace seldom needs the leader", "[fleet]") {
  // Six requests a second of the ten, of which each of four hubs sees a
  // quarter, at random times.
  constexpr double kRate = 10;
  AllowanceBank hub;
  hub.Adopt(kStart, *MakePlan(APlan(1, kRate, kRate)), HubShare(0.25));
  Random random(5);
  Instant now = kStart;
  int missing = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    now += FromSeconds(-std::log(1 - random.Unit()) / 1.5);
    if (hub.Take(now, WorkspaceId("north"), 1) == 0) ++missing;
  }
  CHECK(missing < kRequests / 3);
}

TEST_CASE("a changed rate keeps what a bucket holds", "[fleet]") {
  AllowanceBank bank;
  bank.Adopt(kStart, *MakePlan(APlan(1, 10, 10)), {1, 1});
  const Instant now = kStart + seconds(10);
  CHECK(bank.Take(now, WorkspaceId("north"), 10) == 10);
  bank.Adopt(now, *MakePlan(APlan(2, 20, 20)), {1, 1});
  CHECK(bank.Take(now, WorkspaceId("north"), 1) == 0);
  CHECK(bank.Take(now + seconds(1), WorkspaceId("north"), 40) == 20);
}

TEST_CASE("a workspace without a rate is not limited", "[fleet]") {
  AllowanceBank bank;
  bank.Adopt(kStart, *MakePlan(APlan(1, 0, 0)), {1, 1});
  CHECK(bank.Take(kStart, WorkspaceId("north"), 99) == 99);
}

TEST_CASE("tokens in hand expire", "[fleet]") {
  AllowanceStock stock;
  stock.Add(kStart, 2);
  CHECK(stock.Held(kStart) == 2);
  CHECK(stock.Take(kStart + milliseconds(1)));
  CHECK_FALSE(stock.Take(kStart + kGrantLifetime));
}

TEST_CASE("a host's own share stays below an even one", "[fleet]") {
  AllowanceStock stock;
  stock.Add(kStart, 0);
  // No host has a whole token at once: many would exceed a small rate.
  CHECK_FALSE(stock.TakeOwnShare(kStart, 100, 10));
  int taken = 0;
  for (int i = 0; i < 10'000; ++i) {
    if (stock.TakeOwnShare(kStart + i * milliseconds(1), 100, 10)) ++taken;
  }
  CHECK(taken >= 60);
  CHECK(taken <= 100);
}

}  // namespace
}  // namespace sapphirebank
