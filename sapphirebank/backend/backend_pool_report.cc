#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sapphirebank/backend/backend_pool.h"

namespace sapphirebank {
namespace {

// Shortest intervals between two probes of one server: while it is suspect (its
// requests fail or do not finish), and while it has no requests.
constexpr Duration kSuspectProbeInterval = std::chrono::seconds(1);
constexpr Duration kIdleProbeInterval = std::chrono::seconds(2);
// Factor by which older latencies decay with each report.
constexpr double kLatencyDecay = 0.8;
constexpr double kMinLatencies = 20;
// A request is overdue after this multiple of the service's median latency, but
// never before the minimum below.
constexpr int kOverdueRatio = 20;
constexpr Duration kMinOverdueLimit = std::chrono::milliseconds(500);
// Number of latest reports that verdicts may still answer.
constexpr std::size_t kMaxTrackedReports = 64;

}  // namespace

bool BackendPool::ProbeIsDue(Instant now, const ServiceGroup& group,
                             const BackendServer& server) const {
  const BackendState state = server.state();
  if (!AcceptsRequests(state) && state != BackendState::kEjected) return false;
  const auto& running = server.slot_tracker().running();
  if (std::any_of(running.begin(), running.end(),
                  [](const auto& request) { return request.probe; })) {
    return false;
  }
  const bool suspect = server.IsSuspect(now, group.overdue_limit);
  const bool idle = now - server.last_answer() >= settings_.probe_idle;
  if (!suspect && !idle) return false;
  const std::uint32_t slots = server.announcement().slots;
  const Duration affordable = FromSeconds(ToSeconds(settings_.probe_cost) /
                                          (slots * settings_.probe_share));
  const Duration interval = std::max(
      affordable, suspect ? kSuspectProbeInterval : kIdleProbeInterval);
  if (now - server.last_probe() < interval) return false;
  if (server.slot_tracker().taken() < slots &&
      (state == BackendState::kEjected || server.FreeSlots(group.policy) > 0)) {
    return true;
  }
  // When no request finishes, only a probe on a new connection can show whether
  // the server or the old connections are at fault. The probe is sent although
  // no slot is free.
  const auto overdue =
      server.slot_tracker().CountOverdue(now, group.overdue_limit);
  return overdue.fresh + overdue.old > 0 &&
         overdue.fresh + overdue.old == running.size();
}

std::vector<ProbeRequest> BackendPool::DueProbes(Instant now) {
  std::vector<ProbeRequest> probes;
  for (auto& [service, group] : groups_) {
    for (const auto& server : group.servers) {
      if (!ProbeIsDue(now, group, *server)) continue;
      if (!server->OpenConnection()) continue;
      server->set_last_probe(now);
      server->slot_tracker().Start({0, now, 0, true, true});
      probes.push_back(
          {server->announcement().backend, server->announcement().address});
    }
  }
  return probes;
}

void BackendPool::FinishProbe(Instant now, const BackendId& backend,
                              ProbeOutcome outcome) {
  const ServerPtr server = FindServer(backend);
  if (!server) return;
  // The result of a probe sent to an earlier process of the server says nothing
  // about the present one.
  if (server->connections() > 0) server->CloseConnection();
  if (!server->slot_tracker().FinishProbe()) return;
  server->RecordProbe(now, outcome);
  CollectCrashReport(now, *server);
}

std::vector<ServerStateChange> BackendPool::Expire(Instant now) {
  std::vector<ServerStateChange> events;
  std::vector<BackendId> ended;
  for (auto& [service, group] : groups_) {
    group.quarantine.Expire(now);
    for (const auto& server : group.servers) {
      const BackendState before = server->state();
      server->Expire(now);
      if (now - server->last_announced() >= group.policy.announcement_ttl) {
        server->ExpireAnnouncement();
      }
      const BackendId& backend = server->announcement().backend;
      if (server->state() != before) {
        events.push_back({backend, before, server->state()});
      }
      if (server->state() == BackendState::kSilent &&
          server->slot_tracker().taken() == 0) {
        ended.push_back(backend);
      }
    }
  }
  for (const BackendId& backend : ended) RemoveServer(backend);
  return events;
}

std::vector<WindowReport> BackendPool::CollectReports(Instant now) {
  std::vector<WindowReport> reports;
  reports.reserve(owned_.size());
  report_is_urgent_ = false;
  for (auto& [key, owned] : owned_) {
    reports.push_back(BuildReport(now, key, owned));
  }
  for (auto& [service, group] : groups_) {
    group.recent_latencies.Decay(kLatencyDecay);
    if (group.recent_latencies.total() < kMinLatencies) continue;
    group.median_latency = group.recent_latencies.Quantile(0.5);
    group.overdue_limit =
        std::max(kMinOverdueLimit, group.median_latency * kOverdueRatio);
  }
  return reports;
}

WindowReport BackendPool::BuildReport(Instant now, const BackendKey& key,
                                      OwnedKey& owned) {
  WindowReport report;
  report.owner = settings_.host;
  report.term = owned.term;
  report.key = key;
  report.sequence = ++owned.sequence;
  report.window = now - std::exchange(owned.last_report, now);
  owned.report_times[report.sequence] = now;
  if (owned.report_times.size() > kMaxTrackedReports) {
    owned.report_times.erase(owned.report_times.begin());
  }
  const auto group = groups_.find(key.service);
  if (group == groups_.end()) return report;
  for (const auto& server : group->second.servers) {
    if (server->announcement().key != key) continue;
    report.servers.push_back(
        server->TakeWindow(now, group->second.overdue_limit));
    group->second.recent_latencies.Merge(report.servers.back().latency);
  }
  report.crashes = std::exchange(owned.crashes, {});
  report.survived = group->second.quarantine.TakeSurvived();
  report.quarantined = group->second.quarantine.Quarantined(now);
  return report;
}

Result<void> BackendPool::ApplyVerdicts(Instant now,
                                        const VerdictSet& verdicts) {
  const auto owned_entry = owned_.find(verdicts.key);
  if (owned_entry == owned_.end()) {
    return Fail(ErrorKind::kNotFound,
                "verdicts for a key that this host does not own");
  }
  OwnedKey& owned = owned_entry->second;
  const auto sent = owned.report_times.find(verdicts.in_reply_to);
  if (verdicts.owner_term != owned.term || sent == owned.report_times.end() ||
      sent->second + verdicts.ttl <= now) {
    return Fail(ErrorKind::kPeerRejected,
                "verdicts do not answer a recent report of this owner");
  }
  if (verdicts.term < owned.coordinator_term ||
      (verdicts.term == owned.coordinator_term &&
       verdicts.in_reply_to < owned.answered_report)) {
    return Fail(ErrorKind::kPeerRejected,
                "verdicts are older than those in force");
  }
  owned.coordinator_term = verdicts.term;
  owned.answered_report = verdicts.in_reply_to;
  const auto group = groups_.find(verdicts.key.service);
  if (group == groups_.end()) return {};
  group->second.quarantine.Merge(now, verdicts.suspects, verdicts.quarantined);
  const Instant until = sent->second + verdicts.ttl;
  for (const auto& server : group->second.servers) {
    if (server->announcement().key != verdicts.key) continue;
    const BackendId& backend = server->announcement().backend;
    const auto verdict = std::find_if(
        verdicts.verdicts.begin(), verdicts.verdicts.end(),
        [&](const Verdict& other) { return other.backend == backend; });
    if (verdict == verdicts.verdicts.end()) {
      server->EndVerdict();
    } else {
      server->SetVerdict(now, *verdict, until);
    }
  }
  return {};
}

}  // namespace sapphirebank
