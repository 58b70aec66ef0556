#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "sapphirebank/consensus/file_system.h"
#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

// Stores log entries in numbered, append-only segment files. Each record holds
// the entries of one Append and supersedes everything from its first index on,
// so nothing is overwritten in place. Old files are removed after compaction.
class SegmentLog {
 public:
  // Reads the files whose names start with "log-". `salt` makes the checksums
  // of this folder differ from those of other folders. Entries up to `snapshot`
  // may be missing; later ones must be complete. An incomplete record at the
  // very end is dropped; any other damage fails with kStorageFailed, naming
  // file and offset. Everything that is read is durable afterwards.
  static Result<SegmentLog> Open(FileSystem& files, std::uint64_t salt,
                                 LogPosition snapshot,
                                 std::size_t segment_bytes);

  // Returns whether `name` is the name of a segment file.
  static bool IsSegmentName(const std::string& name);

  // Returns the entries that Open read. To be called once.
  std::vector<LogEntry> TakeEntries() { return std::move(entries_); }

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

  SegmentLog(FileSystem& files, std::uint64_t salt, std::size_t segment_bytes)
      : files_(&files), salt_(salt), segment_bytes_(segment_bytes) {}

  Result<void> LoadSegment(std::uint64_t number, LogPosition snapshot,
                           bool is_last);
  Result<void> ReplayRecord(std::string_view payload, LogPosition snapshot,
                            Segment& segment);
  Result<void> ReplayEntry(LogEntry entry, LogPosition snapshot);
  Result<void> AppendRecord(const std::string& payload, LogIndex last_index);
  Result<void> RemoveFirstSegment();

  FileSystem* files_;
  std::uint64_t salt_;
  std::size_t segment_bytes_;
  std::vector<Segment> segments_;
  std::vector<LogEntry> entries_;
};

}  // namespace sapphirebank
