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

// The idempotency keys of all workspaces. Each key maps to the one request that
// may run for it and, once it has run, to its answer. The time of the table is
// set by AdvanceClock.
class ClaimTable {
 public:
  // Limit on the step of the clock for one AdvanceClock, so that a leader with
  // a wrong clock cannot expire all claims at once.
  static constexpr Duration kMaxClockStep = std::chrono::minutes(2);

  ClaimTable() = default;
  ClaimTable(ClaimTable&&) = default;
  ClaimTable& operator=(ClaimTable&&) = default;
  ClaimTable(const ClaimTable&) = delete;
  ClaimTable& operator=(const ClaimTable&) = delete;

  // Grants the claim when the key is free or already held by the same holder;
  // otherwise returns the state of the key. Fails with kIdempotencyUnavailable
  // for an incarnation of a host that is known to have ended.
  Result<ClaimResult> Apply(const Claim& claim);

  // Records the outcome of a run. Repeating it has no effect. Fails with
  // kNotFound when the key is not held by that holder.
  Result<void> Apply(const CompleteClaim& complete);

  void Apply(const ExpireIncarnations& expire);
  void Apply(const AdvanceClock& clock);

  // Returns whether `key` is held.
  bool Contains(const ClaimKey& key) const { return index_.contains(&key); }

  // Returns the number of keys held.
  std::size_t size() const { return index_.size(); }

  // Returns the total size of the stored answers in bytes.
  std::size_t answer_bytes() const { return answer_bytes_; }

  WallTime now() const { return now_; }

  // Appends the table to `out` as CBOR items.
  void AppendTo(std::string& out) const;

  // Reads what AppendTo wrote. Throws nlohmann::json::exception when the input
  // is malformed.
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
    WallTime since;  // When the claim entered its stage.
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
    // All incarnations below this one have ended.
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
  // Both are ordered by `since`.
  Entries running_;
  Entries finished_;
  // The keys point into the list entries, whose addresses are stable.
  std::unordered_map<const ClaimKey*, Entries::iterator, KeyHash, KeyEqual>
      index_;
  std::map<HostId, HostIncarnations> host_incarnations_;
  std::size_t answer_bytes_ = 0;
};

}  // namespace sapphirebank
