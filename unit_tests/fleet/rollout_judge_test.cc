#include "sapphirebank/fleet/rollout_judge.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "unit_tests/fleet/trial_traffic.h"

namespace sapphirebank {
namespace {

using Kind = RolloutVerdict::Kind;

constexpr double kStep = 0.5;
constexpr int kSeeds = 100;

Instant At(double seconds) { return Instant(FromSeconds(1000 + seconds)); }

TrialTraffic LargeService() { return {}; }

TrialTraffic SmallService() {
  TrialTraffic traffic;
  traffic.rate = 4;
  traffic.share = 0.5;
  traffic.target_servers = 4;
  return traffic;
}

struct Verdicts {
  int good = 0;
  int bad = 0;
  // Of the versions that were condemned, from the first bad answer on.
  double latest_after = 0;
  std::uint64_t most_answers = 0;
};

// Plays a trial of `length` seconds for each seed; faults begin at `fault_at`.
Verdicts Play(const TrialTraffic& traffic, double length, double fault_at = 0) {
  Verdicts verdicts;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    RolloutJudge judge;
    RolloutVerdict verdict;
    double at = 0;
    for (; at < length && verdict.kind != Kind::kBad; at += kStep) {
      judge.Add(At(at), traffic.Answers(random, at, kStep));
      verdict = judge.Judge(At(at), traffic.target_servers);
    }
    if (verdict.kind == Kind::kBad) {
      ++verdicts.bad;
      verdicts.latest_after = std::max(verdicts.latest_after, at - fault_at);
      verdicts.most_answers = std::max(verdicts.most_answers, verdict.answers);
    }
    if (verdict.kind == Kind::kGood) ++verdicts.good;
  }
  return verdicts;
}

// Loads: 4 and 400 requests a second, beside old servers of which some fail or
// are slow, and new ones that have episodes of failures.
TEST_CASE("a good version is not condemned for faulty servers", "[rollout]") {
  for (const bool is_large : {true, false}) {
    TrialTraffic traffic = is_large ? LargeService() : SmallService();
    const int least_accepted = is_large ? 95 : 65;
    CAPTURE(is_large);

    CHECK(Play(traffic, 7.5).bad == 0);
    CHECK(Play(traffic, 7.5).good >= least_accepted);
    traffic.others = {0.05, 0.4, 12};
    CHECK(Play(traffic, 7.5).bad == 0);
    CHECK(Play(traffic, 7.5).good >= least_accepted);
    traffic.others = {};
    const std::pair<const char*, decltype(traffic.target)> cases[] = {
        {"twice as slow",
         [](auto, auto&, double) {
           return AnswerFault{0, 1, 2};
         }},
        {"a gray server",
         [](auto server, auto&, double) {
           return AnswerFault{server == 0 ? 0.85 : 0};
         }},
        {"a slow server",
         [](auto server, auto&, double) {
           return AnswerFault{0, server == 0 ? 1.0 : 0, 12};
         }},
        {"gray in turns", [](auto server, auto&, double at) {
           const double phase =
               std::fmod(at + static_cast<double>(server) * 1.3, 9);
           return AnswerFault{server % 10 < 3 && phase < 1.5 ? 0.85 : 0};
         }}};
    for (const auto& [name, fault] : cases) {
      CAPTURE(name);
      traffic.target = fault;
      const Verdicts verdicts = Play(traffic, 7.5);
      CHECK(verdicts.bad == 0);
      CHECK(verdicts.good >= least_accepted);
    }
  }
}

// Half of the answers are bad. The operator's limit lets a version go on for
// five seconds from its 50th bad answer.
TEST_CASE("a bad version is condemned within seconds at 400 requests a second",
          "[rollout]") {
  struct Case {
    const char* name;
    decltype(TrialTraffic::target) fault;
    double at = 0;
  };
  const Case cases[] = {
      {"fails", [](auto, auto&, double) { return AnswerFault{0.5}; }},
      {"slow",
       [](auto, auto&, double) {
         return AnswerFault{0, 0.5};
       }},
      {"fails later",
       [](auto, auto&, double at) { return AnswerFault{at >= 5 ? 0.5 : 0}; },
       5},
      {"slow later",
       [](auto, auto&, double at) {
         return AnswerFault{0, at >= 5 ? 0.5 : 0};
       },
       5},
      {"fails on one route",
       [](auto, const std::string& route, double) {
         return AnswerFault{route == "post" ? 0.5 : 0};
       }},
      {"slow on one route", [](auto, const std::string& route, double) {
         return AnswerFault{0, route == "read" ? 0.5 : 0};
       }}};
  for (const Case& bad : cases) {
    CAPTURE(bad.name);
    TrialTraffic traffic = LargeService();
    traffic.target = bad.fault;
    const Verdicts verdicts = Play(traffic, 15, bad.at);
    CHECK(verdicts.bad == kSeeds);
    CHECK(verdicts.latest_after <= 7);
  }
  SECTION("beside old servers that fail too") {
    TrialTraffic traffic = LargeService();
    traffic.target = cases[0].fault;
    traffic.others = {0.15, 0.4, 12};
    CHECK(Play(traffic, 15).bad == kSeeds);
  }
}

// With 15 answers a version need not be condemned, but must not be accepted.
TEST_CASE("a bad version is not accepted at 4 requests a second", "[rollout]") {
  TrialTraffic traffic = SmallService();
  traffic.target = [](auto, auto&, double) { return AnswerFault{0.5}; };
  CHECK(Play(traffic, 7.5).good <= 3);
  CHECK(Play(traffic, 60).bad == kSeeds);
  traffic.target = [](auto, auto&, double) { return AnswerFault{0, 0.5}; };
  CHECK(Play(traffic, 7.5).good <= 3);
  CHECK(Play(traffic, 60).bad == kSeeds);
}

TEST_CASE("what all servers of a service suffer does not condemn a version",
          "[rollout]") {
  for (const AnswerFault fault : {AnswerFault{0.6}, AnswerFault{0, 1, 6}}) {
    for (int seed = 1; seed <= kSeeds; ++seed) {
      Random random(seed);
      RolloutJudge judge;
      TrialTraffic traffic = LargeService();
      for (double at = 0; at < 12; at += kStep) {
        traffic.others = at >= 3 && at < 6 ? fault : AnswerFault();
        traffic.target = [&](auto, auto&, double) { return traffic.others; };
        judge.Add(At(at), traffic.Answers(random, at, kStep));
        REQUIRE(judge.Judge(At(at), 40).kind != Kind::kBad);
      }
    }
  }
}

TEST_CASE("one server condemns a version only if it is the only one",
          "[rollout]") {
  for (const std::size_t servers : {1, 2}) {
    Random random(7);
    RolloutJudge judge;
    TrialTraffic traffic = LargeService();
    traffic.target_servers = servers;
    traffic.target = [](auto server, auto&, double) {
      return AnswerFault{server == 0 ? 0.85 : 0};
    };
    for (double at = 0; at < 5; at += kStep) {
      judge.Add(At(at), traffic.Answers(random, at, kStep));
    }
    CHECK((judge.Judge(At(5), servers).kind == Kind::kBad) == (servers == 1));
  }
}

// Load: all requests at once, after a trial with a tenth of them.
TEST_CASE("a version that fails under load is condemned without other servers",
          "[rollout]") {
  Random random(7);
  RolloutJudge judge;
  TrialTraffic traffic = LargeService();
  for (double at = 0; at < 5; at += kStep) {
    judge.Add(At(at), traffic.Answers(random, at, kStep));
  }
  REQUIRE(judge.Judge(At(5), 40).kind == Kind::kGood);
  traffic.share = 1;
  traffic.target = [](auto, auto&, double) { return AnswerFault{0, 0.5}; };
  judge.Add(At(5.5), traffic.Answers(random, 5.5, kStep));
  const RolloutVerdict verdict = judge.Judge(At(5.5), 40);
  CHECK(verdict.kind == Kind::kBad);
  CHECK(verdict.evidence.fault == RolloutFault::kSlowness);
  CHECK(verdict.evidence.bad > 0);
  CHECK(verdict.evidence.score >= verdict.evidence.limit);
}

TEST_CASE("a version is not accepted on too few answers", "[rollout]") {
  Random random(7);
  RolloutJudge judge;
  CHECK(judge.Judge(At(0), 0).kind == Kind::kUndecided);
  TrialTraffic traffic = LargeService();
  traffic.share = 0;
  judge.Add(At(0), traffic.Answers(random, 0, 5));
  CHECK(judge.Judge(At(0), 40).kind == Kind::kUndecided);

  // No answers on one route.
  traffic.share = 0.1;
  RolloutSamples samples = traffic.Answers(random, 0, 5);
  for (auto& [server, routes] : samples.target) routes.erase("post");
  judge.Add(At(1), samples);
  RolloutVerdict verdict = judge.Judge(At(1), 40);
  CHECK(verdict.kind == Kind::kUndecided);
  CHECK(verdict.lacking == "too few answers on route post");
  judge.Add(At(2), traffic.Answers(random, 0, 5));
  CHECK(judge.Judge(At(2), 40).kind == Kind::kGood);

  // Its servers are gone.
  traffic.share = 0;
  judge.Add(At(8), traffic.Answers(random, 0, 1));
  verdict = judge.Judge(At(8), 40);
  CHECK(verdict.kind == Kind::kUndecided);
  CHECK_FALSE(verdict.lacking.empty());
}

}  // namespace
}  // namespace sapphirebank
