#pragma once

#include <cstddef>
#include <cstdint>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/consensus/raft_log.h"

namespace sapphirebank {

struct LogRetentionSettings {
  // A snapshot is taken when the log since the last one exceeds both this limit
  // and the size of the last snapshot.
  std::size_t snapshot_log_bytes = 4UL << 20;
  // Limits on the entries kept before the position of a snapshot, so that
  // followers that lag slightly do not need the snapshot. Both apply, in memory
  // and in the data folder alike.
  std::uint64_t trailing_entries = 1024;
  std::size_t trailing_bytes = 16UL << 20;
};

// Decides when a control host takes a snapshot and how much of the log it keeps
// behind it.
class LogRetention {
 public:
  explicit LogRetention(const LogRetentionSettings& settings)
      : settings_(settings) {}

  // Records that an entry of `payload_bytes` was applied to the state.
  void RecordApplied(std::size_t payload_bytes) {
    bytes_since_snapshot_ += payload_bytes;
  }

  // Records that the state is that of a snapshot, taken or received.
  void RecordSnapshot() { bytes_since_snapshot_ = 0; }

  // Returns whether a snapshot is due when the last one has `last_bytes`.
  bool IsSnapshotDue(std::size_t last_bytes) const;

  // Returns the last entry to discard from `log` once a snapshot covers it up
  // to `snapshot`, which must be held.
  LogIndex DiscardThrough(const RaftLog& log, LogIndex snapshot) const;

 private:
  LogRetentionSettings settings_;
  std::size_t bytes_since_snapshot_ = 0;
};

}  // namespace sapphirebank
