#include "sapphirebank/fleet/rollout_judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

namespace sapphirebank {
namespace {

constexpr Duration kSlotLength = std::chrono::milliseconds(500);

// Windows in slots. Short ones find a fault that begins late; the last one has
// all answers.
constexpr auto kWindows = std::to_array<std::size_t>({2, 4, 8, 16});

// The window in which the version must not look bad when it is accepted.
constexpr std::size_t kRecentWindow = 8;

// Starts of windows in the time for which the false alarms are bounded.
constexpr double kStartsPerMinute = std::chrono::minutes(1) / kSlotLength;

// Quantile of the durations of other servers from which slow answers are told:
// more of them may be slow than fast.
constexpr double kFastShare = 0.3;

// Share of slower answers up to which a duration class is the slowest usual
// one.
constexpr double kUsualShare = 0.15;

// Answers on a route from which it must be accepted by itself, answers that it
// must have, and the fraction of the expected ones that is enough.
constexpr std::uint32_t kAnswersOfTestedRoute = 16;
constexpr double kAnswersOfSeenRoute = 8;
constexpr double kEnoughOfExpected = 0.25;

constexpr std::size_t kMaxWorstServers = 5;

// Fraction of the limit from which evidence keeps a version from acceptance.
constexpr double kDoubt = 0.5;

constexpr std::size_t IndexOf(RolloutFault fault) {
  return static_cast<std::size_t>(fault);
}

std::uint32_t Answered(const AttemptCounts& counts) {
  return std::accumulate(counts.answered.begin(), counts.answered.end(),
                         std::uint32_t{0});
}

}  // namespace

void RolloutJudge::Tally::Add(std::uint32_t new_answers, std::uint32_t new_bad,
                              double tolerated_share) {
  assert(new_bad <= new_answers);
  answers += new_answers;
  bad += new_bad;
  for (std::size_t i = 0; i < kBadParts.size(); ++i) {
    const double share = tolerated_share + (1 - tolerated_share) * kBadParts[i];
    scores[i] +=
        new_bad * std::log(share / tolerated_share) +
        (new_answers - new_bad) * std::log((1 - share) / (1 - tolerated_share));
  }
}

RolloutJudge::Tally& RolloutJudge::Tally::operator+=(const Tally& other) {
  answers += other.answers;
  bad += other.bad;
  for (std::size_t i = 0; i < scores.size(); ++i) scores[i] += other.scores[i];
  return *this;
}

double RolloutJudge::Yardstick::Answered() const {
  return std::accumulate(answered.begin(), answered.end(), 0.0);
}

double RolloutJudge::Yardstick::ShareAbove(std::size_t last) const {
  const auto first = answered.begin() + static_cast<std::ptrdiff_t>(last) + 1;
  const double all = Answered();
  return all > 0 ? std::accumulate(first, answered.end(), 0.0) / all : 0;
}

void RolloutJudge::Add(Instant now, const RolloutSamples& samples) {
  for (const auto& [route, counts] : samples.others) {
    AddYardstick(now, route, counts);
    AddUntimed(now, route);
  }
  for (const auto& [server, routes] : samples.target) {
    const std::size_t index =
        servers_.try_emplace(server, servers_.size()).first->second;
    for (const auto& [route, counts] : routes) {
      const std::uint32_t answers = counts.failed + Answered(counts);
      if (answers == 0) continue;
      RouteTallies& tallies = TalliesAt(now);
      const auto tolerated = ToleratedFailures(route);
      if (tolerated) {
        tallies[route][index][IndexOf(RolloutFault::kFailures)].Add(
            answers, counts.failed, *tolerated);
      }
      AddDurations(route, index, counts, tallies);
      answers_ += answers;
      last_answer_at_ = now;
    }
  }
}

void RolloutJudge::AddYardstick(Instant now, const std::string& route,
                                const AttemptCounts& counts) {
  Yardstick& yardstick = yardsticks_[route];
  // The yardstick follows the load of the service, and stays when other servers
  // get no more requests.
  const double before = yardstick.failed + yardstick.Answered();
  const double factor =
      std::min(1.0, settings_.kept_yardstick / std::max(1.0, before));
  yardstick.failed = yardstick.failed * factor + counts.failed;
  yardstick.answers += counts.failed + Answered(counts);
  for (std::size_t i = 0; i < counts.answered.size(); ++i) {
    yardstick.answered[i] = yardstick.answered[i] * factor + counts.answered[i];
  }
  last_other_answer_at_ = now;
}

void RolloutJudge::AddDurations(const std::string& route, std::size_t server,
                                const AttemptCounts& counts,
                                RouteTallies& tallies) {
  const std::uint32_t answered = Answered(counts);
  if (answered == 0) return;
  const auto limit = SlowLimitOf(route);
  if (!limit) {
    AttemptCounts& untimed = untimed_[route][server];
    for (std::size_t i = 0; i < counts.answered.size(); ++i) {
      untimed.answered[i] += counts.answered[i];
    }
    return;
  }
  const auto first_slow = counts.answered.begin() +
                          static_cast<std::ptrdiff_t>(limit->last_class) + 1;
  const std::uint32_t slow =
      std::accumulate(first_slow, counts.answered.end(), std::uint32_t{0});
  tallies[route][server][IndexOf(RolloutFault::kSlowness)].Add(
      answered, slow, limit->tolerated_share);
}

void RolloutJudge::AddUntimed(Instant now, const std::string& route) {
  if (!SlowLimitOf(route)) return;
  const auto untimed = untimed_.extract(route);
  if (untimed.empty()) return;
  for (const auto& [server, counts] : untimed.mapped()) {
    AddDurations(route, server, counts, TalliesAt(now));
  }
}

RolloutJudge::RouteTallies& RolloutJudge::TalliesAt(Instant now) {
  if (slots_.empty() || now - slots_.back().begin >= kSlotLength) {
    slots_.push_back({now, {}});
  }
  if (slots_.size() > kWindows.back() + 1) {
    for (const auto& [route, servers] : slots_[1].tallies) {
      for (const auto& [server, tallies] : servers) {
        for (std::size_t i = 0; i < kFaults; ++i) {
          slots_[0].tallies[route][server][i] += tallies[i];
        }
      }
    }
    slots_.erase(slots_.begin() + 1);
  }
  return slots_.back().tallies;
}

std::optional<RolloutJudge::SlowLimit> RolloutJudge::SlowLimitOf(
    const std::string& route) const {
  const auto found = yardsticks_.find(route);
  if (found == yardsticks_.end()) return std::nullopt;
  const Yardstick& yardstick = found->second;
  if (yardstick.Answered() < settings_.min_yardstick) return std::nullopt;
  std::size_t usual = 0;
  while (yardstick.ShareAbove(usual) > 1 - kFastShare) ++usual;
  // The next class at most, so that slow servers among the others do not hide
  // that the version is slow.
  if (yardstick.ShareAbove(usual) > kUsualShare) ++usual;
  // A version may be twice as slow.
  const std::size_t last = std::min(usual + 1, yardstick.answered.size() - 1);
  return SlowLimit{
      last, std::clamp(yardstick.ShareAbove(usual), settings_.tolerated_share,
                       settings_.max_tolerated_slow)};
}

std::optional<double> RolloutJudge::ToleratedFailures(
    const std::string& route) const {
  const auto found = yardsticks_.find(route);
  if (found == yardsticks_.end()) return settings_.tolerated_share;
  const Yardstick& yardstick = found->second;
  // One failure more than seen, as there may be few answers.
  constexpr double kPriorAnswers = 20;
  const double share =
      (yardstick.failed + 1) /
      (yardstick.failed + yardstick.Answered() + kPriorAnswers);
  const double tolerated = std::max(settings_.tolerated_share,
                                    settings_.tolerated_failure_ratio * share);
  if (tolerated > settings_.max_tolerated_failures) return std::nullopt;
  return tolerated;
}

double RolloutJudge::Limit() const {
  const double tests = static_cast<double>(kFaults * kBadParts.size() *
                                           (yardsticks_.size() + 1));
  return std::log(tests * kStartsPerMinute / settings_.false_alarm);
}

RolloutJudge::Score RolloutJudge::ScoreOf(const ScoreByServer& by_server,
                                          std::size_t target_servers) const {
  std::vector<double> scores;
  scores.reserve(by_server.size());
  for (const auto& [server, score] : by_server) scores.push_back(score);
  std::size_t left_out = 0;
  if (std::max(target_servers, servers_.size()) > 1) {
    const double faulty =
        settings_.faulty_servers * static_cast<double>(scores.size());
    left_out =
        std::min(std::max<std::size_t>(1, static_cast<std::size_t>(faulty)),
                 scores.size());
  }
  const auto first = scores.begin() + static_cast<std::ptrdiff_t>(left_out);
  std::partial_sort(scores.begin(), first, scores.end(), std::greater<>());
  // At least two servers that are not left out must speak against the version,
  // if there are two.
  const bool has_others = scores.size() - left_out > 1;
  const double most = has_others ? Limit() / 2 : Limit();
  Score score;
  for (auto value = first; value != scores.end(); ++value) {
    score.all += *value;
    score.limited += std::min(*value, most);
  }
  return score;
}

std::vector<BackendId> RolloutJudge::WorstOf(
    const ScoreByServer& by_server) const {
  std::vector<std::pair<double, BackendId>> worst;
  for (const auto& [id, index] : servers_) {
    const auto found = by_server.find(index);
    if (found != by_server.end() && found->second > 0) {
      worst.emplace_back(found->second, id);
    }
  }
  std::sort(worst.begin(), worst.end(), std::greater<>());
  if (worst.size() > kMaxWorstServers) worst.resize(kMaxWorstServers);
  std::vector<BackendId> ids;
  ids.reserve(worst.size());
  for (auto& [score, id] : worst) ids.push_back(std::move(id));
  return ids;
}

void RolloutJudge::Test(const RouteTallies& window, Duration length,
                        std::size_t target_servers,
                        RolloutEvidence& strongest) const {
  const auto consider = [&](const std::string& route, RolloutFault fault,
                            const ScoreByServer& scores, const Tally& sum) {
    const double score = ScoreOf(scores, target_servers).limited;
    if (score <= strongest.score) return;
    strongest.route = route;
    strongest.fault = fault;
    strongest.servers = scores.size();
    strongest.answers = sum.answers;
    strongest.bad = sum.bad;
    strongest.window = length;
    strongest.worst_servers = WorstOf(scores);
    strongest.score = score;
  };
  for (const RolloutFault fault :
       {RolloutFault::kFailures, RolloutFault::kSlowness}) {
    for (std::size_t part = 0; part < kBadParts.size(); ++part) {
      ScoreByServer over_all;
      Tally total;
      for (const auto& [route, servers] : window) {
        ScoreByServer scores;
        Tally sum;
        for (const auto& [server, tallies] : servers) {
          const Tally& tally = tallies[IndexOf(fault)];
          if (tally.answers == 0) continue;
          scores[server] = tally.scores[part];
          over_all[server] += tally.scores[part];
          sum += tally;
        }
        consider(route, fault, scores, sum);
        total += sum;
      }
      consider("", fault, over_all, total);
    }
  }
}

double RolloutJudge::HalfBadScore(const RouteTallies& window,
                                  RolloutFault fault,
                                  std::size_t target_servers) const {
  ScoreByServer over_all;
  for (const auto& [route, servers] : window) {
    for (const auto& [server, tallies] : servers) {
      const Tally& tally = tallies[IndexOf(fault)];
      if (tally.answers > 0) over_all[server] += tally.scores[kHalfBad];
    }
  }
  return ScoreOf(over_all, target_servers).all;
}

std::string RolloutJudge::LackingOnRoute(const RouteTallies& all,
                                         const std::string& route,
                                         double expected_answers,
                                         std::size_t target_servers) const {
  static const std::map<std::size_t, Tallies> no_servers;
  const auto found = all.find(route);
  const auto& servers = found == all.end() ? no_servers : found->second;
  for (const RolloutFault fault :
       {RolloutFault::kFailures, RolloutFault::kSlowness}) {
    ScoreByServer scores;
    std::uint32_t answers = 0;
    for (const auto& [server, tallies] : servers) {
      const Tally& tally = tallies[IndexOf(fault)];
      if (tally.answers == 0) continue;
      answers += tally.answers;
      scores[server] = tally.scores[kHalfBad];
    }
    const double wanted =
        std::min(kAnswersOfSeenRoute, kEnoughOfExpected * expected_answers);
    if (fault == RolloutFault::kFailures && answers < std::floor(wanted)) {
      return fmt::format("too few answers on route {}", route);
    }
    const double enough = answers >= kAnswersOfTestedRoute
                              ? std::log(settings_.false_acceptance)
                              : 0;
    if (ScoreOf(scores, target_servers).all > enough) {
      return fmt::format("too few good answers on route {} ({})", route,
                         ToString(fault));
    }
  }
  return {};
}

std::string RolloutJudge::Lacking(const RouteTallies& all,
                                  std::size_t target_servers) const {
  if (last_other_answer_at_ &&
      (!last_answer_at_ ||
       *last_other_answer_at_ - *last_answer_at_ > settings_.max_silence)) {
    return "no answers of the version while other servers answered";
  }
  std::uint64_t others = 0;
  for (const auto& [route, yardstick] : yardsticks_) {
    others += yardstick.answers;
  }
  for (const auto& [route, yardstick] : yardsticks_) {
    // By what the version has on all routes.
    const double expected =
        static_cast<double>(answers_) * static_cast<double>(yardstick.answers) /
        static_cast<double>(std::max<std::uint64_t>(others, 1));
    std::string lacking = LackingOnRoute(all, route, expected, target_servers);
    if (!lacking.empty()) return lacking;
  }
  const double enough = std::log(settings_.false_acceptance);
  if (HalfBadScore(all, RolloutFault::kFailures, target_servers) > enough) {
    return "too few good answers (failures)";
  }
  // Without other servers there is nothing to compare durations with.
  if (!yardsticks_.empty() &&
      HalfBadScore(all, RolloutFault::kSlowness, target_servers) > enough) {
    return "too few good answers (slowness)";
  }
  return {};
}

RolloutVerdict RolloutJudge::Judge(Instant now,
                                   std::size_t target_servers) const {
  RolloutVerdict verdict;
  verdict.answers = answers_;
  verdict.evidence.limit = Limit();
  bool is_in_doubt = false;
  RouteTallies window;
  std::size_t next_window = 0;
  for (auto slot = slots_.rbegin(); slot != slots_.rend(); ++slot) {
    // The windows that end before this slot.
    while (next_window < kWindows.size() &&
           now - slot->begin >= kSlotLength * kWindows[next_window]) {
      Test(window, kSlotLength * kWindows[next_window], target_servers,
           verdict.evidence);
      if (kWindows[next_window] == kRecentWindow) {
        is_in_doubt =
            HalfBadScore(window, RolloutFault::kFailures, target_servers) > 0 ||
            HalfBadScore(window, RolloutFault::kSlowness, target_servers) > 0;
      }
      ++next_window;
    }
    for (const auto& [route, servers] : slot->tallies) {
      for (const auto& [server, tallies] : servers) {
        for (std::size_t i = 0; i < kFaults; ++i) {
          window[route][server][i] += tallies[i];
        }
      }
    }
  }
  if (!slots_.empty()) {
    Test(window, now - slots_.front().begin, target_servers, verdict.evidence);
  }
  if (verdict.evidence.score >= verdict.evidence.limit) {
    verdict.kind = RolloutVerdict::Kind::kBad;
    return verdict;
  }
  verdict.lacking = Lacking(window, target_servers);
  is_in_doubt |= verdict.evidence.score > kDoubt * verdict.evidence.limit;
  if (verdict.lacking.empty() && is_in_doubt) {
    verdict.lacking = "the latest answers speak against the version";
  }
  if (verdict.lacking.empty()) verdict.kind = RolloutVerdict::Kind::kGood;
  return verdict;
}

}  // namespace sapphirebank
