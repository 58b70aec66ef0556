#include "sapphirebank/fleet/admission_control.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sapphirebank/core/hash.h"

namespace sapphirebank {
namespace {

// A workspace may demand this part and this number of requests more than its
// share: smaller differences are chance.
constexpr double kShareTolerance = 0.1;
constexpr double kShareToleranceRequests = 1;

// Places of the requests of one rank behind each other, as parts of a rank.
constexpr double kNewcomerPlace = 0.25;
constexpr double kAboveSharePlace = 0.5;

// Least time after which a request is told to return.
constexpr Duration kMinReturn = std::chrono::milliseconds(50);

Duration Scale(Duration time, double factor) {
  return FromSeconds(ToSeconds(time) * factor);
}

// Returns a number in [0, 1) that spreads requests which were refused at the
// same time.
double Spread(Instant now, const DispatchQuery& query) {
  constexpr std::uint64_t kSteps = 1024;
  const std::string text =
      std::to_string(query.fingerprint ^ static_cast<std::uint64_t>(
                                             now.time_since_epoch().count()));
  return static_cast<double>(StableHash(text) % kSteps) / kSteps;
}

// Returns the least time that the request is likely to take. Refusing one that
// could be served is worse than offering it to a server late.
Duration LeastWork(const DispatchForecast& forecast) {
  return std::max(forecast.work - forecast.work_deviation, forecast.work / 2);
}

// Returns the max-min fair share of a resource: the amount beyond which no one
// gets more while another gets less than it demands.
double FairShare(std::vector<double> demands, double amount) {
  std::sort(demands.begin(), demands.end());
  std::size_t left = demands.size();
  for (const double demand : demands) {
    const double share = amount / static_cast<double>(left);
    if (demand >= share) return share;
    amount -= demand;
    --left;
  }
  return demands.empty() ? 0 : demands.back();
}

}  // namespace

std::string_view ToString(AdmissionReason reason) {
  switch (reason) {
    case AdmissionReason::kNoTime:
      return "no_time";
    case AdmissionReason::kRank:
      return "rank";
    case AdmissionReason::kShare:
      return "share";
    case AdmissionReason::kQueue:
      return "queue";
    case AdmissionReason::kEarly:
      return "early";
    case AdmissionReason::kRetryBudget:
      return "retry_budget";
  }
  return "";
}

AdmissionControl::ServiceLoad& AdmissionControl::LoadOf(
    const ServiceId& service) {
  return loads_.try_emplace(service, settings_.waiting).first->second;
}

AdmissionControl::RankLoad& AdmissionControl::CountOffered(
    Instant now, const DispatchQuery& query, const DispatchForecast& forecast,
    bool has_returned, ServiceLoad& load) {
  RankLoad& rank = load.ranks[query.rank];
  const Duration slack = std::max(query.latency_objective - forecast.work,
                                  query.latency_objective / 4);
  // Routes of one rank may have several objectives.
  rank.slack = IsPresent(now, rank) ? std::min(rank.slack, slack) : slack;
  rank.seen_at = now;
  if (has_returned) return rank;
  rank.offered.Add(now, settings_.count_decay);
  if (query.caller.empty()) return rank;
  if (rank.callers.size() < settings_.workspace_limit ||
      rank.callers.contains(query.caller)) {
    rank.callers[query.caller].offered.Add(now, settings_.count_decay);
  }
  return rank;
}

void AdmissionControl::CountAdmitted(Instant now, const DispatchQuery& query,
                                     RankLoad& rank) {
  if (query.is_retry) return;
  rank.admitted.Add(now, settings_.count_decay);
  const auto caller = rank.callers.find(query.caller);
  if (caller == rank.callers.end()) return;
  caller->second.admitted.Add(now, settings_.count_decay);
}

bool AdmissionControl::IsPresent(Instant now, const RankLoad& rank) const {
  return rank.seen_at != Instant() &&
         now - rank.seen_at <= settings_.count_decay;
}

// Returns whether the caller's workspace demands more than its fair share of
// what its rank was admitted, and has had that.
bool AdmissionControl::IsAboveShare(Instant now, const DispatchQuery& query,
                                    const RankLoad& rank) const {
  const auto caller = rank.callers.find(query.caller);
  if (caller == rank.callers.end() || rank.callers.size() < 2) return false;
  std::vector<double> demands;
  demands.reserve(rank.callers.size());
  for (const auto& [id, other] : rank.callers) {
    demands.push_back(other.offered.ValueAt(now, settings_.count_decay));
  }
  const double share = FairShare(
      std::move(demands), rank.admitted.ValueAt(now, settings_.count_decay));
  const double offered =
      caller->second.offered.ValueAt(now, settings_.count_decay);
  const double admitted =
      caller->second.admitted.ValueAt(now, settings_.count_decay);
  return offered > share * (1 + kShareTolerance) + kShareToleranceRequests &&
         admitted > share * (1 - kShareTolerance / 2);
}

// Returns whether the request's rank gets so much less than more urgent ones
// that it must get more.
bool AdmissionControl::IsStarved(Instant now, const DispatchQuery& query,
                                 const ServiceLoad& load) const {
  double offered = 0;
  double admitted = 0;
  for (const auto& [id, rank] : load.ranks) {
    offered += rank.offered.ValueAt(now, settings_.count_decay);
    admitted += rank.admitted.ValueAt(now, settings_.count_decay);
  }
  const RankLoad& own = load.ranks.at(query.rank);
  return own.admitted.ValueAt(now, settings_.count_decay) * offered <
         settings_.floor_of_share * admitted *
             own.offered.ValueAt(now, settings_.count_decay);
}

AdmissionControl::WaitLimit AdmissionControl::LimitFor(
    Instant now, const DispatchQuery& query, const DispatchForecast& forecast,
    bool has_returned, ServiceLoad& load, const RankLoad& rank) const {
  // Longest wait that is of use to all ranks that are at least as urgent.
  Duration slack = rank.slack;
  std::size_t ranks = 0;
  std::size_t more_urgent = 0;
  for (const auto& [id, other] : load.ranks) {
    if (!IsPresent(now, other)) continue;
    ++ranks;
    if (id >= query.rank) continue;
    ++more_urgent;
    slack = std::min(slack, other.slack);
  }
  if (forecast.shortest_wait <= slack) {
    load.standing_since.reset();
  } else if (!load.standing_since) {
    load.standing_since = now;
  }
  const bool is_above_share = IsAboveShare(now, query, rank);
  double place = static_cast<double>(more_urgent);
  if (is_above_share) place += kAboveSharePlace;
  if (!has_returned) place += kNewcomerPlace;
  WaitLimit limit;
  limit.place =
      std::max(place / static_cast<double>(std::max(ranks, 1UL)), 0.0);
  limit.reason = is_above_share    ? AdmissionReason::kShare
                 : more_urgent > 0 ? AdmissionReason::kRank
                                   : AdmissionReason::kQueue;
  const bool stands = load.standing_since &&
                      now - *load.standing_since > query.latency_objective;
  // Newcomers do not fill the time of those that were told to return.
  const bool is_first =
      more_urgent == 0 && !is_above_share &&
      (has_returned || load.told.CountAsUrgent(query.rank) == 0);
  limit.wait = is_first && !stands
                   ? query.time_left - LeastWork(forecast)
                   : Scale(slack, 1 - (1 - settings_.least_urgent_fraction) *
                                          limit.place);
  return limit;
}

std::optional<DispatchRefusal> AdmissionControl::Decide(
    Instant now, const DispatchQuery& query, const DispatchForecast& forecast,
    Instant forecast_at) {
  ServiceLoad& load = LoadOf(query.service);
  // Without any server the dispatcher decides.
  const bool has_room =
      forecast.slots == 0 || forecast.shortest_wait <= Duration::zero();
  const auto early = load.told.EarlyBy(now, query.fingerprint);
  if (early && !has_room) {
    const DispatchRefusal refusal = {ErrorKind::kQueueFull,
                                     std::min(*early, MaxReturn(query))};
    Count(now, query, forecast, forecast_at, AdmissionReason::kEarly,
          Duration::zero(), refusal, load);
    return refusal;
  }
  const bool has_returned =
      query.is_retry || load.told.Find(now, query.fingerprint) != nullptr;
  RankLoad& rank = CountOffered(now, query, forecast, has_returned, load);
  if (has_room) {
    load.standing_since.reset();
    CountAdmitted(now, query, rank);
    load.told.Remove(query.fingerprint);
    return std::nullopt;
  }
  WaitLimit limit = LimitFor(now, query, forecast, has_returned, load, rank);
  const bool has_time =
      forecast.shortest_wait + LeastWork(forecast) <= query.time_left;
  if (!has_time) limit.reason = AdmissionReason::kNoTime;
  const bool is_kept_out_by_rank = limit.reason == AdmissionReason::kRank;
  if (has_time && (forecast.shortest_wait <= limit.wait ||
                   (is_kept_out_by_rank && IsStarved(now, query, load)))) {
    CountAdmitted(now, query, rank);
    load.told.Remove(query.fingerprint);
    return std::nullopt;
  }
  const DispatchRefusal refusal = Refuse(now, query, forecast, limit, load);
  Count(now, query, forecast, forecast_at, limit.reason, limit.wait, refusal,
        load);
  return refusal;
}

Duration AdmissionControl::MaxReturn(const DispatchQuery& query) const {
  return Scale(query.time_left, settings_.max_return_fraction);
}

// Tells the request when there will be room for it: once the queue has shrunk
// to what it may wait for and those before it have returned.
DispatchRefusal AdmissionControl::Refuse(Instant now,
                                         const DispatchQuery& query,
                                         const DispatchForecast& forecast,
                                         const WaitLimit& limit,
                                         ServiceLoad& load) {
  const Duration excess =
      std::max(forecast.shortest_wait - limit.wait, kMinReturn);
  const double begun_per_second =
      forecast.slots /
      std::max(ToSeconds(forecast.work), ToSeconds(kMinReturn));
  const double before =
      static_cast<double>(load.told.CountAsUrgent(query.rank));
  DispatchRefusal refusal;
  refusal.kind = ErrorKind::kQueueFull;
  const Duration return_after =
      Scale(excess, 1 + limit.place + Spread(now, query)) +
      FromSeconds(before / begun_per_second);
  const Duration prompt =
      Scale(query.latency_objective, settings_.prompt_fraction);
  const WaitingRequests::Entry* known = load.told.Find(now, query.fingerprint);
  const Duration waited =
      known == nullptr ? Duration::zero() : now - known->first_seen;
  refusal.hold = query.fingerprint != 0 &&
                 limit.reason != AdmissionReason::kNoTime &&
                 waited + return_after <= prompt;
  refusal.retry_after = std::min(return_after, MaxReturn(query));
  if (limit.reason != AdmissionReason::kNoTime) {
    load.told.Add(now, query.fingerprint, query.rank,
                  now + refusal.retry_after);
  }
  return refusal;
}

bool AdmissionControl::MustYieldRetry(Instant now,
                                      const DispatchQuery& query) const {
  const auto load = loads_.find(query.service);
  if (load == loads_.end()) return false;
  const WaitingRequests& waiting = load->second.retries;
  return waiting.EarlyBy(now, query.fingerprint).has_value() ||
         waiting.CountMoreUrgent(query.rank) > 0;
}

std::optional<DispatchRefusal> AdmissionControl::DeferRetry(
    Instant now, const DispatchQuery& query, const DispatchForecast& forecast,
    Instant forecast_at) {
  if (query.fingerprint == 0) return std::nullopt;
  ServiceLoad& load = LoadOf(query.service);
  const WaitingRequests::Entry* known =
      load.retries.Find(now, query.fingerprint);
  const Duration waited =
      known == nullptr ? Duration::zero() : now - known->first_seen;
  // The caller needs the rest of its time to return by itself.
  const Duration slack = std::min(
      query.time_left - LeastWork(forecast),
      Scale(query.time_left + waited, settings_.max_hold_fraction) - waited);
  const Duration prompt =
      Scale(query.latency_objective, settings_.prompt_fraction);
  const std::size_t before = load.retries.CountAsUrgent(query.rank);
  const double granted_per_second =
      load.retries_granted.ValueAt(now, settings_.count_decay) /
      ToSeconds(settings_.count_decay);
  const bool is_hopeless =
      known == nullptr && before >= settings_.min_waiting_retries &&
      static_cast<double>(before) > granted_per_second * ToSeconds(slack);
  if (slack < kMinReturn || is_hopeless) {
    load.retries.Remove(query.fingerprint);
    const DispatchRefusal refusal = {
        ErrorKind::kQueueFull,
        Scale(MaxReturn(query), 0.5 + Spread(now, query) / 2)};
    Count(now, query, forecast, forecast_at, AdmissionReason::kRetryBudget,
          Duration::zero(), refusal, load);
    return refusal;
  }
  // Those with the least time that still suffices ask most often.
  const Duration wait = std::clamp(
      Scale(slack, settings_.prompt_fraction * (1 + Spread(now, query))),
      kMinReturn, std::max(prompt, kMinReturn));
  const DispatchRefusal refusal = {ErrorKind::kQueueFull, wait, true};
  load.retries.Add(now, query.fingerprint, query.rank, now + wait);
  Count(now, query, forecast, forecast_at, AdmissionReason::kRetryBudget, slack,
        refusal, load);
  return refusal;
}

void AdmissionControl::RecordRetry(Instant now, const DispatchQuery& query) {
  ServiceLoad& load = LoadOf(query.service);
  load.retries.Remove(query.fingerprint);
  load.retries_granted.Add(now, settings_.count_decay);
}

void AdmissionControl::Count(Instant now, const DispatchQuery& query,
                             const DispatchForecast& forecast,
                             Instant forecast_at, AdmissionReason reason,
                             Duration max_wait, const DispatchRefusal& refusal,
                             const ServiceLoad& load) {
  AdmissionTally& tally = tallies_[{query.service, query.rank, reason}];
  tally.service = query.service;
  tally.rank = query.rank;
  tally.reason = reason;
  ++tally.requests;
  if (refusal.hold) ++tally.held;
  tally.forecast = forecast;
  tally.forecast_age = now - forecast_at;
  tally.max_wait = max_wait;
  tally.time_left = query.time_left;
  tally.return_after = refusal.retry_after;
  tally.waiting = load.told.size() + load.retries.size();
}

void AdmissionControl::Tick(Instant now) {
  constexpr double kForgotten = 0.01;
  constexpr Duration kPeriod = std::chrono::seconds(1);
  if (now < next_tick_) return;
  next_tick_ = now + kPeriod;
  for (auto& [service, load] : loads_) {
    load.told.Tick(now);
    load.retries.Tick(now);
    for (auto& [id, rank] : load.ranks) {
      std::erase_if(rank.callers, [&](const auto& item) {
        return item.second.offered.ValueAt(now, settings_.count_decay) <
               kForgotten;
      });
    }
    std::erase_if(load.ranks, [&](const auto& item) {
      return item.second.offered.ValueAt(now, settings_.count_decay) <
             kForgotten;
    });
  }
}

std::vector<AdmissionTally> AdmissionControl::TakeTallies() {
  std::vector<AdmissionTally> tallies;
  tallies.reserve(tallies_.size());
  for (auto& [key, tally] : std::exchange(tallies_, {})) {
    tallies.push_back(std::move(tally));
  }
  return tallies;
}

}  // namespace sapphirebank
