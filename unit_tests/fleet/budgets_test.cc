#include <catch2/catch.hpp>

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
  CHECK(detector.Quarantined(kStart).empty());
  CHECK(detector.RecordCrash(kStart + seconds(1), request, BackendId("c")));
  CHECK(detector.Quarantined(kStart + seconds(2)) ==
        std::vector<RequestFingerprint>{request});
  CHECK(detector.Quarantined(kStart + seconds(100)).empty());
}

TEST_CASE("crashes far apart do not quarantine a request", "[fleet]") {
  CrashingRequestDetector detector{CrashingRequestSettings()};
  CHECK_FALSE(detector.RecordCrash(kStart, 1, BackendId("a")));
  CHECK_FALSE(detector.RecordCrash(kStart + seconds(20), 1, BackendId("b")));
  CHECK_FALSE(detector.RecordCrash(kStart + seconds(40), 1, BackendId("c")));
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
  CHECK(all.text == document.dump());
  CHECK_FALSE(history.UpdateSince(3).base);  // Too old to be kept.
  const PlanUpdate update = history.UpdateSince(11);
  REQUIRE(update.base == PlanVersion{11});
  CHECK(update.text.size() < all.text.size() / 2);
  nlohmann::json before = document;
  before["routes"].erase("r12");
  CHECK(before.patch(nlohmann::json::parse(update.text)) == document);
}

}  // namespace
}  // namespace sapphirebank
