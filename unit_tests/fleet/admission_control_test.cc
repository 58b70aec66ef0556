#include "sapphirebank/fleet/admission_control.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace sapphirebank {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Duration kWork = milliseconds(100);
constexpr Duration kTimeLeft = seconds(4);
constexpr Duration kObjective = seconds(1);

struct Outcome {
  int offered = 0;
  int admitted = 0;

  double share() const { return admitted / std::max(1.0, 1.0 * offered); }
};

// One service whose servers take requests in the order of their admission.
struct Service {
  AdmissionControl admission{AdmissionSettings()};
  Instant now = kStart;
  std::uint32_t slots = 10;
  // Time until all admitted requests have been begun.
  Duration wait{};
  RequestFingerprint next_fingerprint = 1;
  Duration longest_wait{};

  DispatchForecast Forecast() const {
    DispatchForecast forecast;
    forecast.slots = slots;
    forecast.busy = wait > Duration::zero() ? slots : 0;
    forecast.shortest_wait = wait;
    forecast.work = kWork;
    forecast.work_deviation = milliseconds(40);
    return forecast;
  }

  DispatchQuery Query(int rank, const std::string& caller = "north") {
    DispatchQuery query;
    query.service = ServiceId("desk");
    query.latency_objective = kObjective;
    query.time_left = kTimeLeft;
    query.rank.route = rank;
    query.caller = WorkspaceId(caller);
    query.fingerprint = next_fingerprint++;
    return query;
  }

  std::optional<DispatchRefusal> Offer(const DispatchQuery& query) {
    auto refusal = admission.Decide(now, query, Forecast(), now);
    if (!refusal) wait += kWork / slots;
    longest_wait = std::max(longest_wait, wait);
    return refusal;
  }

  void Step(Duration step) {
    now += step;
    wait = std::max(wait - step, Duration::zero());
    admission.Tick(now);
  }
};

constexpr Duration kStep = milliseconds(10);

TEST_CASE("a free slot refuses nothing", "[admission]") {
  Service service;
  for (int i = 0; i < 1000; ++i) {
    CHECK_FALSE(service.Offer(service.Query(i % 3)));
    service.Step(kWork / 10);
  }
  CHECK(service.admission.TakeTallies().empty());
}

TEST_CASE("two ranks at twice the room: the less urgent gives way first",
          "[admission]") {
  Service service;
  std::map<int, Outcome> outcomes;
  // Room for 100 a second; 80 urgent ones and 120 others come.
  for (int step = 0; step < 3000; ++step) {
    for (int i = 0; i < 2; ++i) {
      const int rank = (step * 2 + i) % 5 < 2 ? 0 : 1;
      Outcome& outcome = outcomes[rank];
      ++outcome.offered;
      if (!service.Offer(service.Query(rank))) ++outcome.admitted;
    }
    service.Step(kStep);
  }
  CHECK(outcomes[0].share() > 0.98);
  CHECK(outcomes[1].share() < outcomes[0].share());
  const double all = (outcomes[0].admitted + outcomes[1].admitted) /
                     (1.0 * outcomes[0].offered + outcomes[1].offered);
  // None is served less than a quarter as often as all, and no room is wasted.
  CHECK(outcomes[1].share() > 0.25 * all);
  CHECK(all > 0.47);
  CHECK(service.longest_wait + kWork <= kObjective);
}

TEST_CASE("urgent requests alone at twice the room: the others do not starve",
          "[admission]") {
  Service service;
  std::map<int, Outcome> outcomes;
  for (int step = 0; step < 3000; ++step) {
    for (int i = 0; i < 2; ++i) {
      const int rank = (step * 2 + i) % 4 < 3 ? 0 : 1;
      Outcome& outcome = outcomes[rank];
      ++outcome.offered;
      if (!service.Offer(service.Query(rank))) ++outcome.admitted;
    }
    service.Step(kStep);
  }
  const double all = (outcomes[0].admitted + outcomes[1].admitted) /
                     (1.0 * outcomes[0].offered + outcomes[1].offered);
  CHECK(outcomes[1].share() > 0.25 * all);
  CHECK(outcomes[0].share() > outcomes[1].share());
}

TEST_CASE("a workspace at six times its rate hurts itself first",
          "[admission]") {
  Service service;
  std::map<std::string, Outcome> outcomes;
  // Room for 100 a second: four workspaces send 20, one sends 120.
  for (int step = 0; step < 3000; ++step) {
    for (int i = 0; i < 2; ++i) {
      const int sender = (step * 2 + i) % 10;
      const std::string caller =
          sender < 6 ? "hot" : "calm" + std::to_string(sender);
      const bool is_admitted = !service.Offer(service.Query(0, caller));
      // Shares are known once the counts have settled.
      if (service.now < kStart + 2 * AdmissionSettings().count_decay) continue;
      Outcome& outcome = outcomes[caller];
      ++outcome.offered;
      if (is_admitted) ++outcome.admitted;
    }
    service.Step(kStep);
  }
  for (const auto& [caller, outcome] : outcomes) {
    INFO(caller);
    if (caller == "hot") {
      CHECK(outcome.admitted > 0.9 * 20 * 26);
    } else {
      CHECK(outcome.share() > 0.97);
    }
  }
}

TEST_CASE("half of the servers shed: what is admitted is answered in time",
          "[admission]") {
  Service service;
  Outcome during;
  Outcome after;
  for (int step = 0; step < 2000; ++step) {
    service.slots = step < 1000 ? 5 : 10;
    // 75 requests a second; room for 50 and then for 100.
    for (int i = 0; i < (step % 4 == 0 ? 3 : 0); ++i) {
      Outcome& outcome = step < 1000 ? during : after;
      if (step > 1000 && step < 1100) continue;
      ++outcome.offered;
      const DispatchQuery query = service.Query(0);
      const Duration wait = service.wait;
      const auto refusal = service.Offer(query);
      if (!refusal) {
        ++outcome.admitted;
        CHECK(wait + kWork <= query.time_left);
      } else {
        CHECK(refusal->kind == ErrorKind::kQueueFull);
        CHECK(refusal->retry_after > Duration::zero());
        CHECK(refusal->retry_after <= query.time_left / 3);
      }
    }
    service.Step(kStep);
  }
  CHECK(during.share() > 0.64);
  CHECK(after.share() == 1.0);
}

TEST_CASE("what cannot be served in its time is refused at once",
          "[admission]") {
  Service service;
  service.wait = milliseconds(500);
  DispatchQuery query = service.Query(0);
  query.time_left = milliseconds(520);
  const auto refusal = service.Offer(query);
  REQUIRE(refusal);
  CHECK_FALSE(refusal->hold);
  // One whose work may be shorter than usual is offered.
  query = service.Query(0);
  query.time_left = milliseconds(560);
  CHECK_FALSE(service.Offer(query));
}

// A caller that is refused comes back when told, or `at_once`.
struct ReturningCallers {
  double share = 0;
  double share_of_newcomers = 0;
  int refused_early = 0;
};

ReturningCallers ServeReturningCallers(bool at_once) {
  Service service;
  struct Caller {
    DispatchQuery query;
    Instant next;
    Instant deadline;
  };
  std::vector<Caller> callers;
  Outcome newcomers;
  int served = 0;
  int all = 0;
  for (int step = 0; step < 2000; ++step) {
    // Twice the room: 100 a second that give up when refused, and 100 that
    // return.
    ++newcomers.offered;
    if (!service.Offer(service.Query(0))) ++newcomers.admitted;
    ++all;
    callers.push_back({service.Query(0), service.now, service.now + kTimeLeft});
    for (Caller& caller : callers) {
      if (caller.next > service.now) continue;
      caller.query.time_left = caller.deadline - service.now;
      const auto refusal = service.Offer(caller.query);
      if (!refusal) {
        ++served;
        caller.next = Instant::max();
      } else {
        caller.next = service.now + (at_once ? kStep : refusal->retry_after);
      }
    }
    std::erase_if(callers, [&](const Caller& caller) {
      return caller.next == Instant::max() || caller.deadline < service.now;
    });
    service.Step(kStep);
  }
  ReturningCallers result;
  for (const AdmissionTally& tally : service.admission.TakeTallies()) {
    if (tally.reason == AdmissionReason::kEarly) {
      result.refused_early += static_cast<int>(tally.requests);
    }
  }
  CHECK(served + newcomers.admitted > 0.9 * 2000);
  result.share = served / (1.0 * all);
  result.share_of_newcomers = newcomers.share();
  return result;
}

TEST_CASE("callers that return when told are served before newcomers",
          "[admission]") {
  const ReturningCallers patient = ServeReturningCallers(false);
  CHECK(patient.refused_early == 0);
  CHECK(patient.share > 0.9);
  CHECK(patient.share > 2 * patient.share_of_newcomers);
  // Asking at once gains nothing.
  const ReturningCallers impatient = ServeReturningCallers(true);
  CHECK(impatient.refused_early > 0);
  CHECK(impatient.share <= patient.share + 0.02);
}

TEST_CASE("half of the arrivals rejected: a retry without budget is held",
          "[admission]") {
  Service service;
  DispatchQuery query = service.Query(1);
  query.is_retry = true;
  const auto defer = [&](const DispatchQuery& waiting) {
    return service.admission.DeferRetry(service.now, waiting,
                                        service.Forecast(), service.now);
  };
  int tries = 0;
  const Instant deadline = service.now + kTimeLeft;
  while (true) {
    query.time_left = deadline - service.now;
    const auto refusal = defer(query);
    REQUIRE(refusal);
    if (!refusal->hold) break;
    CHECK(refusal->retry_after <= query.latency_objective / 8);
    service.Step(refusal->retry_after);
    ++tries;
  }
  CHECK(tries < 100);
  // The caller has half of its time left to return.
  CHECK(query.time_left >= kTimeLeft / 2);
  CHECK(query.time_left < kTimeLeft / 2 + milliseconds(100));
  // Where many wait and none is granted, a further one is refused at once.
  for (int i = 0; i < 8; ++i) {
    query = service.Query(1);
    CHECK(defer(query)->hold);
  }
  const auto refusal = defer(service.Query(1));
  CHECK_FALSE(refusal->hold);
  CHECK(refusal->retry_after <= kTimeLeft / 3);
  // With retries granted there is hope.
  for (int i = 0; i < 40; ++i) {
    service.admission.RecordRetry(service.now, service.Query(1));
  }
  CHECK(defer(service.Query(1))->hold);
}

TEST_CASE("a retry leaves the budget to a more urgent one that waits",
          "[admission]") {
  Service service;
  DispatchQuery urgent = service.Query(0);
  urgent.is_retry = true;
  DispatchQuery other = service.Query(1);
  other.is_retry = true;
  CHECK_FALSE(service.admission.MustYieldRetry(service.now, other));
  const auto refusal = service.admission.DeferRetry(
      service.now, urgent, service.Forecast(), service.now);
  REQUIRE(refusal);
  CHECK(service.admission.MustYieldRetry(service.now, other));
  service.Step(refusal->retry_after);
  CHECK_FALSE(service.admission.MustYieldRetry(service.now, urgent));
  service.admission.RecordRetry(service.now, urgent);
  CHECK_FALSE(service.admission.MustYieldRetry(service.now, other));
}

TEST_CASE("requests that never return are forgotten", "[admission]") {
  WaitingRequestsSettings settings;
  settings.limit = 100;
  WaitingRequests waiting(settings);
  for (RequestFingerprint i = 1; i <= 1000; ++i) {
    waiting.Add(kStart, i, {0, static_cast<int>(i % 2)},
                kStart + milliseconds(100));
  }
  CHECK(waiting.size() == 100);
  // The less urgent ones made room.
  CHECK(waiting.CountAsUrgent({0, 0}) == 100);
  CHECK(waiting.EarlyBy(kStart, 2) == milliseconds(100));
  CHECK_FALSE(waiting.EarlyBy(kStart + milliseconds(90), 2));
  waiting.Tick(kStart + seconds(2));
  CHECK(waiting.size() == 0);
}

}  // namespace
}  // namespace sapphirebank
