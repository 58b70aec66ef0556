#include "sapphirebank/entry/entry_control.h"

#include <algorithm>
#include <utility>

#include "sapphirebank/backend/backend_codec.h"
#include "sapphirebank/entry/owner_load_codec.h"
#include "sapphirebank/entry/ownership_keys.h"
#include "sapphirebank/lease/lease_codec.h"
#include "sapphirebank/rate/rate_codec.h"

namespace sapphirebank {
namespace {

using nlohmann::json;

constexpr std::string_view kLeaseType = "lease";
constexpr std::string_view kRateType = "rate";
constexpr std::string_view kLoadType = "load";
constexpr std::string_view kAnnouncementType = "announcement";
constexpr std::string_view kReportType = "report";
constexpr std::string_view kVerdictsType = "verdicts";
constexpr Duration kHealthPeriod = std::chrono::seconds(1);
// Time after which an owner that was not announced again is forgotten.
constexpr Duration kOwnerTimeToLive = std::chrono::seconds(10);
// Maximum number of keys in one ownership announcement, so that it fits into a
// datagram.
constexpr std::size_t kKeysPerAnnouncement = 24;

}  // namespace

std::optional<Term> SharedLeases::Holds(Instant now,
                                        std::string_view key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return holder_.Holds(now, key);
}

// Current configuration, shared with RateOwner's hooks.
struct EntryControl::RateLimits {
  std::shared_ptr<const RouteTable> table;

  std::optional<RateLimit> Of(const WorkspaceId& id) const {
    if (!table) return std::nullopt;
    const auto* workspace = table->FindWorkspace(id.value());
    if (workspace == nullptr) return std::nullopt;
    return RateLimit{workspace->rate, workspace->burst};
  }
};

Result<EntryControl> EntryControl::Create(const EntryControlSettings& settings,
                                          Instant now) {
  auto voter = LeaseVoter::Create(settings.host, settings.lease,
                                  settings.voters, settings.term_floor, now);
  if (!voter) return tl::unexpected(voter.error());
  auto holder = LeaseHolder::Create(settings.host, settings.lease,
                                    settings.voters, settings.seed);
  if (!holder) return tl::unexpected(holder.error());
  return EntryControl(settings, std::move(*voter), std::move(*holder));
}

EntryControl::EntryControl(const EntryControlSettings& settings,
                           LeaseVoter voter, LeaseHolder holder)
    : settings_(settings),
      voter_(std::move(voter)),
      leases_(std::make_shared<SharedLeases>(std::move(holder))),
      planner_(settings.host, settings.rebalance_delay),
      directory_(kOwnerTimeToLive),
      limits_(std::make_shared<RateLimits>()),
      rate_owner_(
          settings.rate,
          [limits = limits_](const WorkspaceId& id) { return limits->Of(id); },
          [leases = leases_](Instant now, std::uint32_t bucket) {
            return leases->Holds(now, RateKey(bucket));
          }) {}

void EntryControl::SetConfiguration(Instant now,
                                    std::shared_ptr<const RouteTable> table) {
  planner_.SetKeys(now, OwnershipKeys(table->declarations(), settings_.rate));
  for (auto& [service, health] : health_) {
    health.SetPolicy(table->declarations());
  }
  limits_->table = std::move(table);
}

void EntryControl::SetHosts(Instant now, std::vector<LiveHost> hosts) {
  for (const LiveHost& host : hosts_) {
    const bool lives =
        std::any_of(hosts.begin(), hosts.end(),
                    [&](const LiveHost& other) { return other.id == host.id; });
    if (!lives) directory_.RemoveHost(host.id);
  }
  hosts_ = std::move(hosts);
  planner_.SetHosts(now, hosts_);
}

EntryEffects EntryControl::Tick(Instant now) {
  EntryEffects effects;
  for (const OutgoingLeaseMessage& effect : voter_.Tick(now)) {
    SendOrHandle(now, effect, effects);
  }
  if (!leaving_) {
    const auto wanted = planner_.DesiredKeys(now, directory_);
    ApplyLeaseOutput(now, leases_->With([&](LeaseHolder& holder) {
      return holder.SetDesiredKeys(now, wanted);
    }),
                     effects);
  }
  ApplyLeaseOutput(
      now, leases_->With([&](LeaseHolder& holder) { return holder.Tick(now); }),
      effects);
  if (now >= next_announcement_) {
    next_announcement_ = now + settings_.announce_period;
    AnnounceOwnership(now, {}, effects);
    rate_owner_.Tick(now);
    directory_.RemoveExpired(now);
  }
  if (now >= next_health_evaluation_) {
    next_health_evaluation_ = now + kHealthPeriod;
    EvaluateHealth(now, effects);
  }
  return effects;
}

EntryEffects EntryControl::Receive(Instant now, const HostId& from,
                                   std::string_view type, const json& body) {
  EntryEffects effects;
  Handle(now, from, type, body, effects);
  return effects;
}

EntryEffects EntryControl::SendTokenRequests(
    Instant now, const std::vector<RateEffect>& requests) {
  EntryEffects effects;
  for (const RateEffect& ask : requests) SendOrHandle(now, ask, effects);
  return effects;
}

Result<EntryEffects> EntryControl::RouteAnnouncement(
    Instant now, const Announcement& announcement) {
  const std::string key = BackendOwnershipKey(announcement.key);
  const auto owner = OwnerOf(now, key);
  if (!owner) {
    return Fail(ErrorKind::kNoBackendServer,
                "no owner of \"" + key + "\" is known yet");
  }
  EntryEffects effects;
  if (owner->host == settings_.host) {
    effects.announcements.push_back(announcement);
  } else {
    effects.messages.push_back(
        {owner->host, std::string(kAnnouncementType), json(announcement)});
  }
  return effects;
}

EntryEffects EntryControl::SendReports(
    Instant now, const std::vector<WindowReport>& reports) {
  EntryEffects effects;
  for (const WindowReport& report : reports) {
    const auto owner = OwnerOf(now, ServiceOwnershipKey(report.key.service));
    if (!owner) continue;
    SendOrHandle(now, {owner->host, std::string(kReportType), json(report)},
                 effects);
  }
  return effects;
}

EntryEffects EntryControl::SendLoads(const std::vector<OwnerLoad>& loads) {
  EntryEffects effects;
  for (const OwnerLoad& load : loads) {
    for (const LiveHost& host : hosts_) {
      if (host.id == settings_.host) continue;
      effects.messages.push_back({host.id, std::string(kLoadType), json(load)});
    }
  }
  return effects;
}

EntryEffects EntryControl::Leave(Instant now) {
  leaving_ = true;
  EntryEffects effects;
  ApplyLeaseOutput(now, leases_->With([&](LeaseHolder& holder) {
    return holder.ReleaseAll(now);
  }),
                   effects);
  return effects;
}

std::optional<Owner> EntryControl::OwnerOf(Instant now,
                                           std::string_view key) const {
  if (const auto term = leases_->Holds(now, key)) {
    return Owner{settings_.host, *term};
  }
  return directory_.OwnerOf(now, key);
}

void EntryControl::Handle(Instant now, const HostId& from,
                          std::string_view type, const json& body,
                          EntryEffects& effects) {
  if (type == kLeaseType) {
    HandleLease(now, from, body, effects);
  } else if (type == kRateType) {
    HandleRate(now, from, body, effects);
  } else if (type == kAnnouncementType) {
    Collect(ParseAnnouncement(body), effects.announcements, effects);
  } else if (type == kLoadType) {
    Collect(OwnerLoadFromJson(body), effects.loads, effects);
  } else if (type == kReportType) {
    HandleReport(now, body, effects);
  } else if (type == kVerdictsType) {
    Collect(ParseVerdictSet(body), effects.verdicts, effects);
  } else {
    effects.errors.push_back({ErrorKind::kMalformedRequest,
                              "unknown message type \"" + std::string(type) +
                                  "\" from host \"" + from.value() + "\""});
  }
}

void EntryControl::HandleLease(Instant now, const HostId& from,
                               const json& body, EntryEffects& effects) {
  const auto message = DecodeLeaseMessage(body);
  if (!message) {
    effects.errors.push_back(message.error());
    return;
  }
  if (const auto* request = std::get_if<LeaseRequest>(&*message)) {
    SendOrHandle(now, voter_.OnRequest(now, from, *request), effects);
  } else if (const auto* answer = std::get_if<LeaseResponse>(&*message)) {
    ApplyLeaseOutput(now, leases_->With([&](LeaseHolder& holder) {
      return holder.OnResponse(now, from, *answer);
    }),
                     effects);
  } else if (const auto* notice = std::get_if<VoterEpochNotice>(&*message)) {
    for (const OutgoingLeaseMessage& effect :
         voter_.OnNotice(now, from, *notice)) {
      SendOrHandle(now, effect, effects);
    }
  } else {
    OnOwnerAnnouncement(now, std::get<OwnerAnnouncement>(*message), effects);
  }
}

void EntryControl::HandleRate(Instant now, const HostId& from, const json& body,
                              EntryEffects& effects) {
  const auto message = DecodeRateMessage(body);
  if (!message) {
    effects.errors.push_back(message.error());
    return;
  }
  if (const auto* ask = std::get_if<TokenRequest>(&*message)) {
    for (const RateEffect& effect :
         rate_owner_.OnTokenRequest(now, from, *ask)) {
      SendOrHandle(now, effect, effects);
    }
  } else if (const auto* recall = std::get_if<TokenRecall>(&*message)) {
    effects.token_recalls.push_back(*recall);
  } else {
    effects.token_responses.push_back(std::get<TokenResponse>(*message));
  }
}

template <typename T>
void EntryControl::Collect(Result<T> parsed, std::vector<T>& target,
                           EntryEffects& effects) {
  if (parsed) {
    target.push_back(std::move(*parsed));
  } else {
    effects.errors.push_back(parsed.error());
  }
}

void EntryControl::HandleReport(Instant now, const json& body,
                                EntryEffects& effects) {
  const auto report = ParseWindowReport(body);
  if (!report) {
    effects.errors.push_back(report.error());
    return;
  }
  const auto found = health_.find(report->key.service);
  // The sender's view of the owner may be outdated; its next report will go to
  // the new owner.
  if (found == health_.end()) return;
  const auto added = found->second.AddReport(now, *report);
  if (!added) effects.errors.push_back(added.error());
}

void EntryControl::OnOwnerAnnouncement(Instant now,
                                       const OwnerAnnouncement& announcement,
                                       EntryEffects& effects) {
  directory_.Update(now, announcement);
  for (const OwnerAnnouncement::Key& released : announcement.released) {
    leases_->With([&](LeaseHolder& holder) {
      holder.OnReleased(now, released.key);
      return 0;
    });
  }
  effects.owners.push_back(announcement);
}

void EntryControl::ApplyLeaseOutput(Instant now, const LeaseEffects& output,
                                    EntryEffects& effects) {
  std::vector<OwnerAnnouncement::Key> lost;
  for (const LeaseEvent& event : output.events) {
    const bool acquired = event.kind == LeaseEvent::Kind::kAcquired;
    if (const auto bucket = RateBucketOf(event.key)) {
      if (acquired) {
        rate_owner_.OnAcquired(now, *bucket, event.term);
      } else {
        rate_owner_.OnLost(*bucket);
      }
    }
    UpdateServiceHealth(now, event);
    if (!acquired) lost.push_back({event.key, event.term});
    effects.leases.push_back(event);
  }
  if (!output.events.empty()) AnnounceOwnership(now, std::move(lost), effects);
  for (const OutgoingLeaseMessage& effect : output.messages)
    SendOrHandle(now, effect, effects);
}

void EntryControl::SendOrHandle(Instant now, HostMessage message,
                                EntryEffects& effects) {
  if (message.to == settings_.host) {
    Handle(now, settings_.host, message.type, message.body, effects);
  } else {
    effects.messages.push_back(std::move(message));
  }
}

void EntryControl::SendOrHandle(Instant now, const OutgoingLeaseMessage& effect,
                                EntryEffects& effects) {
  SendOrHandle(
      now,
      {effect.to, std::string(kLeaseType), EncodeLeaseMessage(effect.message)},
      effects);
}

void EntryControl::SendOrHandle(Instant now, const RateEffect& effect,
                                EntryEffects& effects) {
  SendOrHandle(
      now,
      {effect.to, std::string(kRateType), EncodeRateMessage(effect.message)},
      effects);
}

void EntryControl::EvaluateHealth(Instant now, EntryEffects& effects) {
  for (auto& [service, health] : health_) {
    for (HealthDecision& decision : health.Decide(now)) {
      effects.decisions.push_back(std::move(decision));
    }
    for (const BackendKey& key : health.Keys(now)) {
      const auto verdicts = health.VerdictsFor(now, key);
      const auto owner = OwnerOf(now, BackendOwnershipKey(key));
      if (!verdicts || !owner) continue;
      SendOrHandle(now,
                   {owner->host, std::string(kVerdictsType), json(*verdicts)},
                   effects);
    }
  }
}

void EntryControl::UpdateServiceHealth(Instant now, const LeaseEvent& event) {
  const auto service = ServiceOf(event.key);
  if (!service) return;
  health_.erase(*service);
  if (event.kind != LeaseEvent::Kind::kAcquired) return;
  ServiceHealthSettings settings;
  settings.host = settings_.host;
  settings.service = *service;
  settings.term = event.term;
  ServiceHealth health(settings, now);
  if (limits_->table) health.SetPolicy(limits_->table->declarations());
  health_.emplace(*service, std::move(health));
}

void EntryControl::AnnounceOwnership(Instant now,
                                     std::vector<OwnerAnnouncement::Key> lost,
                                     EntryEffects& effects) {
  std::vector<OwnerAnnouncement::Key> held =
      leases_->With([&](LeaseHolder& holder) { return holder.HeldKeys(now); });
  std::vector<OwnerAnnouncement> parts;
  for (std::size_t first = 0; first < std::max(held.size(), lost.size());
       first += kKeysPerAnnouncement) {
    OwnerAnnouncement part;
    part.host = settings_.host;
    const auto slice = [&](auto& keys, auto& target) {
      const auto begin = std::min(first, keys.size());
      const auto end = std::min(first + kKeysPerAnnouncement, keys.size());
      target.assign(keys.begin() + static_cast<std::ptrdiff_t>(begin),
                    keys.begin() + static_cast<std::ptrdiff_t>(end));
    };
    slice(held, part.held);
    slice(lost, part.released);
    parts.push_back(std::move(part));
  }
  for (const OwnerAnnouncement& part : parts) {
    directory_.Update(now, part);
    effects.owners.push_back(part);
    const json body = EncodeLeaseMessage(part);
    for (const LiveHost& host : hosts_) {
      if (host.id == settings_.host) continue;
      effects.messages.push_back({host.id, std::string(kLeaseType), body});
    }
  }
}

}  // namespace sapphirebank
