#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <vector>

#include "sapphirebank/consensus/file_system.h"
#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

struct SegmentLogSettings {
  // Size from which a new file is begun.
  std::size_t segment_bytes = 4UL << 20;
  // Payload up to which entries before the snapshot are read back.
  std::size_t trailing_bytes = 16UL << 20;
};

// Stores log entries in numbered, append-only segment files. Each record holds
// consecutive entries of one Append and supersedes everything from its first
// index on, so nothing is overwritten in place. Old files are removed after
// compaction.
class SegmentLog {
 public:
  // Reads the files whose names start with "log-". `salt` makes the checksums
  // of this folder differ from those of other folders. Entries up to `snapshot`
  // may be missing; later ones must be complete. An incomplete record at the
  // very end is dropped; any other damage fails with kStorageFailed, naming
  // file and offset. Everything that is read is durable afterwards.
  //
  // Of the entries before `snapshot`, only as many are kept as fit into
  // `settings.trailing_bytes` together with the later ones; files that hold
  // nothing else are removed.
  static Result<SegmentLog> Open(FileSystem& files, std::uint64_t salt,
                                 LogPosition snapshot,
                                 const SegmentLogSettings& settings);

  // Returns whether `name` is the name of a segment file.
  static bool IsSegmentName(const std::string& name);

  // Returns the entries that Open read. To be called once.
  std::vector<LogEntry> TakeEntries();

  // Stores `entries` and discards any others with the same or a higher index.
  // They are durable when the function returns.
  Result<void> Append(std::span<const LogEntry> entries);

  // Discards every entry; the next one must follow `base`.
  Result<void> Reset(LogPosition base);

  // Removes the files that hold no entry after `index`.
  Result<void> DropThrough(LogIndex index);

 private:
  struct Segment {
    std::uint64_t number = 0;
    std::size_t size = 0;
    LogIndex last_index = 0;
  };

  SegmentLog(FileSystem& files, std::uint64_t salt,
             const SegmentLogSettings& settings)
      : files_(&files), salt_(salt), settings_(settings) {}

  Result<void> LoadSegment(std::uint64_t number, LogPosition snapshot,
                           bool is_last);
  Result<void> ReplayRecord(std::string_view payload, LogPosition snapshot,
                            Segment& segment);
  Result<void> ReplayEntry(LogEntry entry, LogPosition snapshot);
  void ClearEntries();
  void DropOldEntries(LogPosition snapshot);
  Result<void> AppendEntries(std::span<const LogEntry> entries);
  Result<void> AppendRecord(const std::string& payload, LogIndex last_index);
  Result<void> RemoveFirstSegment();

  FileSystem* files_;
  std::uint64_t salt_;
  SegmentLogSettings settings_;
  std::vector<Segment> segments_;
  std::deque<LogEntry> entries_;
  std::size_t entry_bytes_ = 0;  // The payload of entries_.
};

}  // namespace sapphirebank
