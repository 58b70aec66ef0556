#include "sapphirebank/backend/service_health.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace sapphirebank {
namespace {

// Score of a server when its ejection ends.
constexpr double kPostEjectionScore = ServerHealthEvaluator::kThreshold / 4;
// Score from which a server counts as bad in the evaluation of its owner.
constexpr double kOwnerSuspicionScore = ServerHealthEvaluator::kThreshold / 3;
// An owner is suspected to be the cause when at least the first share of its
// servers and at most the second share of all other servers are bad.
constexpr double kOwnerBadShare = 0.6;
constexpr double kOthersBadShare = 0.3;
constexpr std::size_t kMinOwnerServers = 2;
// Time for which the suspicion must persist before another host should take
// over the key.
constexpr Duration kOwnerSuspicionDelay = std::chrono::seconds(3);
// Time after a change of owner during which the new owner is not suspected.
constexpr Duration kOwnerClearedTime = std::chrono::minutes(2);
// Time within which every live owner has reported to a new coordinator.
constexpr Duration kFirstReportsWindow = std::chrono::seconds(2);
// Upper bound of the ratio between the rates of two hosts' clocks.
constexpr double kClockDrift = 1.02;
constexpr double kRoundingTolerance = 1e-9;
// Number of events in a window from which the window alone determines the
// baseline.
constexpr double kMinBaselineEvents = 30;

Duration WithDrift(Duration duration) {
  return FromSeconds(ToSeconds(duration) * kClockDrift);
}

}  // namespace

const char* HealthDecisionName(HealthDecision::Kind kind) {
  switch (kind) {
    case HealthDecision::Kind::kEjected:
      return "ejected";
    case HealthDecision::Kind::kEnded:
      return "ended";
    case HealthDecision::Kind::kReleased:
      return "released";
    case HealthDecision::Kind::kForgiven:
      return "forgiven";
    case HealthDecision::Kind::kLimited:
      return "limited";
    case HealthDecision::Kind::kOwnerSuspected:
      return "owner_suspected";
  }
  return "unknown";
}

ServiceHealth::ServiceHealth(const ServiceHealthSettings& settings, Instant now)
    : settings_(settings),
      reports_complete_at_(now + kFirstReportsWindow),
      ejections_allowed_at_(now + WithDrift(settings.verdict_ttl)) {}

void ServiceHealth::SetPolicy(const Declarations& declarations) {
  zones_.clear();
  for (const auto& zone : declarations.zones) {
    zones_[zone.id] = zone.in_service;
  }
  for (const auto& service : declarations.services) {
    if (service.id == settings_.service) policy_ = service.policy;
  }
}

Result<void> ServiceHealth::AddReport(Instant now, const WindowReport& report) {
  if (report.key.service != settings_.service) {
    return Fail(
        ErrorKind::kPeerRejected,
        fmt::format("report for service \"{}\", expected \"{}\"",
                    report.key.service.value(), settings_.service.value()));
  }
  const auto [entry, is_new] = owners_.try_emplace(report.key);
  Owner& owner = entry->second;
  const bool older =
      report.term < owner.term ||
      (report.term == owner.term && report.sequence <= owner.sequence);
  if (!is_new && older) {
    return Fail(ErrorKind::kPeerRejected,
                "report is not newer than the last one of its key");
  }
  if (!is_new && report.owner != owner.host) {
    // The evidence reported by the former owner may have been caused by that
    // owner.
    for (auto& [backend, server] : servers_) {
      if (server.key == report.key) server.evaluator.Reset(0);
    }
    if (owner.suspected_since) owner.cleared_until = now + kOwnerClearedTime;
    owner.suspected_since.reset();
    owner.suspected = false;
  }
  owner.host = report.owner;
  owner.term = report.term;
  owner.sequence = report.sequence;
  owner.last_report = now;
  UpdateServers(now, report);
  for (const BackendId& crashed_server : quarantine_.AddReport(now, report)) {
    const auto found = servers_.find(crashed_server);
    if (found == servers_.end()) continue;
    Server& server = found->second;
    server.evaluator.DropCrashEvidence();
    if (!server.ejection || server.ejection->cause == VerdictCause::kSlow) {
      continue;
    }
    EndEjection(now, server);
    server.evaluator.Reset(0);
    if (server.level > 0) --server.level;
    pending_decisions_.push_back(
        MakeDecision(HealthDecision::Kind::kForgiven, crashed_server, server));
  }
  return {};
}

void ServiceHealth::UpdateServers(Instant now, const WindowReport& report) {
  for (auto& [backend, server] : servers_) {
    if (server.key == report.key) server.announced = false;
  }
  for (const ServerWindow& window : report.servers) {
    if (window.state == BackendState::kSilent) continue;
    const auto [entry, is_new] = servers_.try_emplace(window.backend);
    Server& server = entry->second;
    if (is_new) server.evaluator = ServerHealthEvaluator(now, window);
    server.key = report.key;
    server.announced = true;
    server.evaluator.AddWindow(now, window);
    InheritEjection(now, server, window);
  }
}

void ServiceHealth::InheritEjection(Instant now, Server& server,
                                    const ServerWindow& window) {
  if (server.ejection || window.ejection_left <= Duration::zero()) return;
  if (now >= ejections_allowed_at_ || now < server.in_force_until) return;
  const Duration left =
      std::min(window.ejection_left, policy_.max_ejection_time);
  server.ejection = Ejection{now + left, VerdictCause::kInherited, 0};
  server.level = std::max(window.ejection_level, 1U);
}

bool ServiceHealth::HasRecentReport(Instant now, const BackendKey& key) const {
  const auto owner = owners_.find(key);
  return owner != owners_.end() &&
         now - owner->second.last_report <= settings_.report_ttl;
}

bool ServiceHealth::InUse(Instant now, const Server& server) const {
  return server.announced && HasRecentReport(now, server.key) &&
         AcceptsRequests(server.evaluator.state()) && !server.ejection;
}

bool ServiceHealth::OutOfUse(Instant now, const Server& server) const {
  const auto zone = zones_.find(server.key.zone);
  return server.ejection || !HasRecentReport(now, server.key) ||
         !AcceptsRequests(server.evaluator.state()) || zone == zones_.end() ||
         !zone->second;
}

FloorStatus ServiceHealth::Floor(Instant now) const {
  FloorStatus status;
  for (const auto& [backend, server] : servers_) {
    if (!server.announced) continue;
    ++status.announced;
    if (OutOfUse(now, server)) {
      ++status.out_of_use;
    } else if (now < server.in_force_until) {
      ++status.returning;
    }
    if (server.ejection) ++status.ejected;
  }
  const double share = 1 - std::clamp(policy_.healthy_floor, 0.0, 1.0);
  status.allowed = static_cast<std::size_t>(std::floor(
      static_cast<double>(status.announced) * share + kRoundingTolerance));
  return status;
}

std::vector<HealthDecision> ServiceHealth::Decide(Instant now) {
  std::vector<HealthDecision> decisions = std::move(pending_decisions_);
  pending_decisions_.clear();
  quarantine_.Expire(now);
  std::erase_if(servers_, [&](const auto& entry) {
    const auto owner = owners_.find(entry.second.key);
    const Duration silence = now - owner->second.last_report;
    const bool recently_ejected =
        now - entry.second.last_ejection_end < policy_.max_ejection_time;
    return silence > settings_.silent_owner_retention ||
           (!entry.second.announced && !entry.second.ejection &&
            !recently_ejected);
  });
  const PeerBaseline baseline = ComputeBaseline(now);
  for (auto& [backend, server] : servers_) {
    if (InUse(now, server)) server.evaluator.Evaluate(now, baseline);
  }
  SuspectOwners(now, decisions);
  ExpireEjections(now, decisions);
  ReleaseAboveFloor(now, decisions);
  EjectWorst(now, decisions);
  return decisions;
}

PeerBaseline ServiceHealth::ComputeBaseline(Instant now) {
  std::vector<EventCount> failures;
  EventCount all_failures;
  std::vector<EventCount> stuck;
  std::vector<Duration> latencies;
  for (const auto& [backend, server] : servers_) {
    if (!InUse(now, server)) continue;
    failures.push_back(server.evaluator.Failures());
    all_failures.bad += failures.back().bad;
    all_failures.total += failures.back().total;
    stuck.push_back({server.evaluator.HasStuckRequests() ? 1.0 : 0.0, 1.0});
    latencies.push_back(server.evaluator.MedianLatency());
  }
  PeerBaseline baseline;
  baseline.failure_share = TrimmedBadShare(failures);
  if (all_failures.total < kMinBaselineEvents) {
    baseline.failure_share =
        std::max(baseline.failure_share, historical_failures_.share());
  }
  historical_failures_.Add(all_failures);
  baseline.stuck_share = TrimmedBadShare(stuck);
  baseline.slow_threshold = SlowThreshold(std::move(latencies));
  std::vector<EventCount> slow;
  for (const auto& [backend, server] : servers_) {
    if (!InUse(now, server)) continue;
    slow.push_back(server.evaluator.SlowAnswers(baseline.slow_threshold));
  }
  baseline.slow_share = TrimmedBadShare(slow);
  return baseline;
}

void ServiceHealth::SuspectOwners(Instant now,
                                  std::vector<HealthDecision>& decisions) {
  std::map<BackendKey, EventCount> by_key;
  EventCount all;
  for (const auto& [backend, server] : servers_) {
    if (!InUse(now, server)) continue;
    const double bad = server.evaluator.score() >= kOwnerSuspicionScore ? 1 : 0;
    by_key[server.key].bad += bad;
    by_key[server.key].total += 1;
    all.bad += bad;
    all.total += 1;
  }
  for (auto& [key, owner] : owners_) {
    const EventCount& own = by_key[key];
    const double others = all.total - own.total;
    const bool cause = now >= owner.cleared_until &&
                       own.total >= kMinOwnerServers &&
                       own.bad >= kOwnerBadShare * own.total && others > 0 &&
                       all.bad - own.bad <= kOthersBadShare * others;
    if (!cause) {
      owner.suspected_since.reset();
      owner.suspected = false;
      continue;
    }
    if (!owner.suspected_since) owner.suspected_since = now;
    if (!owner.suspected &&
        now - *owner.suspected_since >= kOwnerSuspicionDelay) {
      owner.suspected = true;
      HealthDecision decision;
      decision.kind = HealthDecision::Kind::kOwnerSuspected;
      decision.key = key;
      decisions.push_back(decision);
    }
  }
}

void ServiceHealth::ExpireEjections(Instant now,
                                    std::vector<HealthDecision>& decisions) {
  for (auto& [backend, server] : servers_) {
    if (!server.ejection || server.ejection->until > now) continue;
    EndEjection(now, server);
    decisions.push_back(
        MakeDecision(HealthDecision::Kind::kEnded, backend, server));
  }
}

void ServiceHealth::EndEjection(Instant now, Server& server) {
  server.ejection.reset();
  server.last_ejection_end = now;
  server.in_force_until = now + WithDrift(settings_.verdict_ttl);
  server.evaluator.Reset(kPostEjectionScore);
}

void ServiceHealth::ReleaseAboveFloor(Instant now,
                                      std::vector<HealthDecision>& decisions) {
  // Until then, some owners may not have reported.
  if (now < reports_complete_at_) return;
  while (true) {
    const FloorStatus floor = Floor(now);
    if (floor.out_of_use <= floor.allowed || floor.ejected == 0) return;
    auto mildest = servers_.end();
    for (auto it = servers_.begin(); it != servers_.end(); ++it) {
      if (!it->second.ejection || !it->second.announced) continue;
      if (mildest == servers_.end() ||
          it->second.ejection->severity < mildest->second.ejection->severity) {
        mildest = it;
      }
    }
    EndEjection(now, mildest->second);
    decisions.push_back(MakeDecision(HealthDecision::Kind::kReleased,
                                     mildest->first, mildest->second));
  }
}

void ServiceHealth::EjectWorst(Instant now,
                               std::vector<HealthDecision>& decisions) {
  std::vector<std::map<BackendId, Server>::iterator> bad;
  for (auto it = servers_.begin(); it != servers_.end(); ++it) {
    Server& server = it->second;
    if (!InUse(now, server)) continue;
    const Owner& owner = owners_.at(server.key);
    const bool owner_is_cause =
        owner.suspected_since &&
        now - *owner.suspected_since < settings_.owner_suspicion;
    if (server.evaluator.score() < ServerHealthEvaluator::kThreshold ||
        owner_is_cause) {
      const bool recovered =
          server.evaluator.score() < ServerHealthEvaluator::kThreshold / 2;
      if (recovered) server.limited = false;
      continue;
    }
    bad.push_back(it);
  }
  std::stable_sort(bad.begin(), bad.end(), [](const auto& a, const auto& b) {
    return a->second.evaluator.severity() > b->second.evaluator.severity();
  });
  const FloorStatus floor = Floor(now);
  const std::size_t unavailable = floor.out_of_use + floor.returning;
  std::size_t remaining =
      floor.allowed > unavailable ? floor.allowed - unavailable : 0;
  if (now < ejections_allowed_at_) remaining = 0;
  for (const auto& it : bad) {
    Server& server = it->second;
    // The server's previous ejection still counts as out of use, so that a new
    // one does not reduce capacity further.
    const bool still_counted = now < server.in_force_until &&
                               unavailable <= floor.allowed &&
                               now >= ejections_allowed_at_;
    if (remaining > 0 || still_counted) {
      if (!still_counted) --remaining;
      Eject(now, server);
      decisions.push_back(
          MakeDecision(HealthDecision::Kind::kEjected, it->first, server));
    } else if (!server.limited) {
      server.limited = true;
      decisions.push_back(
          MakeDecision(HealthDecision::Kind::kLimited, it->first, server));
    }
  }
}

void ServiceHealth::Eject(Instant now, Server& server) {
  const bool consecutive = server.level > 0 && now - server.last_ejection_end <
                                                   policy_.max_ejection_time;
  server.level = consecutive ? server.level + 1 : 1;
  Duration time = policy_.ejection_time;
  for (std::uint32_t i = 1; i < server.level; ++i) {
    time = std::min(time * 2, policy_.max_ejection_time);
  }
  server.ejection =
      Ejection{now + std::min(time, policy_.max_ejection_time),
               server.evaluator.cause(), server.evaluator.severity()};
  server.limited = false;
}

HealthDecision ServiceHealth::MakeDecision(HealthDecision::Kind kind,
                                           const BackendId& backend,
                                           const Server& server) const {
  HealthDecision decision;
  decision.kind = kind;
  decision.backend = backend;
  decision.key = server.key;
  decision.cause =
      server.ejection ? server.ejection->cause : server.evaluator.cause();
  decision.score = server.evaluator.score();
  decision.level = server.level;
  return decision;
}

std::optional<VerdictSet> ServiceHealth::VerdictsFor(Instant now,
                                                     const BackendKey& key) {
  if (!HasRecentReport(now, key)) return std::nullopt;
  const Owner& owner = owners_.at(key);
  VerdictSet set;
  set.coordinator = settings_.host;
  set.term = settings_.term;
  set.key = key;
  set.owner_term = owner.term;
  set.in_reply_to = owner.sequence;
  set.ttl = settings_.verdict_ttl;
  set.suspects = quarantine_.Suspects();
  set.quarantined = quarantine_.Quarantined(now);
  set.owner_suspected = owner.suspected;
  for (const auto& [backend, server] : servers_) {
    if (server.key != key || !server.announced) continue;
    if (server.ejection && server.ejection->until > now) {
      set.verdicts.push_back({backend, VerdictKind::kEject,
                              server.ejection->cause, 0,
                              server.ejection->until - now, server.level});
    } else if (server.limited) {
      set.verdicts.push_back({backend, VerdictKind::kLimit,
                              server.evaluator.cause(), 1, Duration::zero(),
                              0});
    }
  }
  return set;
}

std::vector<BackendKey> ServiceHealth::Keys(Instant now) const {
  std::vector<BackendKey> keys;
  for (const auto& [key, owner] : owners_) {
    if (HasRecentReport(now, key)) keys.push_back(key);
  }
  return keys;
}

}  // namespace sapphirebank
