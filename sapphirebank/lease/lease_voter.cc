#include "sapphirebank/lease/lease_voter.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirebank {
namespace {

// Time after the end of a key's last grant from which its record is removed.
constexpr Duration kIdleKeyRetention = std::chrono::minutes(10);
constexpr Duration kCleanupPeriod = std::chrono::seconds(10);

bool Contains(const std::vector<HostId>& hosts, const HostId& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

// Counts the hosts of `a` that are not in `b`.
std::size_t CountMissing(const std::vector<HostId>& a,
                         const std::vector<HostId>& b) {
  return static_cast<std::size_t>(
      std::count_if(a.begin(), a.end(),
                    [&](const HostId& host) { return !Contains(b, host); }));
}

Result<void> CheckVoterSet(const VoterSet& voters) {
  if (voters.hosts.empty()) {
    return Fail(ErrorKind::kInvalidSettings,
                "the set of lease voters is empty");
  }
  const std::set<HostId> unique(voters.hosts.begin(), voters.hosts.end());
  if (unique.size() != voters.hosts.size()) {
    return Fail(ErrorKind::kInvalidSettings,
                "the set of lease voters lists a host twice");
  }
  if (voters.previous.empty()) return {};
  const std::size_t changes = CountMissing(voters.hosts, voters.previous) +
                              CountMissing(voters.previous, voters.hosts);
  if (changes <= 1) return {};
  return Fail(
      ErrorKind::kInvalidSettings,
      fmt::format("voter epoch {} differs in {} hosts from the previous "
                  "epoch; at most one may change",
                  voters.epoch, changes));
}

Duration MaxLeaseWithMargin(const LeaseSettings& settings) {
  return settings.max_length +
         DriftMargin(settings.max_length, settings.max_drift);
}

}  // namespace

Result<LeaseVoter> LeaseVoter::Create(HostId self, LeaseSettings settings,
                                      VoterSet voters, Term term_floor,
                                      Instant now) {
  if (auto checked = CheckVoterSet(voters); !checked) {
    return tl::unexpected(checked.error());
  }
  if (settings.length > settings.max_length) {
    return Fail(ErrorKind::kInvalidSettings,
                "the lease length exceeds the maximum length");
  }
  return LeaseVoter(std::move(self), settings, std::move(voters), term_floor,
                    now);
}

LeaseVoter::LeaseVoter(HostId self, LeaseSettings settings, VoterSet voters,
                       Term term_floor, Instant now)
    : self_(std::move(self)),
      settings_(settings),
      voters_(std::move(voters)),
      term_floor_(term_floor),
      next_cleanup_(now + kCleanupPeriod) {
  CheckPreviousEpochLeft(now);
}

bool LeaseVoter::Ready(Instant now) const {
  return IsVoter() && ready_at_ && now >= *ready_at_;
}

bool LeaseVoter::IsVoter() const { return Contains(voters_.hosts, self_); }

Result<void> LeaseVoter::AdoptVoters(Instant now, VoterSet voters) {
  if (voters.epoch <= voters_.epoch) return {};
  if (auto checked = CheckVoterSet(voters); !checked) return checked;
  voters_ = std::move(voters);
  ready_at_.reset();
  left_previous_.clear();
  CheckPreviousEpochLeft(now);
  return {};
}

void LeaseVoter::CheckPreviousEpochLeft(Instant now) {
  if (ready_at_) return;
  std::size_t left = left_previous_.size();
  if (Contains(voters_.previous, self_)) ++left;
  const bool previous_left =
      voters_.previous.empty() || left > voters_.previous.size() / 2;
  // Grants by the previous set may be valid for up to one maximum lease from
  // now.
  if (previous_left) ready_at_ = now + MaxLeaseWithMargin(settings_);
}

std::vector<OutgoingLeaseMessage> LeaseVoter::OnNotice(
    Instant now, const HostId& from, const VoterEpochNotice& notice) {
  if (notice.epoch >= voters_.epoch && from != self_ &&
      Contains(voters_.previous, from)) {
    left_previous_.insert(from);
    CheckPreviousEpochLeft(now);
  }
  if (!notice.wants_response) return {};
  return {{from, VoterEpochNotice{voters_.epoch, false}}};
}

std::vector<OutgoingLeaseMessage> LeaseVoter::Tick(Instant now) {
  std::vector<OutgoingLeaseMessage> messages;
  if (now >= next_cleanup_) RemoveIdleKeys(now);
  if (ready_at_ || !IsVoter()) return messages;
  for (const HostId& host : voters_.previous) {
    if (host == self_ || left_previous_.contains(host)) continue;
    messages.push_back({host, VoterEpochNotice{voters_.epoch, true}});
  }
  return messages;
}

void LeaseVoter::RemoveIdleKeys(Instant now) {
  next_cleanup_ = now + kCleanupPeriod;
  std::erase_if(keys_, [&](const auto& entry) {
    const Record& record = entry.second;
    if (now < record.expires_at + kIdleKeyRetention) return false;
    // Terms must keep increasing for a key whose record was removed.
    term_floor_ = std::max({term_floor_, record.promised, record.granted});
    return true;
  });
}

OutgoingLeaseMessage LeaseVoter::OnRequest(Instant now, const HostId& from,
                                           const LeaseRequest& request) {
  LeaseResponse response;
  response.epoch = voters_.epoch;
  response.round = request.round;
  if (request.epoch != voters_.epoch || !IsVoter()) {
    response.state = VoterState::kWrongEpoch;
    return {from, std::move(response)};
  }
  response.state = Ready(now) ? VoterState::kReady : VoterState::kWaiting;
  const Duration length = std::min(request.length, settings_.max_length);
  response.results.reserve(request.items.size());
  for (const LeaseItem& item : request.items) {
    const bool known = keys_.contains(item.key);
    if (!Ready(now) && !known) continue;
    if (!Ready(now) && item.operation != LeaseOperation::kExtend &&
        item.operation != LeaseOperation::kRelease) {
      continue;
    }
    response.results.push_back(HandleItem(now, from, item, length));
  }
  return {from, std::move(response)};
}

LeaseItemResult LeaseVoter::HandleItem(Instant now, const HostId& from,
                                       const LeaseItem& item, Duration length) {
  LeaseItemResult result;
  result.item = item;
  auto found = keys_.find(item.key);
  if (found == keys_.end()) {
    result.known_term = term_floor_;
    if (item.operation == LeaseOperation::kLookup) {
      result.verdict = LeaseVerdict::kFree;
      return result;
    }
    found = keys_.emplace(item.key, Record{}).first;
    found->second.expires_at = now;
  }
  Record& record = found->second;
  const bool active = !record.holder.empty() && now < record.expires_at;
  const bool held_by_other = active && record.holder != from;
  const Term last_granted = std::max(term_floor_, record.granted);
  result.holder = record.holder;
  if (active) result.remaining = record.expires_at - now;
  switch (item.operation) {
    case LeaseOperation::kLookup:
      result.verdict = active ? LeaseVerdict::kHeld : LeaseVerdict::kFree;
      break;
    case LeaseOperation::kPrepare:
      result.verdict = held_by_other ? LeaseVerdict::kHeld
                                     : Prepare(record, from, item.term);
      break;
    case LeaseOperation::kPropose:
      result.verdict = held_by_other
                           ? LeaseVerdict::kHeld
                           : Grant(now, record, from, item.term, length);
      break;
    case LeaseOperation::kExtend:
      // While the voter is not ready, it knows only its own grants to be safe.
      if (held_by_other ||
          (!Ready(now) && (!active || record.granted != item.term))) {
        result.verdict = LeaseVerdict::kHeld;
        break;
      }
      result.verdict = Grant(now, record, from, item.term, length);
      break;
    case LeaseOperation::kRelease:
      result.verdict = LeaseVerdict::kGranted;
      if (record.granted == item.term && record.holder == from) {
        record.holder = HostId();
      }
      // A delayed proposal of the released term must not be granted.
      if (record.promised == item.term && record.promised_to == from) {
        record.promised_to = HostId();
      }
      break;
  }
  // The holder derives from the promises which host had the last grant.
  const bool promise = item.operation == LeaseOperation::kPrepare &&
                       result.verdict == LeaseVerdict::kGranted;
  result.known_term =
      promise ? last_granted : std::max(last_granted, record.promised);
  return result;
}

LeaseVerdict LeaseVoter::Prepare(Record& record, const HostId& from,
                                 Term term) const {
  const bool repeated = term == record.promised && record.promised_to == from;
  if (repeated) return LeaseVerdict::kGranted;
  if (term <= std::max({term_floor_, record.promised, record.granted})) {
    return LeaseVerdict::kStaleTerm;
  }
  record.promised = term;
  record.promised_to = from;
  return LeaseVerdict::kGranted;
}

LeaseVerdict LeaseVoter::Grant(Instant now, Record& record, const HostId& from,
                               Term term, Duration length) const {
  if (term < record.promised) return LeaseVerdict::kStaleTerm;
  if (term == record.promised && record.promised_to != from) {
    return LeaseVerdict::kStaleTerm;
  }
  assert(record.holder.empty() || record.holder == from ||
         now >= record.expires_at);
  record.promised = term;
  record.promised_to = from;
  record.granted = term;
  record.holder = from;
  // A delayed or shorter grant must not shorten one that the holder relies on.
  record.expires_at = std::max(record.expires_at, now + length);
  return LeaseVerdict::kGranted;
}

}  // namespace sapphirebank
