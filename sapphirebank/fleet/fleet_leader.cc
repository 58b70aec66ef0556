#include "sapphirebank/fleet/fleet_leader.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sapphirebank {
namespace {

// Time over which request rates are smoothed.
constexpr double kRateSmoothingSeconds = 1.5;

}  // namespace

FleetLeader::FleetLeader(FleetLeaderSettings settings)
    : settings_(settings),
      board_(settings.board),
      crashes_(settings.crashes) {}

void FleetLeader::Begin(Term epoch) {
  epoch_ = epoch;
  hosts_.clear();
}

void FleetLeader::Follow(Instant now, const FleetRecord& record,
                         const std::shared_ptr<const TrafficPlan>& plan) {
  board_.Follow(record);
  if (plan && (!plan_ || plan->version() > plan_->version())) {
    plan_ = plan;
    plans_.Add(plan->version(), record.document());
    bank_.Adopt(now, *plan);
  }
  if (zones_out_ == record.zones_out()) return;
  for (const ZoneId& zone : zones_out_) {
    if (record.zones_out().contains(zone)) continue;
    board_.ZoneReturned(now, zone, settings_.board.zone_return_warm_up);
  }
  zones_out_ = record.zones_out();
  ++general_;
}

bool FleetLeader::Hear(Instant now, const ServerAnnouncement& announcement,
                       const FleetRecord& record) {
  return board_.Hear(now, announcement, record);
}

FleetUpdate FleetLeader::Take(Instant now, const HostId& id,
                              const EntryReport& report,
                              const FleetRecord& record) {
  for (const ServerAnnouncement& server : report.known) {
    board_.Hear(now, server, record);
  }
  EntryHost& host = hosts_[id];
  host.callers = {ToString(report.callers), report.zone};
  host.ready = report.ready && !report.leaving;
  host.heard_at = now;
  host.plan_sent = report.plan_seen;
  host.board_sent = report.epoch == epoch_ ? report.board_seen : 0;
  if (report.epoch != epoch_) host.general_sent = 0;
  adopted_ready_.erase(host.callers.address);
  for (const auto& [server, outcomes] : report.outcomes) {
    board_.AddOutcomes(now, server, outcomes);
  }
  for (const EntryReport::Crash& crash : report.crashes) {
    if (crashes_.Add(now, crash.request, crash.server)) ++general_;
  }
  CountRequests(now, report);
  FleetUpdate update = Fill(now, host, record);
  update.answers = report.number;
  for (const auto& [workspace, wanted] : report.wanted) {
    update.granted[workspace] = bank_.Take(now, workspace, wanted);
  }
  return update;
}

FleetUpdate FleetLeader::News(Instant now, const HostId& id,
                              const FleetRecord& record) {
  return Fill(now, hosts_[id], record);
}

bool FleetLeader::HasNews(const HostId& id) const {
  const auto found = hosts_.find(id);
  if (found == hosts_.end()) return false;
  const EntryHost& host = found->second;
  return host.board_sent < board_.changes() ||
         host.plan_sent < plans_.newest() || host.general_sent < general_;
}

FleetUpdate FleetLeader::Fill(Instant now, EntryHost& host,
                              const FleetRecord& record) {
  FleetUpdate update;
  update.epoch = epoch_;
  update.board = board_.changes();
  update.whole_board = host.board_sent == 0;
  for (const auto& [id, entry] : board_.entries()) {
    if (entry.changed <= host.board_sent) continue;
    if (update.whole_board && entry.state.retired) continue;
    ServerNews news;
    news.announcement = entry.state.announcement;
    news.standing = entry.state.standing;
    news.cold_for =
        std::max(entry.state.cold_until - now, Duration::zero());
    news.retired = entry.state.retired;
    update.servers.push_back(std::move(news));
  }
  host.board_sent = board_.changes();
  if (host.plan_sent < plans_.newest()) {
    update.plan = plans_.NewsSince(host.plan_sent);
    host.plan_sent = plans_.newest();
  }
  host.general_sent = general_;
  update.zones_out = record.zones_out();
  update.request_rates = request_rates_;
  update.quarantined = crashes_.Quarantined(now);
  update.entry_hosts =
      static_cast<std::uint32_t>(std::max<std::size_t>(hosts_.size(), 1));
  return update;
}

void FleetLeader::CountRequests(Instant now, const EntryReport& report) {
  const double elapsed = ToSeconds(now - rates_at_);
  rates_at_ = now;
  const double keep = std::exp(-elapsed / kRateSmoothingSeconds);
  for (auto& [service, rate] : request_rates_) rate *= keep;
  for (const auto& [service, count] : report.requests) {
    request_rates_[service] += count / kRateSmoothingSeconds;
  }
}

void FleetLeader::Lost(const HostId& host) { hosts_.erase(host); }

void FleetLeader::AdoptReady(Instant now,
                             const std::vector<ReadyHost>& ready) {
  for (const ReadyHost& host : ready) adopted_ready_[host.address] = {host, now};
}

std::vector<ReadyHost> FleetLeader::Ready(Instant now) const {
  std::vector<ReadyHost> ready;
  for (const auto& [id, host] : hosts_) {
    if (host.ready && now - host.heard_at < settings_.entry_silence) {
      ready.push_back(host.callers);
    }
  }
  for (const auto& [address, adopted] : adopted_ready_) {
    if (now - adopted.since < settings_.entry_silence) {
      ready.push_back(adopted.host);
    }
  }
  return ready;
}

void FleetLeader::Tick(Instant now) {
  board_.Tick(now);
  std::erase_if(hosts_, [&](const auto& item) {
    return now - item.second.heard_at > 4 * settings_.entry_silence;
  });
  std::erase_if(adopted_ready_, [&](const auto& item) {
    return now - item.second.since >= settings_.entry_silence;
  });
}

}  // namespace sapphirebank
