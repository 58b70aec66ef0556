#include "sapphirebank/consensus/claim_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/core/hash.h"

namespace sapphirebank {

Result<ClaimResult> ClaimTable::Apply(const Claim& claim) {
  const ClaimHolder& holder = claim.holder;
  const auto known = host_incarnations_.find(holder.host);
  if (known != host_incarnations_.end() &&
      holder.incarnation < known->second.oldest_live) {
    return Fail(ErrorKind::kIdempotencyUnavailable,
                fmt::format("this incarnation of host \"{}\" has ended",
                            holder.host.value()));
  }
  HostIncarnations& incarnations = host_incarnations_[holder.host];
  incarnations.last_used = now_;
  if (holder.incarnation > incarnations.newest_seen) {
    incarnations.newest_seen = holder.incarnation;
    ExpireIncarnationsBefore(holder.host, holder.incarnation);
  }
  const auto found = Find(claim.key);
  if (!found) {
    Add({claim.key, claim.fingerprint, holder, Stage::kRunning, now_, {}});
    return ClaimResult{ClaimState::kGranted, {}};
  }
  const Entry& entry = **found;
  if (entry.fingerprint != claim.fingerprint) {
    return ClaimResult{ClaimState::kFingerprintMismatch, {}};
  }
  switch (entry.stage) {
    case Stage::kRunning:
      // The same request claims again when the result of its first claim was
      // lost.
      return ClaimResult{
          entry.holder == holder ? ClaimState::kGranted : ClaimState::kRunning,
          {}};
    case Stage::kAnswered:
      return ClaimResult{ClaimState::kAnswered, entry.answer};
    case Stage::kAnswerNotKept:
      return ClaimResult{ClaimState::kAnswerNotKept, {}};
    case Stage::kUnknown:
      break;
  }
  return ClaimResult{ClaimState::kUnknown, {}};
}

Result<void> ClaimTable::Apply(const CompleteClaim& complete) {
  const auto found = Find(complete.key);
  if (!found || (*found)->holder != complete.holder) {
    return Fail(ErrorKind::kNotFound,
                "the idempotency key is not held by this request");
  }
  const Entries::iterator entry = *found;
  const bool is_open =
      entry->stage == Stage::kRunning || entry->stage == Stage::kUnknown;
  if (!is_open) return {};
  switch (complete.outcome) {
    case ClaimOutcome::kAnswered:
      Finish(entry, Stage::kAnswered, complete.answer);
      break;
    case ClaimOutcome::kAnswerTooLarge:
      Finish(entry, Stage::kAnswerNotKept, {});
      break;
    case ClaimOutcome::kNotRun:
      Erase(entry->stage == Stage::kRunning ? running_ : finished_, entry);
      break;
    case ClaimOutcome::kUnknown:
      Finish(entry, Stage::kUnknown, {});
      break;
  }
  return {};
}

void ClaimTable::Apply(const ExpireIncarnations& expire) {
  ExpireIncarnationsBefore(expire.host, expire.through + 1);
}

void ClaimTable::Apply(const AdvanceClock& clock) {
  if (now_ == WallTime()) StartClock(clock.now);
  now_ = std::max(now_, std::min(clock.now, now_ + kMaxClockStep));
  while (!running_.empty() &&
         running_.front().since + clock.claim_run_timeout <= now_) {
    Finish(running_.begin(), Stage::kUnknown, {});
  }
  while (!finished_.empty() &&
         finished_.front().since + clock.claim_retention <= now_) {
    Erase(finished_, finished_.begin());
  }
  std::erase_if(host_incarnations_, [&](const auto& item) {
    return item.second.last_used + clock.claim_retention <= now_;
  });
}

void ClaimTable::StartClock(WallTime now) {
  // Claims made before the first AdvanceClock are treated as starting with it.
  now_ = now;
  for (Entries* list : {&running_, &finished_}) {
    for (Entry& entry : *list) entry.since = now;
  }
  for (auto& [host, incarnations] : host_incarnations_)
    incarnations.last_used = now;
}

void ClaimTable::ExpireIncarnationsBefore(const HostId& host,
                                          Incarnation oldest_live) {
  HostIncarnations& incarnations = host_incarnations_[host];
  incarnations.oldest_live = std::max(incarnations.oldest_live, oldest_live);
  incarnations.last_used = now_;
  for (auto entry = running_.begin(); entry != running_.end();) {
    const auto current = entry++;
    const ClaimHolder& holder = current->holder;
    if (holder.host == host && holder.incarnation < oldest_live) {
      Finish(current, Stage::kUnknown, {});
    }
  }
}

std::size_t ClaimTable::KeyHash::operator()(
    const ClaimKey* key) const noexcept {
  return StableHash(key->idempotency_key, StableHash(key->workspace.value()));
}

std::optional<ClaimTable::Entries::iterator> ClaimTable::Find(
    const ClaimKey& key) const {
  const auto found = index_.find(&key);
  if (found == index_.end()) return std::nullopt;
  return found->second;
}

void ClaimTable::Add(Entry entry) {
  answer_bytes_ += entry.answer.size();
  Entries& list = entry.stage == Stage::kRunning ? running_ : finished_;
  list.push_back(std::move(entry));
  const auto added = std::prev(list.end());
  index_.emplace(&added->key, added);
}

void ClaimTable::Erase(Entries& from, Entries::iterator entry) {
  answer_bytes_ -= entry->answer.size();
  index_.erase(&entry->key);
  from.erase(entry);
}

void ClaimTable::Finish(Entries::iterator entry, Stage stage,
                        std::string answer) {
  Entries& from = entry->stage == Stage::kRunning ? running_ : finished_;
  finished_.splice(finished_.end(), from, entry);
  entry->stage = stage;
  entry->since = now_;
  answer_bytes_ += answer.size();
  entry->answer = std::move(answer);
}

nlohmann::json ClaimTable::EntryToJson(const Entry& entry) {
  return nlohmann::json::array({entry.key, entry.fingerprint, entry.holder,
                                static_cast<unsigned>(entry.stage),
                                ToUnixMicroseconds(entry.since),
                                BytesToJson(entry.answer)});
}

ClaimTable::Entry ClaimTable::EntryFromJson(const nlohmann::json& json) {
  Entry entry;
  json.at(0).get_to(entry.key);
  json.at(1).get_to(entry.fingerprint);
  json.at(2).get_to(entry.holder);
  const auto stage = json.at(3).get<unsigned>();
  if (stage > static_cast<unsigned>(Stage::kUnknown)) {
    throw nlohmann::json::out_of_range::create(401, "unknown stage of a claim",
                                               &json);
  }
  entry.stage = static_cast<Stage>(stage);
  entry.since = FromUnixMicroseconds(json.at(4).get<std::int64_t>());
  entry.answer = BytesFromJson(json.at(5));
  return entry;
}

void ClaimTable::AppendTo(std::string& out) const {
  auto incarnation_list = nlohmann::json::array();
  for (const auto& [host, incarnations] : host_incarnations_) {
    incarnation_list.push_back({host.value(), incarnations.newest_seen,
                                incarnations.oldest_live,
                                ToUnixMicroseconds(incarnations.last_used)});
  }
  AppendCbor(out, {{"now", ToUnixMicroseconds(now_)},
                   {"lives", std::move(incarnation_list)},
                   {"entries", size()}});
  for (const Entries* list : {&running_, &finished_}) {
    for (const Entry& entry : *list) AppendCbor(out, EntryToJson(entry));
  }
}

ClaimTable ClaimTable::ReadFrom(CborReader& reader) {
  const auto header = reader.Next();
  ClaimTable table;
  table.now_ = FromUnixMicroseconds(header.at("now").get<std::int64_t>());
  for (const auto& item : header.at("lives")) {
    table.host_incarnations_[HostId(item.at(0).get<std::string>())] = {
        item.at(1).get<Incarnation>(), item.at(2).get<Incarnation>(),
        FromUnixMicroseconds(item.at(3).get<std::int64_t>())};
  }
  const auto entries = header.at("entries").get<std::uint64_t>();
  for (std::uint64_t i = 0; i < entries; ++i) {
    table.Add(EntryFromJson(reader.Next()));
  }
  return table;
}

}  // namespace sapphirebank
