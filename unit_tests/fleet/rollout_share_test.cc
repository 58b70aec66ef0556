#include "sapphirebank/fleet/rollout_share.h"

#include <catch2/catch.hpp>
#include <vector>

#include "sapphirebank/core/random.h"
#include "unit_tests/fleet/rollout_fixtures.h"

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr double kShare = 0.08;
constexpr double kFleetStart = 20;
const ServiceId kDesk("desk");

using Rollouts = std::map<ServiceId, Rollout>;

Rollouts InTrial(std::uint64_t order = 7) {
  return {{kDesk, MakeRollout(RolloutPhase::kTrial, order)}};
}

RolloutShareSettings Settings() {
  RolloutShareSettings settings;
  settings.share = kShare;
  settings.fleet_start = kFleetStart;
  return settings;
}

// Hubs that get the requests of one service at random, and what they granted.
struct Hubs {
  std::vector<RolloutShare> shares;
  Random random{5};
  int requests = 0;
  std::map<std::string, int> granted;

  explicit Hubs(std::size_t count) : shares(count, RolloutShare(Settings())) {
    for (RolloutShare& share : shares) share.SetRollouts({}, count);
  }

  void Order(const Rollouts& rollouts) {
    for (RolloutShare& share : shares) {
      share.SetRollouts(rollouts, shares.size());
    }
  }
  bool Request(Instant now, RolloutShare& share, const std::string& route) {
    ++requests;
    const bool is_granted = share.CanGrant(now, kDesk, route);
    share.CountRequest(kDesk, route, is_granted);
    if (is_granted) ++granted[route];
    return is_granted;
  }
  // Plays requests at `rate` a second; hub 0 is confirmed last at `cut_off_at`.
  void Play(Instant from, Instant until, double rate,
            Instant cut_off_at = Instant::max()) {
    for (Instant now = from; now < until; now += FromSeconds(1 / rate)) {
      for (RolloutShare& share : shares) {
        const bool is_cut = &share == shares.data() && now > cut_off_at;
        if (!is_cut) share.RecordConfirmation(now - milliseconds(300));
      }
      Request(now, shares[random.Below(shares.size())],
              random.Unit() < 0.02 ? "rare" : "usual");
    }
  }
  int Granted() {
    int sum = 0;
    for (const auto& [route, count] : granted) sum += count;
    return sum;
  }
};

// Guards against a share that holds at one rate of requests only: 4 a second,
// where each hub sees one in seconds, and 400.
TEST_CASE("the shares of all hubs sum to the bound on small and large services",
          "[fleet]") {
  for (const double rate : {4.0, 400.0}) {
    INFO(rate);
    Hubs hubs(11);
    hubs.Order(InTrial());
    hubs.Play(kStart, kStart + seconds(12), rate);
    CHECK(hubs.Granted() <= kShare * hubs.requests + kFleetStart);
    CHECK(hubs.Granted() >= 0.9 * kShare * hubs.requests);
    CHECK(hubs.granted["usual"] > 0);
  }
}

// Guards against a fault on a rare route that the trial does not see.
TEST_CASE("the new version gets a rare route often, but not all of it",
          "[fleet]") {
  Hubs hubs(1);
  hubs.Order(InTrial());
  hubs.Play(kStart, kStart + seconds(30), 400);
  const int rare_requests = hubs.requests / 50;
  CHECK(hubs.granted["rare"] > 1.5 * kShare * rare_requests);
  CHECK(hubs.granted["rare"] < 0.35 * rare_requests);
  CHECK(hubs.Granted() <= kShare * hubs.requests + 1);
}

// Guards against a hub that goes on granting after a rollback that it cannot
// learn of.
TEST_CASE("a hub that is cut off from the leader soon grants nothing",
          "[fleet]") {
  Hubs hubs(3);
  hubs.Order(InTrial());
  const Instant cut_off_at = kStart + seconds(2);
  hubs.Play(kStart, kStart + seconds(6), 100, cut_off_at);
  RolloutShare& cut_off = hubs.shares.front();
  CHECK_FALSE(hubs.Request(kStart + seconds(6), cut_off, "usual"));
  CHECK(hubs.Granted() <= kShare * hubs.requests + kFleetStart);
  const auto changes = cut_off.TakeChanges();
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].is_granting);
  CHECK_FALSE(changes[1].is_granting);
  CHECK(changes[1].confirmation_age >= milliseconds(1500));
  CHECK(changes[1].confirmation_age < milliseconds(1900));
  // Confirmed again, it has saved up no more than its limit.
  const Instant back = kStart + seconds(60);
  for (Instant now = kStart + seconds(6); now < back; now += milliseconds(30)) {
    hubs.Request(now, cut_off, "usual");
  }
  cut_off.RecordConfirmation(back);
  int at_once = 0;
  while (cut_off.CanGrant(back, kDesk, "usual")) {
    cut_off.CountRequest(kDesk, "usual", true);
    ++at_once;
  }
  CHECK(at_once > 0);
  CHECK(at_once <= 4);
}

// Guards against hubs that restart often and begin with new credit each time.
TEST_CASE("a hub that finds a trial at its start begins at zero", "[fleet]") {
  RolloutShare share(Settings());
  share.SetRollouts(InTrial(), 1);
  share.RecordConfirmation(kStart);
  int requests = 0;
  while (!share.CanGrant(kStart, kDesk, "usual")) {
    share.CountRequest(kDesk, "usual", false);
    ++requests;
  }
  CHECK(requests >= 1 / kShare);
  // The next order is a change that it sees, and replaces what was saved up.
  for (int i = 0; i < 100; ++i) share.CountRequest(kDesk, "usual", false);
  share.SetRollouts(InTrial(9), 1);
  REQUIRE(share.CanGrant(kStart, kDesk, "usual"));
  share.CountRequest(kDesk, "usual", true);
  CHECK_FALSE(share.CanGrant(kStart, kDesk, "usual"));
}

TEST_CASE("only a trial has a share", "[fleet]") {
  for (const RolloutPhase phase :
       {RolloutPhase::kSwitch, RolloutPhase::kCompleted,
        RolloutPhase::kRolledBack}) {
    RolloutShare share(Settings());
    share.SetRollouts({}, 1);
    share.RecordConfirmation(kStart);
    share.SetRollouts(InTrial(), 1);
    CHECK(share.CanGrant(kStart, kDesk, "usual"));
    share.SetRollouts({{kDesk, MakeRollout(phase)}}, 1);
    CHECK_FALSE(share.CanGrant(kStart, kDesk, "usual"));
  }
  RolloutShare without{RolloutShareSettings()};
  without.SetRollouts({}, 1);
  without.SetRollouts(InTrial(), 1);
  without.RecordConfirmation(kStart);
  CHECK_FALSE(without.CanGrant(kStart, kDesk, "usual"));
}

}  // namespace
}  // namespace sapphirebank
