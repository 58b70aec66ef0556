#include "sapphirebank/lease/lease_holder.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <set>
#include <utility>

namespace sapphirebank {
namespace {

constexpr std::array<std::string_view, 5> kStates = {
    "idle", "preparing", "proposing", "held", "waiting"};
constexpr std::array<std::string_view, 6> kEvents = {
    "want", "promise_quorum", "grant_quorum", "refused", "expired", "release"};

// Number of requests to extend a lease within one lease length.
constexpr int kExtensionsPerLease = 3;

// The round numbers of a process start at a random multiple of this number, up
// to kRoundStarts times it, so that responses to an earlier process of this
// host do not match.
constexpr std::uint64_t kRoundStride = 1ULL << 32U;
constexpr std::uint64_t kRoundStarts = 1ULL << 30U;

Result<void> CheckVoters(const VoterSet& voters) {
  if (voters.hosts.empty() || voters.hosts.size() > LeaseHolder::kMaxVoters) {
    return Fail(ErrorKind::kInvalidSettings,
                "the set of lease voters must have 1 to 32 hosts");
  }
  return {};
}

}  // namespace

class LeaseHolder::RequestBatch {
 public:
  RequestBatch(const LeaseSettings& settings, std::uint64_t& next_round)
      : settings_(settings), next_round_(next_round) {}

  // Adds an item. Returns the round of the message that will contain it.
  std::uint64_t Add(LeaseOperation operation, const std::string& key,
                    Term term) {
    if (items_.size() ==
        static_cast<std::size_t>(settings_.max_keys_per_message)) {
      Close();
    }
    items_.push_back({operation, key, term});
    return next_round_;
  }

  // Appends the messages: for each round, one to each voter.
  void Flush(const VoterSet& voters,
             std::vector<OutgoingLeaseMessage>& messages) {
    Close();
    for (LeaseRequest& request : requests_) {
      request.epoch = voters.epoch;
      for (const HostId& host : voters.hosts) {
        messages.push_back({host, request});
      }
    }
    requests_.clear();
  }

 private:
  void Close() {
    if (items_.empty()) return;
    LeaseRequest request;
    request.round = next_round_++;
    request.length = settings_.length;
    request.items = std::move(items_);
    requests_.push_back(std::move(request));
    items_.clear();
  }

  const LeaseSettings& settings_;
  std::uint64_t& next_round_;
  std::vector<LeaseItem> items_;
  std::vector<LeaseRequest> requests_;
};

Result<LeaseHolder> LeaseHolder::Create(HostId self, LeaseSettings settings,
                                        VoterSet voters, std::uint64_t seed) {
  if (auto checked = CheckVoters(voters); !checked) {
    return tl::unexpected(checked.error());
  }
  if (settings.max_keys_per_message < 1 ||
      settings.length <= Duration::zero()) {
    return Fail(ErrorKind::kInvalidSettings,
                "the lease length and the keys per message must be positive");
  }
  auto chart = StateChart::Load("lease", kStates, kEvents);
  if (!chart) return tl::unexpected(chart.error());
  return LeaseHolder(std::move(self), settings, std::move(voters), seed,
                     std::move(*chart));
}

LeaseHolder::LeaseHolder(HostId self, LeaseSettings settings, VoterSet voters,
                         std::uint64_t seed, StateChart chart)
    : self_(std::move(self)),
      settings_(settings),
      voters_(std::move(voters)),
      random_(seed),
      chart_(std::move(chart)),
      next_round_((1 + random_.Below(kRoundStarts)) * kRoundStride) {}

void LeaseHolder::Transition(Record& record, Event event) const {
  const auto next = chart_.Next(static_cast<std::size_t>(record.state),
                                static_cast<std::size_t>(event));
  assert(next);
  record.state = static_cast<State>(*next);
}

Duration LeaseHolder::Jitter() {
  const auto longest =
      static_cast<std::uint64_t>(settings_.max_retry_delay.count());
  return Duration(static_cast<Duration::rep>(1 + random_.Below(longest + 1)));
}

LeaseEffects LeaseHolder::SetDesiredKeys(Instant now,
                                         std::span<const std::string> keys) {
  LeaseEffects effects;
  RequestBatch batch(settings_, next_round_);
  const std::set<std::string_view> desired(keys.begin(), keys.end());
  for (auto entry = records_.begin(); entry != records_.end();) {
    if (desired.contains(entry->first)) {
      ++entry;
      continue;
    }
    Release(now, entry->first, entry->second, batch, effects);
    entry = records_.erase(entry);
  }
  for (const std::string& key : keys) {
    const auto [entry, added] = records_.try_emplace(key);
    if (added) entry->second.next_request_at = now;
  }
  batch.Flush(voters_, effects.messages);
  return effects;
}

std::optional<Term> LeaseHolder::Holds(Instant now,
                                       std::string_view key) const {
  const auto found = records_.find(key);
  if (found == records_.end()) return std::nullopt;
  const Record& record = found->second;
  if (record.state != State::kHeld || now >= record.valid_until) {
    return std::nullopt;
  }
  return record.term;
}

std::vector<OwnerAnnouncement::Key> LeaseHolder::HeldKeys(Instant now) const {
  std::vector<OwnerAnnouncement::Key> held;
  for (const auto& [key, record] : records_) {
    if (record.state == State::kHeld && now < record.valid_until) {
      held.push_back({key, record.term});
    }
  }
  return held;
}

LeaseEffects LeaseHolder::Tick(Instant now) {
  LeaseEffects effects;
  RequestBatch batch(settings_, next_round_);
  for (auto& [key, record] : records_) {
    TickKey(now, key, record, batch, effects);
  }
  batch.Flush(voters_, effects.messages);
  return effects;
}

void LeaseHolder::TickKey(Instant now, const std::string& key, Record& record,
                          RequestBatch& batch, LeaseEffects& effects) {
  if (record.state == State::kHeld && now >= record.valid_until) {
    Expire(now, key, record, effects);
  }
  if (now < record.next_request_at) return;
  switch (record.state) {
    case State::kIdle:
    case State::kWaiting:
      Transition(record, Event::kWant);
      record.term = ++highest_term_;
      record.previous_holder = HostId();
      record.previous_term = 0;
      QueueRequest(now, key, record, LeaseOperation::kPrepare, batch);
      record.next_request_at = now + settings_.response_timeout;
      break;
    case State::kPreparing:
    case State::kProposing:
      BackOff(now, key, record, Jitter(), batch);
      break;
    case State::kHeld:
      QueueRequest(now, key, record, LeaseOperation::kExtend, batch);
      record.next_request_at = now + settings_.length / kExtensionsPerLease;
      break;
  }
}

void LeaseHolder::QueueRequest(Instant now, const std::string& key,
                               Record& record, LeaseOperation operation,
                               RequestBatch& batch) {
  record.round = batch.Add(operation, key, record.term);
  record.sent_at = now;
  record.granted.reset();
  record.refused.reset();
}

void LeaseHolder::BackOff(Instant now, const std::string& key, Record& record,
                          Duration delay, RequestBatch& batch) {
  // A minority may have granted the proposal, which would block other holders.
  if (record.state == State::kProposing) {
    batch.Add(LeaseOperation::kRelease, key, record.term);
  }
  Transition(record, Event::kRefused);
  record.round = 0;
  record.next_request_at = now + delay;
}

void LeaseHolder::Expire(Instant now, const std::string& key, Record& record,
                         LeaseEffects& effects) {
  Transition(record, Event::kExpired);
  record.round = 0;
  record.next_request_at = now + Jitter();
  effects.events.push_back(
      {LeaseEvent::Kind::kExpired, key, record.term, HostId(), false});
}

void LeaseHolder::Release(Instant now, const std::string& key, Record& record,
                          RequestBatch& batch, LeaseEffects& effects) {
  if (record.state == State::kHeld && now >= record.valid_until) {
    Expire(now, key, record, effects);
  }
  if (record.state == State::kIdle) return;
  if (record.state == State::kHeld) {
    effects.events.push_back(
        {LeaseEvent::Kind::kReleased, key, record.term, HostId(), false});
  }
  if (record.state != State::kWaiting) {
    batch.Add(LeaseOperation::kRelease, key, record.term);
  }
  Transition(record, Event::kRelease);
}

void LeaseHolder::OnReleased(Instant now, std::string_view key) {
  const auto found = records_.find(key);
  if (found == records_.end()) return;
  if (found->second.state == State::kWaiting)
    found->second.next_request_at = now;
}

LeaseEffects LeaseHolder::ReleaseAll(Instant now) {
  return SetDesiredKeys(now, {});
}

LeaseEffects LeaseHolder::AdoptVoters(Instant now, VoterSet voters) {
  if (voters.epoch <= voters_.epoch || !CheckVoters(voters)) return {};
  voters_ = std::move(voters);
  for (auto& [key, record] : records_) {
    // Votes of the previous epoch do not count in this one.
    record.round = 0;
    record.granted.reset();
    record.refused.reset();
    record.next_request_at = now;
  }
  return Tick(now);
}

LeaseEffects LeaseHolder::OnResponse(Instant now, const HostId& from,
                                     const LeaseResponse& response) {
  LeaseEffects effects;
  if (response.epoch != voters_.epoch) return effects;
  const auto voter =
      std::find(voters_.hosts.begin(), voters_.hosts.end(), from);
  if (voter == voters_.hosts.end()) return effects;
  const auto index = static_cast<std::size_t>(voter - voters_.hosts.begin());
  RequestBatch batch(settings_, next_round_);
  for (const LeaseItemResult& result : response.results) {
    highest_term_ = std::max(highest_term_, result.known_term);
    const auto entry = records_.find(result.item.key);
    if (entry == records_.end()) continue;
    Record& record = entry->second;
    if (record.state == State::kHeld && now >= record.valid_until) {
      Expire(now, entry->first, record, effects);
    }
    if (record.round != response.round || record.term != result.item.term) {
      continue;
    }
    OnItemResult(now, index, result, entry->first, record, batch, effects);
    const bool retry =
        record.state == State::kWaiting && now >= record.next_request_at;
    if (retry) TickKey(now, entry->first, record, batch, effects);
  }
  batch.Flush(voters_, effects.messages);
  return effects;
}

void LeaseHolder::OnItemResult(Instant now, std::size_t voter,
                               const LeaseItemResult& result,
                               const std::string& key, Record& record,
                               RequestBatch& batch, LeaseEffects& effects) {
  if (record.granted[voter] || record.refused[voter]) return;
  if (result.item.operation == LeaseOperation::kRelease) return;
  if (result.verdict != LeaseVerdict::kGranted) {
    record.refused.set(voter);
    OnRefusal(now, key, record, result, batch);
    return;
  }
  record.granted.set(voter);
  if (record.state == State::kPreparing &&
      result.known_term > record.previous_term && !result.holder.empty()) {
    record.previous_term = result.known_term;
    record.previous_holder = result.holder;
  }
  if (record.granted.count() == Majority()) {
    OnQuorum(now, key, record, batch, effects);
  }
}

void LeaseHolder::OnQuorum(Instant now, const std::string& key, Record& record,
                           RequestBatch& batch, LeaseEffects& effects) {
  if (record.state == State::kPreparing) {
    Transition(record, Event::kPromiseQuorum);
    QueueRequest(now, key, record, LeaseOperation::kPropose, batch);
    record.next_request_at = now + settings_.response_timeout;
    return;
  }
  const bool acquired = record.state == State::kProposing;
  const Instant valid_until =
      record.sent_at + settings_.length -
      DriftMargin(settings_.length, settings_.max_drift);
  // The responses arrived after the lease that they grant had expired.
  if (now >= valid_until) return;
  Transition(record, Event::kGrantQuorum);
  record.valid_until = valid_until;
  if (!acquired) return;
  record.next_request_at =
      record.sent_at + settings_.length / kExtensionsPerLease;
  const bool takeover =
      !record.previous_holder.empty() && record.previous_holder != self_;
  effects.events.push_back({LeaseEvent::Kind::kAcquired, key, record.term,
                            record.previous_holder, takeover});
}

void LeaseHolder::OnRefusal(Instant now, const std::string& key, Record& record,
                            const LeaseItemResult& result,
                            RequestBatch& batch) {
  // A refusal of an extension does not end the lease before it expires.
  if (record.state == State::kHeld) return;
  const std::size_t blocking = voters_.hosts.size() - Majority() + 1;
  if (record.refused.count() < blocking) return;
  const bool stale_term = result.verdict == LeaseVerdict::kStaleTerm;
  const Duration until_free =
      std::max(Duration::zero(), result.remaining - settings_.max_retry_delay);
  BackOff(now, key, record,
          stale_term ? Duration::zero() : until_free + Jitter(), batch);
}

}  // namespace sapphirebank
