#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>

#include "sapphirebank/consensus/cbor_sequence.h"
#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// The idempotency keys of all workspaces, each with the one request that may
// run for it and the answer of that run. Its time is that of the last
// AdvanceClock.
class ClaimTable {
 public:
  // The clock moves by at most this for one AdvanceClock, so that one leader
  // with a wrong clock cannot end the keep time of claims at once.
  static constexpr Duration kMaxClockStep = std::chrono::minutes(2);

  ClaimTable() = default;
  ClaimTable(ClaimTable&&) = default;
  ClaimTable& operator=(ClaimTable&&) = default;
  ClaimTable(const ClaimTable&) = delete;
  ClaimTable& operator=(const ClaimTable&) = delete;

  // Grants the claim when the key is free or already held by the same holder,
  // and otherwise tells what became of the key. Fails with
  // kIdempotencyUnavailable for a life of a host that has ended.
  Result<ClaimResult> Apply(const Claim& claim);

  // Ends a run. A repeated end changes nothing. Fails with kNotFound when the
  // key is not held by that holder.
  Result<void> Apply(const CompleteClaim& complete);

  void Apply(const ExpireIncarnations& end);
  void Apply(const AdvanceClock& clock);

  // Returns whether `key` is held.
  bool Contains(const ClaimKey& key) const { return index_.contains(&key); }

  // Returns the number of keys held.
  std::size_t size() const { return index_.size(); }

  // Returns the bytes of all answers kept.
  std::size_t answer_bytes() const { return answer_bytes_; }

  WallTime now() const { return now_; }

  // Adds the table to `out` as CBOR items.
  void AppendTo(std::string& out) const;

  // Reads what AppendTo wrote. Throws nlohmann::json::exception when it is
  // something else.
  static ClaimTable ReadFrom(CborReader& reader);

 private:
  enum class Stage : std::uint8_t {
    kRunning,
    kAnswered,
    kAnswerNotKept,
    kUnknown
  };

  struct Entry {
    ClaimKey key;
    std::string fingerprint;
    ClaimHolder holder;
    Stage stage = Stage::kRunning;
    WallTime since;  // When the stage began.
    std::string answer;
  };
  using Entries = std::list<Entry>;

  struct KeyHash {
    std::size_t operator()(const ClaimKey* key) const noexcept;
  };
  struct KeyEqual {
    bool operator()(const ClaimKey* a, const ClaimKey* b) const {
      return *a == *b;
    }
  };

  struct HostIncarnations {
    Incarnation newest_seen = 0;
    // Every older life has ended.
    Incarnation oldest_live = 0;
    WallTime last_used;
  };

  static nlohmann::json EntryToJson(const Entry& entry);
  static Entry EntryFromJson(const nlohmann::json& json);
  std::optional<Entries::iterator> Find(const ClaimKey& key) const;
  void Add(Entry entry);
  void Erase(Entries& from, Entries::iterator entry);
  void Finish(Entries::iterator entry, Stage stage, std::string answer);
  void ExpireIncarnationsBefore(const HostId& host, Incarnation oldest_live);
  void StartClock(WallTime now);

  WallTime now_;
  // Both are in the order of `since`.
  Entries running_;
  Entries finished_;
  // The keys point into the entries, which never move.
  std::unordered_map<const ClaimKey*, Entries::iterator, KeyHash, KeyEqual>
      index_;
  std::map<HostId, HostIncarnations> host_incarnations_;
  std::size_t answer_bytes_ = 0;
};

}  // namespace sapphirebank
