#include "sapphirebank/consensus/claim_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/core/hash.h"

namespace sapphirebank {

Result<ClaimAnswer> ClaimTable::Apply(const Claim& claim) {
  const ClaimHolder& holder = claim.holder;
  const auto life = lives_.find(holder.host);
  if (life != lives_.end() && holder.incarnation < life->second.alive_from) {
    return Fail(ErrorKind::kIdempotencyUnavailable,
                fmt::format("host \"{}\" was taken to have ended before",
                            holder.host.value()));
  }
  HostLife& seen = lives_[holder.host];
  seen.seen = now_;
  if (holder.incarnation > seen.newest) {
    seen.newest = holder.incarnation;
    EndLivesBefore(holder.host, holder.incarnation);
  }
  const auto found = Find(claim.key);
  if (!found) {
    Add({claim.key, claim.fingerprint, holder, Stage::kRunning, now_, {}});
    return ClaimAnswer{ClaimState::kGranted, {}};
  }
  const Entry& entry = **found;
  if (entry.fingerprint != claim.fingerprint) {
    return ClaimAnswer{ClaimState::kFingerprintMismatch, {}};
  }
  switch (entry.stage) {
    case Stage::kRunning:
      // The same request asks again when the answer to its claim was lost.
      return ClaimAnswer{
          entry.holder == holder ? ClaimState::kGranted : ClaimState::kRunning,
          {}};
    case Stage::kAnswered:
      return ClaimAnswer{ClaimState::kAnswered, entry.answer};
    case Stage::kAnswerNotKept:
      return ClaimAnswer{ClaimState::kAnswerNotKept, {}};
    case Stage::kUnknown:
      break;
  }
  return ClaimAnswer{ClaimState::kUnknown, {}};
}

Result<void> ClaimTable::Apply(const CompleteClaim& complete) {
  const auto found = Find(complete.key);
  if (!found || (*found)->holder != complete.holder) {
    return Fail(ErrorKind::kNotFound, "the claim is not held by this request");
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

void ClaimTable::Apply(const EndHost& end) {
  EndLivesBefore(end.host, end.through + 1);
}

void ClaimTable::Apply(const AdvanceClock& clock) {
  if (now_ == WallTime()) StartClock(clock.now);
  now_ = std::max(now_, std::min(clock.now, now_ + kMaxClockStep));
  while (!running_.empty() &&
         running_.front().since + clock.claim_run_time <= now_) {
    Finish(running_.begin(), Stage::kUnknown, {});
  }
  while (!finished_.empty() &&
         finished_.front().since + clock.claim_keep_time <= now_) {
    Erase(finished_, finished_.begin());
  }
  std::erase_if(lives_, [&](const auto& item) {
    return item.second.seen + clock.claim_keep_time <= now_;
  });
}

void ClaimTable::StartClock(WallTime now) {
  // Claims that came before the first clock are as old as the clock.
  now_ = now;
  for (Entries* list : {&running_, &finished_}) {
    for (Entry& entry : *list) entry.since = now;
  }
  for (auto& [host, life] : lives_) life.seen = now;
}

void ClaimTable::EndLivesBefore(const HostId& host, Incarnation alive_from) {
  HostLife& life = lives_[host];
  life.alive_from = std::max(life.alive_from, alive_from);
  life.seen = now_;
  for (auto entry = running_.begin(); entry != running_.end();) {
    const auto current = entry++;
    const ClaimHolder& holder = current->holder;
    if (holder.host == host && holder.incarnation < alive_from) {
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
    throw nlohmann::json::out_of_range::create(
        401, "the stage of a claim is unknown", &json);
  }
  entry.stage = static_cast<Stage>(stage);
  entry.since = FromUnixMicroseconds(json.at(4).get<std::int64_t>());
  entry.answer = BytesFromJson(json.at(5));
  return entry;
}

void ClaimTable::AppendTo(std::string& out) const {
  auto lives = nlohmann::json::array();
  for (const auto& [host, life] : lives_) {
    lives.push_back({host.value(), life.newest, life.alive_from,
                     ToUnixMicroseconds(life.seen)});
  }
  AppendCbor(out, {{"now", ToUnixMicroseconds(now_)},
                   {"lives", std::move(lives)},
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
    table.lives_[HostId(item.at(0).get<std::string>())] = {
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
