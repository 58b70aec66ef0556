#include "sapphirebank/fleet/fleet_hub.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sapphirebank/fleet/hub_assignment.h"

namespace sapphirebank {
namespace {

// Time constant of the request rate estimate.
constexpr double kRateSmoothingSeconds = 1.5;

// A rate estimate that started from zero is within 5 % after three time
// constants. An earlier one would let entry hosts overload cold servers.
constexpr Duration kRateSettlingTime = std::chrono::milliseconds(4500);

ServerRegistrySettings RegistrySettings(const FleetHubSettings& settings) {
  ServerRegistrySettings registry = settings.registry;
  registry.judges_versions_apart = settings.rollout_share > 0;
  return registry;
}

RolloutShareSettings ShareSettings(const FleetHubSettings& settings) {
  RolloutShareSettings share;
  share.share = settings.rollout_share;
  share.fleet_start = settings.rollout_start;
  return share;
}

}  // namespace

FleetHub::FleetHub(FleetHubSettings settings, std::uint64_t id,
                   const HubHost& self, Random random)
    : settings_(settings),
      id_(id),
      self_(self),
      registry_(RegistrySettings(settings)),
      dispatcher_(settings.dispatcher, self.zone, random),
      admission_(settings.admission),
      retries_(kHubRetryShare, settings.retry_slack),
      crash_detector_(settings.crash_detection),
      hubs_({self}),
      rollout_share_(ShareSettings(settings)) {}

void FleetHub::BecomeLeader(Instant now) {
  is_leader_ = true;
  registry_.ResetHealth();
  UpdateZoneHubs();
  // Rates of the previous leader are continued; without any, the estimate
  // starts from zero.
  request_rates_at_ = now;
  rates_settled_at_ = request_rates_.empty() ? now + kRateSettlingTime : now;
  // The previous leader granted from the same share, so the buckets start anew.
  leader_buckets_ = WorkspaceTokenBuckets();
  if (plan_)
    leader_buckets_.Configure(now, *plan_, LeaderBucketShare(hubs_.size()));
  token_orders_.clear();
  pending_report_ = EntryReport();
  rollout_samples_.clear();
  must_report_to_leader_ = false;
  next_shared_state_at_ = now;
}

void FleetHub::BecomeRelay() {
  is_leader_ = false;
  leader_registry_id_ = 0;
  leader_registry_changes_ = 0;
}

void FleetHub::ApplyRecord(Instant now, const FleetRecord& record,
                           const std::shared_ptr<const TrafficPlan>& plan) {
  registry_.ApplyRetirements(record);
  ApplyRollouts(record);
  if (plan && (!plan_ || plan->version() > plan_->version())) {
    plan_ = plan;
    plans_.Add(plan->version(), record.document());
    leader_buckets_.Configure(now, *plan, LeaderBucketShare(hubs_.size()));
    UpdateShares(now);
  }
  if (zones_out_ == record.zones_out()) return;
  for (const ZoneId& zone : zones_out_) {
    if (record.zones_out().contains(zone)) continue;
    registry_.MarkZoneCold(now, zone, settings_.registry.zone_return_warm_up);
  }
  zones_out_ = record.zones_out();
  ++shared_state_version_;
}

bool FleetHub::ApplyHeartbeat(Instant now,
                              const ServerAnnouncement& announcement,
                              const FleetRecord& record) {
  const auto before = registry_.changes();
  const bool counts = registry_.ApplyHeartbeat(now, announcement, record);
  if (counts && !is_leader_) {
    pending_report_.known_servers.push_back(announcement);
    if (registry_.changes() != before) must_report_to_leader_ = true;
  }
  return counts;
}

FleetUpdate FleetHub::HandleReport(Instant now, const HostId& id, bool is_relay,
                                   const EntryReport& report,
                                   const FleetRecord& record) {
  for (const ServerAnnouncement& server : report.known_servers) {
    ApplyHeartbeat(now, server, record);
  }
  if (!first_report_at_) first_report_at_ = now;
  has_server_list_ =
      has_server_list_ || (!is_relay && !report.known_servers.empty());
  Reporter& reporter = reporters_[id];
  if (report.ready_hosts) {
    reporter.ready_hosts = *report.ready_hosts;
    for (const ReadyHost& host : reporter.ready_hosts)
      inherited_ready_.erase(host.address);
  }
  reporter.entry_hosts = report.entry_hosts;
  reporter.is_relay = is_relay;
  reporter.has_no_servers = report.registry_id == 0;
  reporter.last_report_at = now;
  reporter.plan_version_sent = report.known_plan_version;
  const bool has_registry = report.registry_id == id_;
  reporter.registry_changes_sent =
      has_registry ? report.known_registry_changes : 0;
  if (!has_registry) reporter.shared_state_sent = 0;
  AggregateReport(now, report);
  for (const auto& [workspace, wanted] : report.wanted_tokens) {
    GrantTokens(now, id, is_relay, workspace, wanted);
  }
  FleetUpdate update = FillUpdate(now, reporter, record);
  update.answered_report = report.number;
  if (!is_relay && !RegistryIsComplete(now) && now >= next_server_request_) {
    update.wants_servers = true;
    next_server_request_ = now + settings_.server_request_period;
  }
  return update;
}

// Applies the reported outcomes, or adds them to the report for the leader.
void FleetHub::AggregateReport(Instant now, const EntryReport& report) {
  AggregateSamples(report);
  AggregateCrashes(now, report);
  for (const auto& [server, outcomes] : report.outcomes) {
    if (outcomes.hard_failures > 0) {
      dispatcher_.RecordHardFailure(now, server);
    } else if (outcomes.errors > 0) {
      dispatcher_.RecordError(now, server);
    }
  }
  for (const auto& [server, limit] : report.rate_limits) {
    if (!registry_.ApplyRateLimit(now, server, limit) || is_leader_) continue;
    pending_report_.rate_limits[server] = limit;
    must_report_to_leader_ = true;
  }
  if (is_leader_) {
    for (const auto& [server, outcomes] : report.outcomes) {
      registry_.AddOutcomes(now, server, outcomes);
    }
    UpdateRequestRates(now, report);
    return;
  }
  for (const auto& [server, outcomes] : report.outcomes) {
    ServerOutcomes& sum = pending_report_.outcomes[server];
    sum.successes += outcomes.successes;
    sum.errors += outcomes.errors;
    sum.hard_failures += outcomes.hard_failures;
    const auto known = registry_.entries().find(server);
    const bool is_not_up = known != registry_.entries().end() &&
                           known->second.state.health != ServerHealth::kUp;
    if (outcomes.errors + outcomes.hard_failures > 0 || is_not_up) {
      must_report_to_leader_ = true;
    }
  }
  for (const auto& [service, count] : report.requests) {
    pending_report_.requests[service] += count;
  }
}

// Each hub keeps what it is told, as it may be the next leader.
void FleetHub::AggregateCrashes(Instant now, const EntryReport& report) {
  bool has_new_quarantine = false;
  for (const RequestCrash& crash : report.crashes) {
    has_new_quarantine |= crash_detector_.RecordCrash(now, crash.request,
                                                      crash.server, crash.age);
  }
  for (const RequestQuarantine& quarantine : report.quarantines) {
    has_new_quarantine |= crash_detector_.RecordQuarantine(now, quarantine);
  }
  if (has_new_quarantine) ++shared_state_version_;
  if (is_leader_) return;
  pending_report_.crashes.insert(pending_report_.crashes.end(),
                                 report.crashes.begin(), report.crashes.end());
  pending_report_.quarantines.insert(pending_report_.quarantines.end(),
                                     report.quarantines.begin(),
                                     report.quarantines.end());
}

void FleetHub::QueueGrant(const HostId& host, const WorkspaceId& workspace,
                          TokenGrant grant) {
  const auto reporter = reporters_.find(host);
  if (reporter == reporters_.end()) return;
  has_pending_grants_ = true;
  TokenGrant& pending = reporter->second.pending_grants[workspace];
  pending.tokens += grant.tokens;
  pending.settled += grant.settled;
}

// Takes tokens for an entry host of this hub without asking the leader.
std::uint32_t FleetHub::TakeLocalTokens(Instant now,
                                        const WorkspaceId& workspace,
                                        std::uint32_t wanted) {
  std::uint32_t granted = hub_buckets_.TakeTokens(now, workspace, wanted);
  if (is_leader_) {
    granted += leader_buckets_.TakeTokens(now, workspace, wanted - granted);
  }
  return granted;
}

// Grants tokens from this hub's share of the rates; the rest is requested from
// the leader.
void FleetHub::GrantTokens(Instant now, const HostId& host, bool is_relay,
                           const WorkspaceId& workspace, std::uint32_t wanted) {
  std::uint32_t granted = 0;
  if (!is_relay) {
    granted = TakeLocalTokens(now, workspace, wanted);
  } else if (is_leader_) {
    granted = leader_buckets_.TakeTokens(now, workspace, wanted);
  }
  const std::uint32_t missing = wanted - granted;
  if (is_leader_) {
    QueueGrant(host, workspace, {granted, wanted});
    return;
  }
  if (granted > 0) QueueGrant(host, workspace, {granted, granted});
  if (missing == 0) return;
  TokenOrders& orders = token_orders_[workspace];
  orders.unsent += missing;
  orders.waiting.push_back({host, missing});
  must_report_to_leader_ = true;
}

std::uint32_t FleetHub::TotalEntryHosts() const {
  if (!is_leader_) return total_entry_hosts_;
  std::uint32_t hosts = 0;
  for (const auto& [id, reporter] : reporters_) hosts += reporter.entry_hosts;
  return std::max<std::uint32_t>(hosts, 1);
}

std::uint32_t FleetHub::LocalEntryHosts() const {
  std::uint32_t hosts = 0;
  for (const auto& [id, reporter] : reporters_) {
    if (!reporter.is_relay) ++hosts;
  }
  return hosts;
}

// Sets this hub's share of the rates to its fraction of the entry hosts.
void FleetHub::UpdateShares(Instant now) {
  if (!plan_) return;
  if (hubs_.size() > 1) UpdateZoneHubs();
  const std::uint32_t all = std::max(TotalEntryHosts(), LocalEntryHosts());
  entry_host_fraction_ =
      static_cast<double>(LocalEntryHosts()) / std::max(all, 1U);
  if (entry_host_fraction_ > 0)
    retries_.SetShareCount(1 / entry_host_fraction_);
  hub_buckets_.Configure(now, *plan_, HubBucketShare(entry_host_fraction_));
}

void FleetHub::UpdateRequestRates(Instant now, const EntryReport& report) {
  const double elapsed = ToSeconds(now - request_rates_at_);
  request_rates_at_ = now;
  const double decay = std::exp(-elapsed / kRateSmoothingSeconds);
  for (auto& [service, rate] : request_rates_) rate *= decay;
  for (const auto& [service, count] : report.requests) {
    request_rates_[service] += count / kRateSmoothingSeconds;
  }
}

// Returns the refusal of a request for which there is too little room, or of a
// retry that the budget does not permit now. Retries may wait for it.
std::optional<DispatchRefusal> FleetHub::RefuseOrDefer(
    Instant now, const DispatchQuery& query) {
  const ForecastCache::Entry& known = forecasts_.Find(now, query, [&] {
    return dispatcher_.Forecast(now, query, registry_, zones_out_);
  });
  if (query.is_retry && (!retries_.CanRetry(query.service) ||
                         admission_.MustYieldRetry(now, query))) {
    return admission_.DeferRetry(now, query, known.forecast, known.made_at);
  }
  return admission_.Decide(now, query, known.forecast, known.made_at);
}

std::optional<DispatchChoice> FleetHub::Assign(Instant now,
                                               const AssignmentId& id,
                                               const DispatchQuery& query) {
  if (!plan_) return std::nullopt;
  if (const auto refusal = RefuseOrDefer(now, query)) {
    DispatchChoice refused;
    refused.refusal = *refusal;
    return refused;
  }
  const bool has_token =
      !query.workspace.empty() && TakeLocalTokens(now, query.workspace, 1) == 1;
  if (!query.workspace.empty() && !has_token) return DispatchChoice();
  if (!query.is_retry) retries_.CountRequest(query.service);
  if (query.is_retry && !retries_.CanRetry(query.service)) return std::nullopt;
  auto choice = AssignByVersion(now, id, query);
  if (choice && query.is_retry) {
    retries_.TryAcquire(query.service);
    admission_.RecordRetry(now, query);
  }
  if (!choice && !has_token) return std::nullopt;
  if (!choice) choice.emplace();
  choice->has_token = has_token;
  return choice;
}

void FleetHub::RemoveReporter(const HostId& host) {
  if (host.value() == leader_) unanswered_report_at_.reset();
  reporters_.erase(host);
  dispatcher_.EndAssignmentsOf(host);
}

void FleetHub::SetHubs(std::vector<HubHost> hubs, const std::string& leader) {
  if (leader != leader_) {
    leader_ = leader;
    unanswered_report_at_.reset();
  }
  hubs.push_back(self_);
  std::sort(hubs.begin(), hubs.end(), [&](const HubHost& a, const HubHost& b) {
    return std::make_pair(a.address == leader, a.address) <
           std::make_pair(b.address == leader, b.address);
  });
  if (hubs == hubs_) return;
  hubs_ = std::move(hubs);
  UpdateZoneHubs();
  ++shared_state_version_;
}

void FleetHub::UpdateZoneHubs() {
  dispatcher_.SetZoneHubs(ActiveHubs(hubs_, self_.zone, TotalEntryHosts()),
                          self_.address);
}

void FleetHub::Tick(Instant now) {
  dispatcher_.Tick(now);
  forecasts_.Tick(now);
  admission_.Tick(now);
  std::erase_if(inherited_ready_, [&](const auto& item) {
    return now - item.second.inherited_at >= settings_.entry_report_timeout;
  });
  const std::uint32_t local = LocalEntryHosts();
  const std::uint32_t all = std::max(TotalEntryHosts(), local);
  const double fraction = static_cast<double>(local) / std::max(all, 1U);
  if (fraction != entry_host_fraction_) UpdateShares(now);
  if (!is_leader_) return;
  registry_.Tick(now);
  if (now < next_shared_state_at_) return;
  next_shared_state_at_ = now + settings_.shared_state_period;
  ++shared_state_version_;
}

}  // namespace sapphirebank
