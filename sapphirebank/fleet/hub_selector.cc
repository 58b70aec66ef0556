#include "sapphirebank/fleet/hub_selector.h"

#include <algorithm>
#include <utility>

namespace sapphirebank {
namespace {

// Part of max_update_age from which the hub is asked more often.
constexpr double kUrgentAgeFraction = 0.75;

// Searches in vain after which pauses, timeouts and the number of probes of a
// search do not change any more.
constexpr int kMaxBackoffSteps = 5;

// Report period at such an age.
constexpr Duration kUrgentReportPeriod = kReportPeriod / 2;

}  // namespace

HubSelector::HubSelector(HubSelectorSettings settings, ZoneId zone,
                         std::string member,
                         std::function<std::vector<std::string>()> seeds,
                         Random random)
    : settings_(settings),
      zone_(std::move(zone)),
      member_(std::move(member)),
      seeds_(std::move(seeds)),
      random_(random) {}

void HubSelector::SetHubs(Instant now, std::span<const HubHost> hubs,
                          std::uint32_t entry_hosts) {
  entry_hosts_ = entry_hosts;
  listed_.assign(hubs.begin(), hubs.end());
  for (const HubHost& hub : hubs) known_[hub.address] = {hub.zone, now};
  std::erase_if(known_, [&](const auto& item) {
    return now - item.second.listed_at > settings_.retention;
  });
}

bool HubSelector::IsBackedOff(Instant now, const std::string& address) const {
  const auto backoff = backoff_until_.find(address);
  return backoff != backoff_until_.end() && now < backoff->second;
}

bool HubSelector::IsOutdated(Duration update_age) const {
  if (hub_has_newest_update_) return false;
  return update_age > (hub_is_electing_ ? settings_.max_update_age_in_election
                                        : settings_.max_update_age);
}

// Returns the hub of this zone that this host belongs to, of those that did not
// fail recently; empty without any.
std::string HubSelector::AssignedAddress(Instant now) const {
  std::vector<HubHost> available = listed_;
  std::erase_if(available, [&](const HubHost& hub) {
    return hub.zone == zone_ && IsBackedOff(now, hub.address);
  });
  return AssignedHub(ActiveHubs(available, zone_, entry_hosts_), member_);
}

Duration HubSelector::ReportPeriod(Duration update_age) const {
  const bool is_urgent =
      ToSeconds(update_age) >
      ToSeconds(settings_.max_update_age) * kUrgentAgeFraction;
  return is_urgent ? kUrgentReportPeriod : kReportPeriod;
}

std::optional<std::string> HubSelector::NextProbe(Instant now,
                                                  Duration update_age) {
  if (!hub_.empty() && !IsOutdated(update_age)) {
    search_.reset();
    searched_in_vain_ = false;
    return ProbeAssigned(now);
  }
  if (!search_) {
    if (now < next_search_at_) return std::nullopt;
    search_ = StartSearch(now);
  }
  if (now < next_probe_at_) return std::nullopt;
  while (!search_->empty()) {
    std::string address = std::move(search_->front());
    search_->pop_front();
    if (!probing_.insert(address).second) continue;
    probed_at_[address] = now;
    next_probe_at_ = now + (known_.empty() ? settings_.seed_probe_interval
                                           : settings_.probe_interval);
    return address;
  }
  if (probing_.empty()) EndSearchInVain(now);
  return std::nullopt;
}

// Returns the hub that this host belongs to when it is connected to a different
// one.
std::optional<std::string> HubSelector::ProbeAssigned(Instant now) {
  if (now < next_switch_at_ || !probing_.empty()) return std::nullopt;
  std::string assigned = AssignedAddress(now);
  if (assigned.empty() || assigned == hub_) return std::nullopt;
  next_switch_at_ = now + settings_.switch_period;
  probing_.insert(assigned);
  return assigned;
}

// Lists the candidates in the order in which they are probed: the hub that this
// host belongs to, then, after the loss of a hub, others of the zone. A zone's
// hubs may have lost the leader together, so their zone does not count then.
// Hubs that failed recently come last, and only for a host without a hub.
HubSelector::Search HubSelector::StartSearch(Instant now) {
  struct Candidate {
    std::string address;
    int rank = 0;
  };
  constexpr int kFailedRank = 3;
  std::vector<Candidate> candidates;
  const std::string assigned = AssignedAddress(now);
  const auto add = [&](const std::string& address, const ZoneId& zone) {
    if (address == hub_) return;
    int rank = 2;
    if (IsBackedOff(now, address)) {
      rank = kFailedRank;
    } else if (address == assigned) {
      rank = 0;
    } else if (hub_.empty() && zone == zone_) {
      rank = 1;
    }
    if (rank == kFailedRank && !hub_.empty()) return;
    candidates.push_back({address, rank});
  };
  for (const auto& [address, hub] : known_) add(address, hub.zone);
  for (const std::string& seed : seeds_()) {
    if (!known_.contains(seed)) add(seed, ZoneId());
  }
  for (std::size_t i = candidates.size(); i > 1; --i) {
    std::swap(candidates[i - 1], candidates[random_.Below(i)]);
  }
  // After a search in vain all hubs have the same chance, so they take turns.
  const bool is_repeated = !hub_.empty() && searched_in_vain_;
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     return is_repeated
                                ? probed_at_[a.address] < probed_at_[b.address]
                                : a.rank < b.rank;
                   });
  // Each search in vain halves the probes of the next one; the order differs,
  // so that all hubs are probed in time.
  const std::size_t count =
      is_repeated
          ? settings_.probes_after_search_in_vain
          : std::max<std::size_t>(
                candidates.size() >> static_cast<unsigned>(failed_searches_),
                1);
  Search search;
  for (Candidate& candidate : candidates) {
    if (search.size() == count) break;
    search.push_back(std::move(candidate.address));
  }
  return search;
}

void HubSelector::EndSearchInVain(Instant now) {
  search_.reset();
  sent_on_to_.clear();
  searched_in_vain_ = true;
  const Duration pause =
      hub_.empty() ? std::min<Duration>(settings_.search_pause_without_hub *
                                            (1 << failed_searches_),
                                        settings_.max_search_pause_without_hub)
                   : settings_.search_pause;
  constexpr double kLeastFactor = 0.5;
  next_search_at_ =
      now + FromSeconds(ToSeconds(pause) * (kLeastFactor + random_.Unit()));
  if (!hub_.empty()) return;
  failed_searches_ = std::min(failed_searches_ + 1, kMaxBackoffSteps);
}

Duration HubSelector::ProbeTimeout() const {
  return std::min<Duration>(settings_.probe_timeout * (1 << failed_searches_),
                            settings_.max_probe_timeout);
}

bool HubSelector::RecordProbe(Instant now, const std::string& address,
                              const HubState& state, Duration update_age) {
  probing_.erase(address);
  if (!state.is_member) {
    LearnHubs(now, state);
    backoff_until_[address] = now + settings_.failure_backoff;
    return false;
  }
  const bool is_recent = state.update_age <= settings_.max_new_hub_age;
  if (hub_.empty()) {
    if (SendOn(now, address, state)) return false;
    // No hub has a newer update during an election, and any one is better than
    // none once all have been probed.
    const bool is_last = search_ && search_->empty() && probing_.empty();
    const bool suffices = is_recent || state.is_electing || is_last;
    if (!suffices && !searched_in_vain_) return false;
  } else if (!is_recent ||
             (!IsOutdated(update_age) && address != AssignedAddress(now))) {
    return false;
  }
  Adopt(now, address);
  if (!is_recent && state.is_electing) {
    next_search_at_ = now + settings_.max_update_age_in_election;
  }
  return true;
}

// Adds hubs that this host does not know to those it may choose and to the
// search that goes on.
void HubSelector::LearnHubs(Instant now, const HubState& state) {
  for (const HubHost& hub : state.hubs) {
    const bool is_new =
        known_.emplace(hub.address, KnownHub{hub.zone, now}).second;
    if (!is_new || !search_ || probing_.contains(hub.address)) continue;
    if (std::find(search_->begin(), search_->end(), hub.address) ==
        search_->end()) {
      search_->push_back(hub.address);
    }
  }
}

// Returns whether this host, which knew the seeds only or was sent on before,
// has to ask another hub than `address`: one of its own zone, the one that it
// belongs to first.
bool HubSelector::SendOn(Instant now, const std::string& address,
                         const HubState& state) {
  if (!sent_on_to_.empty()) return !sent_on_to_.contains(address);
  if (!known_.empty() || state.hubs.empty()) return false;
  LearnHubs(now, state);
  std::vector<std::string> candidates;
  for (const HubHost& hub : state.hubs) {
    if (hub.zone == zone_) candidates.push_back(hub.address);
  }
  // Without the number of entry hosts, as at a start of the whole fleet, all
  // hubs of the zone share them.
  const std::string assigned = AssignedHub(
      state.entry_hosts > 0 ? ActiveHubs(state.hubs, zone_, state.entry_hosts)
                            : candidates,
      member_);
  if (assigned.empty() || assigned == address) return false;
  for (std::size_t i = candidates.size(); i > 1; --i) {
    std::swap(candidates[i - 1], candidates[random_.Below(i)]);
  }
  std::partition(candidates.begin(), candidates.end(),
                 [&](const std::string& hub) { return hub == assigned; });
  search_ = Search(candidates.begin(), candidates.end());
  sent_on_to_ = {candidates.begin(), candidates.end()};
  next_probe_at_ = now;
  return true;
}

void HubSelector::Adopt(Instant now, const std::string& address) {
  hub_ = address;
  failed_searches_ = 0;
  hub_is_electing_ = false;
  hub_has_newest_update_ = false;
  search_.reset();
  probing_.clear();
  sent_on_to_.clear();
  next_search_at_ = now + settings_.first_update_time;
  next_switch_at_ = now + settings_.switch_period;
}

void HubSelector::RecordProbeFailure(Instant now, const std::string& address) {
  probing_.erase(address);
  backoff_until_[address] = now + settings_.failure_backoff;
  if (hub_.empty()) next_probe_at_ = now;
}

bool HubSelector::IsHubLost(Instant now, Instant asked_at,
                            bool has_answered) const {
  return now - asked_at > (has_answered ? settings_.report_timeout
                                        : settings_.first_report_timeout);
}

void HubSelector::RecordHubFailure(Instant now) {
  backoff_until_[hub_] = now + settings_.failure_backoff;
  hub_.clear();
  hub_is_electing_ = false;
  hub_has_newest_update_ = false;
  search_.reset();
  next_search_at_ = now;
  next_probe_at_ = now;
}

}  // namespace sapphirebank
