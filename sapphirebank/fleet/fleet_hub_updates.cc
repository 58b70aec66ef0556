#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "sapphirebank/fleet/detour_hosts.h"
#include "sapphirebank/fleet/fleet_hub.h"

// What a hub sends: updates to the hosts that report to it, and a relay's
// reports to the leader.
namespace sapphirebank {

FleetUpdate FleetHub::BuildUpdate(Instant now, const HostId& id,
                                  const FleetRecord& record) {
  return FillUpdate(now, reporters_[id], record);
}

bool FleetHub::HasPendingUpdate(Instant now, const HostId& id) const {
  const auto found = reporters_.find(id);
  if (found == reporters_.end()) return false;
  const Reporter& reporter = found->second;
  // Entry hosts get health changes with the updates that answer their reports,
  // as the hub chooses servers for them.
  const std::uint64_t registry =
      reporter.is_relay ? registry_.changes() : registry_.urgent_changes();
  return (!AwaitsRegistry(now, reporter) &&
          reporter.registry_changes_sent < registry) ||
         reporter.plan_version_sent < plans_.newest() ||
         reporter.shared_state_sent < shared_state_version_ ||
         !reporter.pending_grants.empty();
}

bool FleetHub::HasPendingGrants(const HostId& id) const {
  const auto found = reporters_.find(id);
  return found != reporters_.end() && !found->second.pending_grants.empty();
}

bool FleetHub::RegistryIsComplete(Instant now) const {
  return has_server_list_ ||
         (first_report_at_ &&
          now - *first_report_at_ >= settings_.max_incomplete_time);
}

bool FleetHub::AwaitsRegistry(Instant now, const Reporter& reporter) const {
  return !reporter.is_relay && !reporter.has_no_servers &&
         reporter.registry_changes_sent == 0 && !RegistryIsComplete(now);
}

FleetUpdate FleetHub::FillUpdate(Instant now, Reporter& reporter,
                                 const FleetRecord& record) {
  FleetUpdate update;
  update.record_changes = record.changes();
  update.registry_id = id_;
  const bool is_new = reporter.registry_changes_sent == 0;
  const bool sends_registry = !AwaitsRegistry(now, reporter);
  update.registry_changes =
      sends_registry ? registry_.changes() : reporter.registry_changes_sent;
  update.full_registry = is_new && sends_registry;
  update.wants_servers = reporter.is_relay && !RegistryIsComplete(now);
  const bool is_behind =
      sends_registry && reporter.registry_changes_sent < registry_.changes();
  for (const auto& [id, entry] : registry_.entries()) {
    if (!is_behind) break;
    if (entry.change_number <= reporter.registry_changes_sent) continue;
    if (update.full_registry && entry.state.retired) continue;
    ServerUpdate server_update;
    server_update.announcement = entry.state.announcement;
    server_update.health = entry.state.health;
    server_update.cold_for =
        std::max(entry.state.cold_until - now, Duration::zero());
    server_update.retired = entry.state.retired;
    server_update.rate_limit = entry.state.rate_limit;
    update.servers.push_back(std::move(server_update));
  }
  reporter.registry_changes_sent = update.registry_changes;
  if (reporter.plan_version_sent < plans_.newest()) {
    update.plan = plans_.UpdateSince(reporter.plan_version_sent);
    reporter.plan_version_sent = plans_.newest();
  }
  if (reporter.shared_state_sent < shared_state_version_) {
    reporter.shared_state_sent = shared_state_version_;
    update.shared_state = true;
    update.zones_out = record.zones_out();
    if (LimitsVersions(record)) update.versions = VersionRecordOf(record);
    if (!is_leader_ || now >= rates_settled_at_) {
      update.request_rates = request_rates_;
    }
    update.quarantines = crash_detector_.Quarantines(now);
    update.entry_hosts = TotalEntryHosts();
    update.hubs = hubs_;
    if (!reporter.is_relay) {
      const ReadyHost self = reporter.ready_hosts.empty()
                                 ? ReadyHost{"", self_.zone}
                                 : reporter.ready_hosts.front();
      update.detour_hosts = ChooseDetourHosts(fleet_hosts_, self, kDetourHosts);
    }
  }
  update.granted = std::exchange(reporter.pending_grants, {});
  return update;
}

bool FleetHub::LeaderReportIsDue(Instant now) const {
  // Reports are clocked by their answers (Jacobson, "Congestion Avoidance and
  // Control", SIGCOMM 1988): a leader that is late gets fewer, larger ones.
  const bool awaits_answer =
      unanswered_report_at_ &&
      now - *unanswered_report_at_ < settings_.report_answer_timeout;
  if (awaits_answer) return false;
  const Duration interval =
      must_report_to_leader_
          ? std::min<Duration>(
                settings_.min_report_interval_per_hub * hubs_.size(),
                settings_.leader_report_period)
          : settings_.leader_report_period;
  return now - last_leader_report_at_ >= interval;
}

EntryReport FleetHub::BuildLeaderReport(Instant now, bool first) {
  must_report_to_leader_ = false;
  last_leader_report_at_ = now;
  unanswered_report_at_ = now;
  EntryReport report = std::exchange(pending_report_, {});
  std::vector<ReadyHost> ready = ReadyHosts(now);
  const bool is_due = now >= next_ready_hosts_at_;
  if (first || is_due || ready != reported_ready_hosts_) {
    next_ready_hosts_at_ = now + settings_.ready_hosts_period;
    reported_ready_hosts_ = std::move(ready);
    report.ready_hosts = reported_ready_hosts_;
  } else {
    report.ready_hosts.reset();
  }
  report.entry_hosts = 0;
  for (const auto& [id, reporter] : reporters_) {
    report.entry_hosts += reporter.entry_hosts;
  }
  report.registry_id = leader_registry_id_;
  report.known_registry_changes = leader_registry_changes_;
  // Relays receive the plan through the replicated log.
  report.known_plan_version = plans_.newest();
  if (first) {
    report.crashes = crash_detector_.Crashes(now);
    report.quarantines = crash_detector_.Quarantines(now);
    for (const auto& [id, entry] : registry_.entries()) {
      if (!entry.state.retired)
        report.known_servers.push_back(entry.state.announcement);
    }
  }
  for (auto& [workspace, orders] : token_orders_) {
    if (first) orders.unsent += std::exchange(orders.outstanding, 0);
    if (orders.unsent == 0) continue;
    report.wanted_tokens[workspace] = orders.unsent;
    orders.outstanding += std::exchange(orders.unsent, 0);
  }
  return report;
}

void FleetHub::ApplyLeaderUpdate(Instant now, const FleetUpdate& update,
                                 const FleetRecord& record) {
  if (update.answered_report != 0) unanswered_report_at_.reset();
  std::set<BackendId> listed;
  for (const ServerUpdate& server_update : update.servers) {
    registry_.ApplyServerUpdate(now, server_update, record);
    listed.insert(server_update.announcement.id);
  }
  if (update.full_registry && !update.wants_servers) has_server_list_ = true;
  leader_registry_id_ = update.registry_id;
  leader_registry_changes_ = update.registry_changes;
  if (update.shared_state) {
    request_rates_ = update.request_rates;
    for (const RequestQuarantine& quarantine : update.quarantines) {
      crash_detector_.RecordQuarantine(now, quarantine);
    }
    total_entry_hosts_ = update.entry_hosts;
    UpdateZoneHubs();
    ++shared_state_version_;
  }
  for (const auto& [workspace, grant] : update.granted) {
    DistributeGrant(workspace, grant);
  }
}

// Distributes a grant to the waiting hosts in the order of their requests.
void FleetHub::DistributeGrant(const WorkspaceId& workspace, TokenGrant grant) {
  TokenOrders& orders = token_orders_[workspace];
  orders.outstanding -= std::min(orders.outstanding, grant.settled);
  while (!orders.waiting.empty() && grant.settled > 0) {
    TokenOrders::WaitingOrder& waiting = orders.waiting.front();
    const std::uint32_t settled = std::min(waiting.tokens, grant.settled);
    const std::uint32_t tokens = std::min(settled, grant.tokens);
    QueueGrant(waiting.host, workspace, {tokens, settled});
    grant.tokens -= tokens;
    grant.settled -= settled;
    waiting.tokens -= settled;
    if (waiting.tokens == 0) orders.waiting.pop_front();
  }
}

void FleetHub::SetFleetHosts(std::vector<ReadyHost> hosts) {
  std::set<std::string_view> sound;
  for (const ReadyHost& host : hosts) {
    if (host.reaches_servers) sound.insert(host.address);
  }
  const bool one_was_lost = std::any_of(
      fleet_hosts_.begin(), fleet_hosts_.end(), [&](const ReadyHost& host) {
        return host.reaches_servers && !sound.contains(host.address);
      });
  const bool is_first = fleet_hosts_.empty() && !hosts.empty();
  fleet_hosts_ = std::move(hosts);
  if (one_was_lost || is_first) ++shared_state_version_;
}

void FleetHub::InheritReadyHosts(Instant now,
                                 const std::vector<ReadyHost>& ready) {
  for (const ReadyHost& host : ready)
    inherited_ready_[host.address] = {host, now};
}

std::vector<ReadyHost> FleetHub::ReadyHosts(Instant now) const {
  std::map<std::string, ReadyHost> ready;
  for (const auto& [address, inherited] : inherited_ready_) {
    if (now - inherited.inherited_at < settings_.entry_report_timeout) {
      ready[address] = inherited.host;
    }
  }
  for (const auto& [id, reporter] : reporters_) {
    if (now - reporter.last_report_at >= settings_.entry_report_timeout)
      continue;
    for (const ReadyHost& host : reporter.ready_hosts)
      ready[host.address] = host;
  }
  std::vector<ReadyHost> list;
  list.reserve(ready.size());
  for (auto& [address, host] : ready) list.push_back(std::move(host));
  return list;
}

}  // namespace sapphirebank
