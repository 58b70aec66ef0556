#include "sapphirebank/entry/entry_traffic.h"

#include <iterator>
#include <utility>

#include "sapphirebank/entry/ownership_keys.h"

namespace sapphirebank {
namespace {

// Time after which an owner that was not announced again is forgotten.
constexpr Duration kOwnerTimeToLive = std::chrono::seconds(10);
constexpr Duration kSlowTick = std::chrono::milliseconds(50);
constexpr Duration kLoadPeriod = std::chrono::milliseconds(250);
constexpr Duration kReportPeriod = std::chrono::seconds(1);

}  // namespace

Result<EntryTraffic> EntryTraffic::Create(const EntryTrafficSettings& settings,
                                          LeaseCheck holds) {
  auto dispatcher = Dispatcher::Create(
      {.host = settings.host, .zone = settings.zone, .seed = settings.seed});
  if (!dispatcher) return tl::unexpected(dispatcher.error());
  return EntryTraffic(settings, std::move(holds), std::move(*dispatcher));
}

EntryTraffic::EntryTraffic(const EntryTrafficSettings& settings,
                           LeaseCheck holds, Dispatcher dispatcher)
    : settings_(settings),
      holds_(std::move(holds)),
      directory_(std::make_shared<OwnerDirectory>(kOwnerTimeToLive)),
      dispatcher_(std::move(dispatcher)),
      admission_(settings.rate, settings.incarnation,
                 [directory = directory_](Instant now, std::string_view key) {
                   return directory->OwnerOf(now, key);
                 }) {}

void EntryTraffic::SetConfiguration(std::shared_ptr<const RouteTable> table) {
  table_ = std::move(table);
  dispatcher_.SetPolicy(table_->declarations());
}

TrafficEffects EntryTraffic::OnControl(Instant now,
                                       const EntryEffects& control_effects) {
  TrafficEffects effects;
  for (const OwnerAnnouncement& owner : control_effects.owners) {
    directory_->Update(now, owner);
  }
  for (const LeaseEvent& event : control_effects.leases) {
    const auto key = BackendKeyOf(event.key);
    if (!key) continue;
    if (event.kind == LeaseEvent::Kind::kAcquired) {
      // Requests of the previous owner may still be running on the servers,
      // unless the key never had an owner.
      std::optional<Handover> handover;
      if (event.previous_holder.empty()) handover.emplace();
      dispatcher_.pool().Adopt(now, *key, event.term, handover);
      owned_.insert(*key);
    } else if (owned_.erase(*key) != 0) {
      dispatcher_.pool().Release(*key);
    }
  }
  for (const OwnerLoad& load : control_effects.loads)
    dispatcher_.owners().Update(now, load);
  for (const Announcement& announcement : control_effects.announcements) {
    effects.announced.push_back(
        {announcement.backend, dispatcher_.pool().Announce(now, announcement)});
  }
  for (const VerdictSet& verdicts : control_effects.verdicts) {
    // Outdated verdicts are ignored.
    (void)dispatcher_.pool().ApplyVerdicts(now, verdicts);
  }
  for (const TokenResponse& answer : control_effects.token_responses) {
    auto admitted = admission_.OnTokenResponse(now, answer);
    std::move(admitted.begin(), admitted.end(),
              std::back_inserter(effects.admitted));
  }
  for (const TokenRecall& recall : control_effects.token_recalls) {
    admission_.OnRecall(now, recall);
  }
  effects.token_requests = admission_.Flush(now);
  return effects;
}

TrafficEffects EntryTraffic::Admit(Instant now, const WorkspaceId& workspace,
                                   RateAdmission::RequestNumber number) {
  TrafficEffects effects;
  const auto* declared =
      table_ ? table_->FindWorkspace(workspace.value()) : nullptr;
  if (declared == nullptr) {
    effects.admitted.push_back(
        {number, AcquireOutcome::kRateExceeded, now, Duration::zero()});
    return effects;
  }
  const auto decision = admission_.Submit(now, number, workspace,
                                          {declared->rate, declared->burst});
  if (decision) effects.admitted.push_back(*decision);
  effects.token_requests = admission_.Flush(now);
  return effects;
}

TrafficEffects EntryTraffic::Dispatch(Instant now,
                                      const DispatchRequest& request) {
  ReleaseExpiredLeases(now);
  TrafficEffects effects;
  effects.dispatched = dispatcher_.Dispatch(now, request);
  return effects;
}

TrafficEffects EntryTraffic::Finish(Instant now, AttemptId attempt,
                                    const Outcome& outcome,
                                    FinishResult& result) {
  ReleaseExpiredLeases(now);
  TrafficEffects effects;
  effects.dispatched = dispatcher_.Finish(now, attempt, outcome, result);
  return effects;
}

void EntryTraffic::FinishProbe(Instant now, const BackendId& backend,
                               ProbeOutcome outcome) {
  dispatcher_.pool().FinishProbe(now, backend, outcome);
}

TrafficEffects EntryTraffic::Tick(Instant now) {
  ReleaseExpiredLeases(now);
  TrafficEffects effects;
  effects.admitted = admission_.Tick(now);
  effects.token_requests = admission_.Flush(now);
  if (now >= next_slow_tick_) {
    next_slow_tick_ = now + kSlowTick;
    effects.dispatched = dispatcher_.Tick(now);
    effects.probes = dispatcher_.pool().DueProbes(now);
    directory_->RemoveExpired(now);
  }
  if (now >= next_loads_) {
    next_loads_ = now + kLoadPeriod;
    effects.loads = dispatcher_.Loads(settings_.forwards);
  }
  if (now >= next_reports_ || dispatcher_.pool().report_is_urgent()) {
    next_reports_ = now + kReportPeriod;
    effects.reports = dispatcher_.pool().CollectReports(now);
  }
  return effects;
}

std::vector<OwnerLoad> EntryTraffic::OwnersOf(Instant now,
                                              const ServiceId& service) const {
  std::vector<OwnerLoad> owners = dispatcher_.owners().OwnersOf(now, service);
  for (OwnerLoad& load : dispatcher_.Loads(settings_.forwards)) {
    if (load.service == service && load.usable_slots > 0) {
      owners.push_back(std::move(load));
    }
  }
  return owners;
}

void EntryTraffic::ForgetHost(const HostId& host) {
  dispatcher_.owners().ForgetHost(host);
  directory_->RemoveHost(host);
}

void EntryTraffic::ReleaseExpiredLeases(Instant now) {
  for (auto key = owned_.begin(); key != owned_.end();) {
    if (holds_(now, BackendOwnershipKey(*key))) {
      ++key;
      continue;
    }
    dispatcher_.pool().Release(*key);
    key = owned_.erase(key);
  }
}

}  // namespace sapphirebank
