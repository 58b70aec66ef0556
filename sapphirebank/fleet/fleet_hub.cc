#include "sapphirebank/fleet/fleet_hub.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sapphirebank {
namespace {

// Time over which request rates are smoothed.
constexpr double kRateSmoothingSeconds = 1.5;

}  // namespace

FleetHub::FleetHub(FleetHubSettings settings, std::uint64_t id,
                   const HubHost& self, Random random)
    : settings_(settings),
      id_(id),
      self_(self),
      board_(settings.board),
      dispatcher_(settings.dispatch, self.zone, random),
      retries_(kHubRetries, settings.retry_slack),
      crashes_(settings.crashes),
      hubs_({self}) {}

void FleetHub::Lead(Instant now) {
  leads_ = true;
  board_.BeginToJudge();
  // The leader before gave out from this part as well.
  leaders_bank_ = AllowanceBank();
  if (plan_) leaders_bank_.Adopt(now, *plan_, kLeadersShare);
  accounts_.clear();
  sum_ = EntryReport();
  must_report_up_ = false;
  next_general_ = now;
}

void FleetHub::Relay() {
  leads_ = false;
  up_board_id_ = 0;
  up_board_ = 0;
}

void FleetHub::Follow(Instant now, const FleetRecord& record,
                      const std::shared_ptr<const TrafficPlan>& plan) {
  board_.Follow(record);
  if (plan && (!plan_ || plan->version() > plan_->version())) {
    plan_ = plan;
    plans_.Add(plan->version(), record.document());
    leaders_bank_.Adopt(now, *plan, kLeadersShare);
    ShareRates(now);
  }
  if (zones_out_ == record.zones_out()) return;
  for (const ZoneId& zone : zones_out_) {
    if (record.zones_out().contains(zone)) continue;
    board_.ZoneReturned(now, zone, settings_.board.zone_return_warm_up);
  }
  zones_out_ = record.zones_out();
  ++general_;
}

bool FleetHub::Hear(Instant now, const ServerAnnouncement& announcement,
                    const FleetRecord& record) {
  const auto before = board_.changes();
  const bool counts = board_.Hear(now, announcement, record);
  if (counts && !leads_) {
    sum_.known.push_back(announcement);
    if (board_.changes() != before) must_report_up_ = true;
  }
  return counts;
}

FleetUpdate FleetHub::Take(Instant now, const HostId& id, bool is_relay,
                           const EntryReport& report,
                           const FleetRecord& record) {
  for (const ServerAnnouncement& server : report.known) {
    Hear(now, server, record);
  }
  Reporter& reporter = reporters_[id];
  reporter.ready = report.ready;
  reporter.entry_hosts = report.entry_hosts;
  reporter.is_relay = is_relay;
  reporter.heard_at = now;
  reporter.plan_sent = report.plan_seen;
  const bool knows_board = report.board_id == id_;
  reporter.board_sent = knows_board ? report.board_seen : 0;
  if (!knows_board) reporter.general_sent = 0;
  for (const ReadyHost& host : report.ready) adopted_ready_.erase(host.address);
  Sum(now, report);
  for (const auto& [workspace, wanted] : report.wanted) {
    Grant(now, id, is_relay, workspace, wanted);
  }
  FleetUpdate update = Fill(now, reporter, record);
  update.answers = report.number;
  return update;
}

// Judges what was seen, or adds it to what the leader is told.
void FleetHub::Sum(Instant now, const EntryReport& report) {
  for (const auto& [server, outcomes] : report.outcomes) {
    if (outcomes.breaks > 0) {
      dispatcher_.Suspect(now, server);
    } else if (outcomes.errors > 0) {
      dispatcher_.Doubt(server);
    }
  }
  if (leads_) {
    for (const auto& [server, outcomes] : report.outcomes) {
      board_.AddOutcomes(now, server, outcomes);
    }
    for (const EntryReport::Crash& crash : report.crashes) {
      if (!crashes_.Add(now, crash.request, crash.server)) continue;
      quarantined_ = crashes_.Quarantined(now);
      ++general_;
    }
    CountRequests(now, report);
    return;
  }
  for (const auto& [server, outcomes] : report.outcomes) {
    ServerOutcomes& sum = sum_.outcomes[server];
    sum.successes += outcomes.successes;
    sum.errors += outcomes.errors;
    sum.breaks += outcomes.breaks;
    const auto known = board_.entries().find(server);
    const bool is_probed = known != board_.entries().end() &&
                           known->second.state.standing != Standing::kUp;
    if (outcomes.errors + outcomes.breaks > 0 || is_probed) {
      must_report_up_ = true;
    }
  }
  for (const auto& [service, count] : report.requests) {
    sum_.requests[service] += count;
  }
  sum_.crashes.insert(sum_.crashes.end(), report.crashes.begin(),
                      report.crashes.end());
}

void FleetHub::Settle(const HostId& host, const WorkspaceId& workspace,
                      TokenGrant grant) {
  const auto reporter = reporters_.find(host);
  if (reporter == reporters_.end()) return;
  TokenGrant& due = reporter->second.grants_due[workspace];
  due.tokens += grant.tokens;
  due.settled += grant.settled;
}

// Grants from this hub's own part of the rates; what that lacks comes from the
// leader's.
void FleetHub::Grant(Instant now, const HostId& host, bool is_relay,
                     const WorkspaceId& workspace, std::uint32_t wanted) {
  std::uint32_t granted = 0;
  if (!is_relay) granted = own_bank_.Take(now, workspace, wanted);
  const std::uint32_t missing = wanted - granted;
  if (leads_) {
    granted += leaders_bank_.Take(now, workspace, missing);
    Settle(host, workspace, {granted, wanted});
    return;
  }
  if (granted > 0) Settle(host, workspace, {granted, granted});
  if (missing == 0) return;
  Account& account = accounts_[workspace];
  account.to_ask += missing;
  account.waiting.push_back({host, missing});
  must_report_up_ = true;
}

FleetUpdate FleetHub::News(Instant now, const HostId& id,
                           const FleetRecord& record) {
  return Fill(now, reporters_[id], record);
}

bool FleetHub::HasNews(const HostId& id) const {
  const auto found = reporters_.find(id);
  if (found == reporters_.end()) return false;
  const Reporter& reporter = found->second;
  // Entry hosts learn of judgements with the answers to their reports: the hub
  // chooses servers for them.
  const std::uint64_t board =
      reporter.is_relay ? board_.changes() : board_.urgent_changes();
  return reporter.board_sent < board || reporter.plan_sent < plans_.newest() ||
         reporter.general_sent < general_ || !reporter.grants_due.empty();
}

bool FleetHub::HasGrants(const HostId& id) const {
  const auto found = reporters_.find(id);
  return found != reporters_.end() && !found->second.grants_due.empty();
}

FleetUpdate FleetHub::Fill(Instant now, Reporter& reporter,
                           const FleetRecord& record) {
  FleetUpdate update;
  update.record = record.changes();
  update.board_id = id_;
  update.board = board_.changes();
  update.whole_board = reporter.board_sent == 0;
  for (const auto& [id, entry] : board_.entries()) {
    if (entry.changed <= reporter.board_sent) continue;
    if (update.whole_board && entry.state.retired) continue;
    ServerNews news;
    news.announcement = entry.state.announcement;
    news.standing = entry.state.standing;
    news.cold_for = std::max(entry.state.cold_until - now, Duration::zero());
    news.retired = entry.state.retired;
    update.servers.push_back(std::move(news));
  }
  reporter.board_sent = board_.changes();
  if (reporter.plan_sent < plans_.newest()) {
    update.plan = plans_.NewsSince(reporter.plan_sent);
    reporter.plan_sent = plans_.newest();
  }
  if (reporter.general_sent < general_) {
    reporter.general_sent = general_;
    update.general = true;
    update.zones_out = record.zones_out();
    update.request_rates = request_rates_;
    update.quarantined = quarantined_;
    update.entry_hosts = EntryHosts();
    update.hubs = hubs_;
  }
  update.granted = std::exchange(reporter.grants_due, {});
  return update;
}

std::uint32_t FleetHub::EntryHosts() const {
  if (!leads_) return entry_hosts_told_;
  std::uint32_t hosts = 0;
  for (const auto& [id, reporter] : reporters_) hosts += reporter.entry_hosts;
  return std::max<std::uint32_t>(hosts, 1);
}

std::uint32_t FleetHub::OwnEntryHosts() const {
  std::uint32_t hosts = 0;
  for (const auto& [id, reporter] : reporters_) {
    if (!reporter.is_relay) ++hosts;
  }
  return hosts;
}

// Sets this hub's part of the rates by its part of the entry hosts.
void FleetHub::ShareRates(Instant now) {
  if (!plan_) return;
  const std::uint32_t all = std::max(EntryHosts(), OwnEntryHosts());
  own_part_ = static_cast<double>(OwnEntryHosts()) / std::max(all, 1U);
  if (own_part_ > 0) retries_.SetPurses(1 / own_part_);
  own_bank_.Adopt(now, *plan_, HubShare(own_part_));
}

void FleetHub::CountRequests(Instant now, const EntryReport& report) {
  const double elapsed = ToSeconds(now - rates_at_);
  rates_at_ = now;
  const double keep = std::exp(-elapsed / kRateSmoothingSeconds);
  for (auto& [service, rate] : request_rates_) rate *= keep;
  for (const auto& [service, count] : report.requests) {
    request_rates_[service] += count / kRateSmoothingSeconds;
  }
}

EntryReport FleetHub::ReportUp(Instant now, bool first) {
  must_report_up_ = false;
  EntryReport report = std::exchange(sum_, {});
  report.ready = Ready(now);
  report.entry_hosts = 0;
  for (const auto& [id, reporter] : reporters_) {
    report.entry_hosts += reporter.entry_hosts;
  }
  report.board_id = up_board_id_;
  report.board_seen = up_board_;
  // The plan comes by the log.
  report.plan_seen = plans_.newest();
  if (first) {
    for (const auto& [id, entry] : board_.entries()) {
      if (!entry.state.retired)
        report.known.push_back(entry.state.announcement);
    }
  }
  for (auto& [workspace, account] : accounts_) {
    if (first) account.to_ask += std::exchange(account.on_order, 0);
    if (account.to_ask == 0) continue;
    report.wanted[workspace] = account.to_ask;
    account.on_order += std::exchange(account.to_ask, 0);
  }
  return report;
}

void FleetHub::TakeUp(Instant now, const FleetUpdate& update) {
  std::set<BackendId> listed;
  for (const ServerNews& news : update.servers) {
    board_.Adopt(now, news);
    listed.insert(news.announcement.id);
  }
  up_board_id_ = update.board_id;
  up_board_ = update.board;
  if (update.general) {
    request_rates_ = update.request_rates;
    quarantined_ = update.quarantined;
    entry_hosts_told_ = update.entry_hosts;
    ++general_;
  }
  for (const auto& [workspace, grant] : update.granted) {
    TakeGrant(workspace, grant);
  }
}

// Passes a grant on to those who wait, in their order.
void FleetHub::TakeGrant(const WorkspaceId& workspace, TokenGrant grant) {
  Account& account = accounts_[workspace];
  account.on_order -= std::min(account.on_order, grant.settled);
  while (!account.waiting.empty() && grant.settled > 0) {
    Account::Waiting& waiting = account.waiting.front();
    const std::uint32_t settled = std::min(waiting.tokens, grant.settled);
    const std::uint32_t tokens = std::min(settled, grant.tokens);
    Settle(waiting.host, workspace, {tokens, settled});
    grant.tokens -= tokens;
    grant.settled -= settled;
    waiting.tokens -= settled;
    if (waiting.tokens == 0) account.waiting.pop_front();
  }
}

std::optional<DispatchChoice> FleetHub::Assign(Instant now,
                                               const AssignmentId& id,
                                               const DispatchQuery& query) {
  if (!plan_) return std::nullopt;
  if (!query.is_retry) retries_.Earn(query.service);
  if (query.is_retry && !retries_.CanSpend(query.service)) return std::nullopt;
  auto choice = dispatcher_.Assign(now, id, query, board_, zones_out_, *plan_);
  if (choice && query.is_retry) retries_.Spend(query.service);
  return choice;
}

void FleetHub::Lost(const HostId& host) {
  reporters_.erase(host);
  dispatcher_.EndAll(host);
}

void FleetHub::SetHubs(std::vector<HubHost> hubs, const std::string& leader) {
  hubs.push_back(self_);
  std::sort(hubs.begin(), hubs.end(), [&](const HubHost& a, const HubHost& b) {
    return std::make_pair(a.address == leader, a.address) <
           std::make_pair(b.address == leader, b.address);
  });
  if (hubs == hubs_) return;
  hubs_ = std::move(hubs);
  const auto in_zone = [&](const HubHost& hub) {
    return hub.zone == self_.zone;
  };
  dispatcher_.SetHubsOfZone(static_cast<std::size_t>(
      std::count_if(hubs_.begin(), hubs_.end(), in_zone)));
  ++general_;
}

void FleetHub::AdoptReady(Instant now, const std::vector<ReadyHost>& ready) {
  for (const ReadyHost& host : ready)
    adopted_ready_[host.address] = {host, now};
}

std::vector<ReadyHost> FleetHub::Ready(Instant now) const {
  std::map<std::string, ReadyHost> ready;
  for (const auto& [address, adopted] : adopted_ready_) {
    if (now - adopted.since < settings_.entry_silence) {
      ready[address] = adopted.host;
    }
  }
  for (const auto& [id, reporter] : reporters_) {
    if (now - reporter.heard_at >= settings_.entry_silence) continue;
    for (const ReadyHost& host : reporter.ready) ready[host.address] = host;
  }
  std::vector<ReadyHost> list;
  list.reserve(ready.size());
  for (auto& [address, host] : ready) list.push_back(std::move(host));
  return list;
}

void FleetHub::Tick(Instant now) {
  dispatcher_.Tick(now);
  std::erase_if(adopted_ready_, [&](const auto& item) {
    return now - item.second.since >= settings_.entry_silence;
  });
  const std::uint32_t own = OwnEntryHosts();
  const std::uint32_t all = std::max(EntryHosts(), own);
  const double part = static_cast<double>(own) / std::max(all, 1U);
  if (part != own_part_) ShareRates(now);
  if (!leads_) return;
  board_.Tick(now);
  if (now < next_general_) return;
  next_general_ = now + settings_.general_period;
  quarantined_ = crashes_.Quarantined(now);
  ++general_;
}

}  // namespace sapphirebank
