#include "sapphirebank/membership/freshness_monitor.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace sapphirebank {
namespace {

// Stamp ages, as fractions of the maximum, from which a host queries the
// witnesses. Witnesses query early, on behalf of all hosts; other hosts query
// only when no stamp reached them.
constexpr int kWitnessQueryAgeDivisor = 4;
constexpr int kNonWitnessQueryAgeNumerator = 3;
constexpr int kNonWitnessQueryAgeDivisor = 4;

Result<void> CheckSettings(const FreshnessSettings& settings) {
  const auto fail = [](std::string_view cause) {
    return Fail(ErrorKind::kInvalidSettings,
                fmt::format("freshness: {}", cause));
  };
  if (settings.self.empty()) return fail("the host id is missing");
  if (settings.witnesses.empty()) return fail("there are no witnesses");
  const std::set<HostId> distinct(settings.witnesses.begin(),
                                  settings.witnesses.end());
  if (distinct.size() != settings.witnesses.size()) {
    return fail("a witness is listed twice");
  }
  if (settings.query_period <= Duration::zero()) {
    return fail("the query period must be positive");
  }
  if (settings.max_stamp_age < 4 * settings.query_period) {
    return fail("the maximum stamp age must be at least 4 query periods");
  }
  if (settings.max_report_age <= Duration::zero()) {
    return fail("the maximum report age must be positive");
  }
  return {};
}

}  // namespace

Result<FreshnessMonitor> FreshnessMonitor::Create(FreshnessSettings settings,
                                                  Instant now) {
  if (auto valid = CheckSettings(settings); !valid) {
    return tl::unexpected(valid.error());
  }
  return FreshnessMonitor(std::move(settings), now);
}

FreshnessMonitor::FreshnessMonitor(FreshnessSettings settings, Instant now)
    : settings_(std::move(settings)), started_(now), next_round_(now) {}

void FreshnessMonitor::ObserveStamp(Instant now, const RevisionStamp& stamp) {
  latest_stamp_.Observe(now, stamp);
  if (stamp.revision <= revision_) admission_stamp_.Observe(now, stamp);
}

void FreshnessMonitor::SetRevision(Revision revision) {
  revision_ = std::max(revision_, revision);
  if (!latest_stamp_.issued() || latest_stamp_.revision() > revision_) return;
  admission_stamp_ = latest_stamp_;
}

Result<void> FreshnessMonitor::CheckAdmission(Instant now) const {
  const auto issued = admission_stamp_.issued();
  if (revision_ > 0 && issued && now - *issued <= settings_.max_stamp_age) {
    return {};
  }
  if (behind()) {
    return Fail(ErrorKind::kKeyUnverifiable,
                fmt::format("revision {} is in force, this host has {}",
                            latest_stamp_.revision(), revision_));
  }
  return Fail(
      ErrorKind::kKeyUnverifiable,
      "no recent stamp from control or from a majority of the witnesses");
}

std::vector<OutgoingWitnessQuery> FreshnessMonitor::Tick(Instant now) {
  std::vector<OutgoingWitnessQuery> queries;
  if (now < next_round_) return queries;
  next_round_ = now + settings_.query_period;
  const auto issued = admission_stamp_.issued();
  if (issued && now - *issued < StampAgeToQuery()) return queries;
  ++round_;
  round_start_ = now;
  responses_.clear();
  if (IsWitness(settings_.self) && recovered()) {
    responses_[settings_.self] = revision_;
  }
  for (const HostId& witness : settings_.witnesses) {
    if (witness == settings_.self) continue;
    queries.push_back({witness, WitnessQuery{round_, settings_.self}});
  }
  EvaluateRound(now);
  return queries;
}

std::optional<WitnessResponse> FreshnessMonitor::Receive(
    Instant now, const WitnessQuery& query) const {
  if (!IsWitness(settings_.self) || !recovered()) return std::nullopt;
  return WitnessResponse{query.round, settings_.self, revision_,
                         latest_stamp_.At(now)};
}

void FreshnessMonitor::Receive(Instant now, const WitnessResponse& response) {
  if (!round_start_ || response.round != round_) return;
  if (!IsWitness(response.from)) return;
  if (response.stamp) {
    const Duration round_trip = now - *round_start_;
    ObserveStamp(now,
                 {response.stamp->revision, response.stamp->age + round_trip});
  }
  responses_[response.from] = response.revision;
  EvaluateRound(now);
}

// Every revision that was in force when the round began is held by some witness
// of each majority, so the highest revision of any majority is an upper bound.
// The majority with the lowest revisions gives the tightest one.
void FreshnessMonitor::EvaluateRound(Instant now) {
  const std::size_t majority = Majority();
  if (responses_.size() < majority) return;
  std::vector<Revision> revisions;
  revisions.reserve(responses_.size());
  for (const auto& [witness, revision] : responses_) {
    revisions.push_back(revision);
  }
  std::sort(revisions.begin(), revisions.end());
  ObserveStamp(now, {revisions[majority - 1], now - *round_start_});
}

bool FreshnessMonitor::recovered() const {
  const auto issued = admission_stamp_.issued();
  return issued && *issued >= started_ + settings_.max_report_age;
}

bool FreshnessMonitor::IsWitness(const HostId& id) const {
  return std::find(settings_.witnesses.begin(), settings_.witnesses.end(),
                   id) != settings_.witnesses.end();
}

Duration FreshnessMonitor::StampAgeToQuery() const {
  if (IsWitness(settings_.self)) {
    return settings_.max_stamp_age / kWitnessQueryAgeDivisor;
  }
  return settings_.max_stamp_age * kNonWitnessQueryAgeNumerator /
         kNonWitnessQueryAgeDivisor;
}

}  // namespace sapphirebank
