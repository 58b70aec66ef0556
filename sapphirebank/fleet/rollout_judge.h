#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"
#include "sapphirebank/fleet/rollout_samples.h"

namespace sapphirebank {

struct RolloutJudgeSettings {
  // Greatest probability that a good version is condemned within a minute.
  double false_alarm = 0.001;
  // Greatest probability that a version of which half of the answers are bad is
  // accepted.
  double false_acceptance = 0.01;
  // Share of bad answers that a good version may have in any case.
  double tolerated_share = 0.05;
  // Multiple of the other servers' share of failures that it may have.
  double tolerated_failure_ratio = 1.5;
  // With a larger tolerated share failures are not judged.
  double max_tolerated_failures = 0.45;
  // Limit of the tolerated share of slow answers: part of the other servers may
  // be slow themselves.
  double max_tolerated_slow = 0.25;
  // Fraction of the servers, at least one, that may be faulty by themselves
  // although the version is good.
  double faulty_servers = 0.125;
  // Answers of other servers on a route from which durations are compared, and
  // the number of earlier ones that are kept beside new ones.
  double min_yardstick = 4;
  double kept_yardstick = 100;
  // A version without answers for this time while other servers answer is not
  // accepted.
  Duration max_silence = std::chrono::seconds(3);
};

// In which way a version is bad.
enum class RolloutFault : std::uint8_t { kFailures, kSlowness };

// Returns the fault's name in logs.
constexpr std::string_view ToString(RolloutFault fault) {
  return fault == RolloutFault::kFailures ? "failures" : "slowness";
}

// Comparison of the new version with the tolerated share of bad answers.
struct RolloutEvidence {
  std::string route;  // Empty for all routes together.
  RolloutFault fault = RolloutFault::kFailures;
  // Of the new version, in the last `window`.
  std::size_t servers = 0;
  std::uint32_t answers = 0;
  std::uint32_t bad = 0;
  Duration window{};
  // Those of the servers with the most evidence.
  std::vector<BackendId> worst_servers;
  // Evidence against the version in nats, and the limit that condemns it.
  double score = 0;
  double limit = 0;
};

struct RolloutVerdict {
  enum class Kind : std::uint8_t { kUndecided, kGood, kBad };

  Kind kind = Kind::kUndecided;
  // The strongest evidence against the version.
  RolloutEvidence evidence;
  // Answers of the new version so far.
  std::uint64_t answers = 0;
  // Of an undecided verdict: why the version is not accepted.
  std::string lacking;
};

// Decides whether the new version of a service answers worse than the servers
// of other versions do at the same time on the same route.
//
// Each answer is bad or not, once as a failure and once as slow: more than
// twice as slow as nearly all answers of other servers. The hypothesis that the
// version is good says that on each server the share of bad answers is at most
// the tolerated one, except on a fraction of the servers that are faulty by
// themselves. Likelihood ratios of larger shares are added up by server (Wald,
// Sequential Tests of Statistical Hypotheses, 1945). The servers with the most
// evidence are left out, and that of a further one is limited. So the sum is at
// most that over the sound servers, and exceeds ln(n / a) for any of n tests
// with a probability of a at most (Ville's inequality), however often one
// looks. The tests are those of each route and of all together, of both faults
// and three shares, from each start of a window.
class RolloutJudge {
 public:
  explicit RolloutJudge(RolloutJudgeSettings settings = {})
      : settings_(settings) {}

  void Add(Instant now, const RolloutSamples& samples);

  // Returns the verdict at `now` while the new version has `target_servers`
  // servers. With several of them one alone does not condemn the version.
  RolloutVerdict Judge(Instant now, std::size_t target_servers) const;

 private:
  static constexpr std::size_t kFaults = 2;
  // Shares of bad answers for which evidence is added up, as parts of the
  // difference between the tolerated share and all.
  static constexpr std::array<double, 3> kBadParts = {0.2, 0.5, 0.9};
  static constexpr std::size_t kHalfBad = 1;  // Index of the part of a half.

  // Answers of one server on one route to which a fault applies.
  struct Tally {
    std::uint32_t answers = 0;
    std::uint32_t bad = 0;
    std::array<double, kBadParts.size()> scores{};

    void Add(std::uint32_t new_answers, std::uint32_t new_bad,
             double tolerated_share);
    Tally& operator+=(const Tally& other);
  };
  using Tallies = std::array<Tally, kFaults>;
  // By route, then by the server's index in servers_.
  using RouteTallies = std::map<std::string, std::map<std::size_t, Tallies>>;

  struct Slot {
    Instant begin;
    RouteTallies tallies;
  };

  // The latest answers of the other servers on a route, earlier ones with less
  // weight.
  struct Yardstick {
    double failed = 0;
    std::array<double, AttemptCounts::kDurationClasses> answered{};
    std::uint64_t answers = 0;  // In all, failed ones too.

    double Answered() const;
    // Returns the share of answers in classes above `last`.
    double ShareAbove(std::size_t last) const;
  };

  // Which answers are slow, and which share of them is tolerated.
  struct SlowLimit {
    std::size_t last_class = 0;  // Not slow.
    double tolerated_share = 0;
  };

  struct Score {
    double all = 0;      // Of the servers that are not left out.
    double limited = 0;  // The same with the limit for each server.
  };

  void AddYardstick(Instant now, const std::string& route,
                    const AttemptCounts& counts);
  void AddDurations(const std::string& route, std::size_t server,
                    const AttemptCounts& counts, RouteTallies& tallies);
  // Compares the durations of earlier answers once there is a yardstick.
  void AddUntimed(Instant now, const std::string& route);
  RouteTallies& TalliesAt(Instant now);
  std::optional<SlowLimit> SlowLimitOf(const std::string& route) const;
  // Returns the tolerated share of failures on a route, or nothing if others
  // fail so often that there is no yardstick.
  std::optional<double> ToleratedFailures(const std::string& route) const;
  // Returns the evidence that condemns.
  double Limit() const;
  // Evidence by the server's index in servers_.
  using ScoreByServer = std::map<std::size_t, double>;
  Score ScoreOf(const ScoreByServer& by_server,
                std::size_t target_servers) const;
  std::vector<BackendId> WorstOf(const ScoreByServer& by_server) const;
  // Raises `strongest` to what the answers in `window` say.
  void Test(const RouteTallies& window, Duration length,
            std::size_t target_servers, RolloutEvidence& strongest) const;
  // Returns the score of half of the answers being bad over all routes.
  double HalfBadScore(const RouteTallies& window, RolloutFault fault,
                      std::size_t target_servers) const;
  // Returns why the version is not accepted by its answers so far, or nothing.
  std::string Lacking(const RouteTallies& all,
                      std::size_t target_servers) const;
  std::string LackingOnRoute(const RouteTallies& all, const std::string& route,
                             double expected_answers,
                             std::size_t target_servers) const;

  RolloutJudgeSettings settings_;
  std::map<BackendId, std::size_t> servers_;
  std::deque<Slot> slots_;  // Oldest first; the first one has all before.
  std::map<std::string, Yardstick> yardsticks_;
  // Answers whose durations have not been compared, by route and server.
  std::map<std::string, std::map<std::size_t, AttemptCounts>> untimed_;
  std::uint64_t answers_ = 0;
  std::optional<Instant> last_answer_at_;
  std::optional<Instant> last_other_answer_at_;
};

}  // namespace sapphirebank
