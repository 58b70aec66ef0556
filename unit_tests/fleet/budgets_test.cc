#include <catch2/catch.hpp>

#include "sapphirebank/core/compression.h"
#include "sapphirebank/core/random.h"
#include "sapphirebank/fleet/crashing_request_detector.h"
#include "sapphirebank/fleet/plan_history.h"
#include "sapphirebank/fleet/retry_budget_share.h"

namespace sapphirebank {
namespace {

using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
const ServiceId kDesk("desk");

TEST_CASE("all retry budget shares together stay within the fleet's budget",
          "[fleet]") {
  const auto hosts = GENERATE(1, 10, 44, 60);
  constexpr double kSlack = 62;
  std::vector<RetryBudgetShare> host_shares(
      static_cast<std::size_t>(hosts),
      RetryBudgetShare(kEntryHostRetryShare, kSlack));
  for (RetryBudgetShare& host_share : host_shares)
    host_share.SetShareCount(hosts);
  constexpr std::size_t kHubs = 4;
  std::vector<RetryBudgetShare> hubs(kHubs,
                                     RetryBudgetShare(kHubRetryShare, kSlack));
  for (RetryBudgetShare& hub : hubs) hub.SetShareCount(kHubs);
  // Half as many configuration checks as requests add retries too. The first
  // round accumulates retries, in the second everything fails.
  constexpr int kRequests = 2000;
  int spent = 0;
  for (int round = 0; round < 2; ++round) {
    for (int i = 0; i < kRequests * 3 / 2; ++i) {
      RetryBudgetShare& host_share =
          host_shares[static_cast<std::size_t>(i % hosts)];
      RetryBudgetShare& hub = hubs[static_cast<std::size_t>(i) % kHubs];
      host_share.CountRequest(kDesk);
      hub.CountRequest(kDesk);
      if (round == 1 && (hub.TryAcquire(kDesk) || host_share.TryAcquire(kDesk)))
        ++spent;
    }
  }
  CHECK(spent <= 0.2 * kRequests + kSlack);
  CHECK(spent >= 0.1 * kRequests);
}

TEST_CASE("hubs that all restart add few retries", "[fleet]") {
  constexpr double kSlack = 62;
  constexpr int kHubs = 5;
  int spent = 0;
  for (int start = 0; start < 2; ++start) {
    for (int i = 0; i < kHubs; ++i) {
      RetryBudgetShare hub(kHubRetryShare, kSlack);
      hub.SetShareCount(kHubs);
      while (hub.TryAcquire(kDesk)) ++spent;
    }
  }
  CHECK(spent >= 2 * kHubs);
  CHECK(spent <= kSlack / 3);
}

TEST_CASE("a retry needs a whole retry in the budget share", "[fleet]") {
  RetryBudgetShare host_share(kEntryHostRetryShare, 60);
  CHECK_FALSE(host_share.CanRetry(kDesk));
  CHECK_FALSE(host_share.TryAcquire(kDesk));
  for (int i = 0; i < 34; ++i) host_share.CountRequest(kDesk);
  CHECK(host_share.CanRetry(kDesk));
  CHECK(host_share.TryAcquire(kDesk));
}

TEST_CASE("a request that crashes several servers is quarantined", "[fleet]") {
  CrashingRequestDetector detector{CrashingRequestSettings()};
  const RequestFingerprint request = 77;
  CHECK_FALSE(detector.RecordCrash(kStart, request, BackendId("a")));
  CHECK_FALSE(detector.RecordCrash(kStart, request, BackendId("a")));
  CHECK_FALSE(detector.RecordCrash(kStart, request, BackendId("b")));
  CHECK_FALSE(detector.RecordCrash(kStart, 78, BackendId("c")));
  CHECK(detector.Quarantines(kStart).empty());
  CHECK(detector.RecordCrash(kStart + seconds(1), request, BackendId("c")));
  const auto quarantines = detector.Quarantines(kStart + seconds(2));
  REQUIRE(quarantines.size() == 1);
  CHECK(quarantines[0].request == request);
  CHECK(detector.Quarantines(kStart + seconds(100)).empty());
}

TEST_CASE("crashes far apart do not quarantine a request", "[fleet]") {
  CrashingRequestDetector detector{CrashingRequestSettings()};
  CHECK_FALSE(detector.RecordCrash(kStart, 1, BackendId("a")));
  CHECK_FALSE(detector.RecordCrash(kStart + seconds(20), 1, BackendId("b")));
  CHECK_FALSE(detector.RecordCrash(kStart + seconds(40), 1, BackendId("c")));
}

std::string TextOf(const PlanUpdate& update) {
  constexpr std::size_t kMaxBytes = std::size_t{1} << 20U;
  return Decompress(update.compressed_text, kMaxBytes).value();
}

TEST_CASE(
    "a host gets a patch to its plan, or the full plan if its own is too old",
    "[fleet]") {
  PlanHistory history;
  nlohmann::json document = {{"routes", nlohmann::json::object()}};
  for (PlanVersion version = 1; version <= 12; ++version) {
    document["routes"]["r" + std::to_string(version)] =
        std::string(200, static_cast<char>('a' + version));
    history.Add(version, document.dump());
  }
  const PlanUpdate all = history.UpdateSince(0);
  CHECK_FALSE(all.base);
  CHECK(TextOf(all) == document.dump());
  CHECK_FALSE(history.UpdateSince(3).base);  // Too old to be kept.
  const PlanUpdate update = history.UpdateSince(11);
  REQUIRE(update.base == PlanVersion{11});
  CHECK(TextOf(update).size() < TextOf(all).size() / 2);
  nlohmann::json before = document;
  before["routes"].erase("r12");
  CHECK(before.patch(nlohmann::json::parse(TextOf(update))) == document);
}

// Guards against a plan that takes so long on the link of a small host that the
// host takes its hub for dead, gets the plan from the next one again, and goes
// on with the old plan beyond the bound.
TEST_CASE("a plan with many routes more passes a slow link in time",
          "[fleet]") {
  // The slowest link of a deployment, and the time after which an entry host
  // drops a hub that does not answer.
  constexpr double kBytesPerSecond = 2e6 / 8;
  constexpr double kReportTimeoutSeconds = 0.5;
  constexpr int kNewRoutes = 1400;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Random random(seed);
    const auto name = [&](std::size_t length) {
      std::string text;
      for (std::size_t i = 0; i < length; ++i) {
        text += static_cast<char>('a' + random.Below(26));
      }
      return text;
    };
    nlohmann::json document = {{"version", "r1"}};
    const auto add_route = [&] {
      document["routes"]["r-" + name(7)] = {
          {"host", name(6) + ".example"},
          {"path_prefix", "/" + name(8) + "/"},
          {"kind", "safe"},
          {"timeout", "1500ms"},
          {"latency_objective", "600ms"},
          {"priority", 2},
          {"service", "desk"},
          {"max_tries", 2},
          {"public", false}};
    };
    for (int i = 0; i < 10; ++i) add_route();
    PlanHistory history;
    history.Add(1, document.dump());
    for (int i = 0; i < kNewRoutes; ++i) add_route();
    history.Add(2, document.dump());
    const PlanUpdate update = history.UpdateSince(1);
    CAPTURE(seed, TextOf(update).size(), update.compressed_text.size());
    CHECK(static_cast<double>(update.compressed_text.size()) <
          kBytesPerSecond * kReportTimeoutSeconds);
  }
}

TEST_CASE("compressed texts are restored, damaged and long ones refused",
          "[fleet]") {
  for (const std::string& text :
       {std::string(), std::string("short"), std::string(100'000, 'x')}) {
    const std::string compressed = Compress(text);
    CHECK(Decompress(compressed, text.size()).value() == text);
    CHECK_FALSE(
        Decompress(compressed.substr(0, compressed.size() - 1), text.size()));
    if (text.empty()) continue;
    CHECK_FALSE(Decompress(compressed, text.size() - 1));
  }
  CHECK_FALSE(Decompress("", 10));
  CHECK_FALSE(Decompress("not compressed", 100));
}

}  // namespace
}  // namespace sapphirebank
